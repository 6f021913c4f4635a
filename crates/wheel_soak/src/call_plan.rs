//! The random parameters of one call.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::{CallRoute, CallerSettings};

/// Number of chunks of a body that is sent slowly, and the pause between them.
const SLOW_CHUNKS: usize = 8;
const SLOW_PAUSE: Duration = Duration::from_millis(120);
/// Size of such a body in bytes; other bodies have [`BODY_SIZE`].
const LARGE_SIZE: usize = 64 * 1024;
const BODY_SIZE: usize = 64;

/// Behaviour of a caller in one call, drawn before the call begins.
#[derive(Clone, Debug)]
pub(crate) struct CallPlan {
    pub(crate) route: CallRoute,
    pub(crate) model: Option<Arc<str>>,
    /// The index of the process that the first attempt goes to.
    pub(crate) process: usize,
    /// Whether an idle connection is reused if there is one.
    pub(crate) reuses_connection: bool,
    pub(crate) body_size: usize,
    pub(crate) body_chunks: usize,
    pub(crate) body_pause: Duration,
    /// Time after which the caller disconnects if no answer has begun.
    pub(crate) aborts_after: Option<Duration>,
    /// Number of chunks of the answer after which the caller disconnects.
    pub(crate) aborts_in_stream: Option<usize>,
    /// Maximum number of resends.
    pub(crate) resends: usize,
    /// Whether the caller waits for the time in `retry-after` before a resend.
    pub(crate) honors_retry_after: bool,
}

impl CallPlan {
    /// How long the body takes to be sent.
    pub(crate) fn body_time(&self) -> Duration {
        self.body_pause * u32::try_from(self.body_chunks - 1).unwrap_or(u32::MAX)
    }

    /// Draws the next call, or `None` without a process or a route.
    pub(crate) fn draw(settings: &CallerSettings, random: &mut StdRng) -> Option<Self> {
        let mut draw_index = |count: usize| (count > 0).then(|| random.random_range(0..count));
        let route = settings.routes[draw_index(settings.routes.len())?].clone();
        let process = draw_index(settings.processes.len())?;
        let model = draw_index(settings.models.len()).filter(|_| route.has_model);
        let is_slow = random.random_bool(0.1);
        let deadline = route.deadline;
        let aborts_after =
            random.random_bool(0.05).then(|| deadline.mul_f64(random.random_range(0.0..0.3)));
        Some(Self {
            model: model.map(|index| Arc::clone(&settings.models[index])),
            process,
            reuses_connection: random.random_bool(0.7),
            body_size: if is_slow { LARGE_SIZE } else { BODY_SIZE },
            body_chunks: if is_slow { SLOW_CHUNKS } else { 1 },
            body_pause: SLOW_PAUSE,
            aborts_after,
            aborts_in_stream: random.random_bool(0.05).then(|| random.random_range(1..4)),
            resends: if random.random_bool(0.5) { 2 } else { 0 },
            honors_retry_after: random.random_bool(0.7),
            route,
        })
    }
}
