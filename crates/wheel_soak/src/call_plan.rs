//! What one call will be like.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::{CallRoute, CallerSettings};

/// Pieces of a body that is sent slowly, and the pause between them.
const SLOW_PIECES: usize = 8;
const SLOW_PAUSE: Duration = Duration::from_millis(120);
/// The size of such a body, in bytes; others have [`BODY_SIZE`].
const LARGE_SIZE: usize = 64 * 1024;
const BODY_SIZE: usize = 64;

/// How a caller behaves in one call, drawn before it begins.
#[derive(Clone, Debug)]
pub(crate) struct CallPlan {
    pub(crate) route: CallRoute,
    pub(crate) model: Option<Arc<str>>,
    /// The place of the process that is asked first.
    pub(crate) process: usize,
    /// Whether it takes a kept connection if there is one.
    pub(crate) is_kept: bool,
    pub(crate) body_size: usize,
    pub(crate) body_pieces: usize,
    pub(crate) body_pause: Duration,
    /// When it leaves, if no answer has begun by then.
    pub(crate) leaves_after: Option<Duration>,
    /// After how many pieces of the answer it leaves.
    pub(crate) leaves_in_stream: Option<usize>,
    /// How often it sends again.
    pub(crate) resends: usize,
    /// Whether it waits as long as it is told before that.
    pub(crate) is_patient: bool,
}

impl CallPlan {
    /// Draws the next call; `None` if there is nobody or nothing to ask for.
    pub(crate) fn draw(settings: &CallerSettings, random: &mut StdRng) -> Option<Self> {
        let mut pick = |count: usize| (count > 0).then(|| random.random_range(0..count));
        let route = settings.routes[pick(settings.routes.len())?].clone();
        let process = pick(settings.processes.len())?;
        let model = pick(settings.models.len()).filter(|_| route.has_model);
        let is_slow = random.random_bool(0.1);
        let deadline = route.deadline;
        let leaves_after =
            random.random_bool(0.05).then(|| deadline.mul_f64(random.random_range(0.0..0.3)));
        Some(Self {
            model: model.map(|place| Arc::clone(&settings.models[place])),
            process,
            is_kept: random.random_bool(0.7),
            body_size: if is_slow { LARGE_SIZE } else { BODY_SIZE },
            body_pieces: if is_slow { SLOW_PIECES } else { 1 },
            body_pause: SLOW_PAUSE,
            leaves_after,
            leaves_in_stream: random.random_bool(0.05).then(|| random.random_range(1..4)),
            resends: if random.random_bool(0.5) { 2 } else { 0 },
            is_patient: random.random_bool(0.7),
            route,
        })
    }
}
