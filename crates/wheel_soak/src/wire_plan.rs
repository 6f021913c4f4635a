//! The random parameters of one connection of a [`crate::WireCaller`].

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::{CallRoute, CallerHabit, CallerSettings};

/// Maximum number of exchanges on a connection, and the pause between two in milliseconds.
const MAX_ROUNDS: usize = 3;
const ROUND_PAUSE_MS: u64 = 600;
/// Latest time at which a second request follows the first, in milliseconds.
const QUEUE_MS: u64 = 600;
/// Longest time for which a caller stops reading, in milliseconds.
const PAUSE_MS: u64 = 2_500;

/// Behaviour of a caller on one connection, drawn before it opens it.
#[derive(Clone, Debug)]
pub(crate) struct WirePlan {
    /// The index of the process.
    pub(crate) process: usize,
    /// The requests of each exchange, which are sent without waiting for answers.
    pub(crate) rounds: Vec<Vec<(CallRoute, Option<Arc<str>>)>>,
    pub(crate) round_pause: Duration,
    /// Time from a request to the one behind it.
    pub(crate) queue_after: Duration,
    /// Time for which the caller reads nothing after a head.
    pub(crate) read_pause: Duration,
}

impl WirePlan {
    /// Draws the next connection, or `None` without a process or a route.
    pub(crate) fn draw(
        habit: CallerHabit,
        settings: &CallerSettings,
        random: &mut StdRng,
    ) -> Option<Self> {
        if settings.processes.is_empty() || settings.routes.is_empty() {
            return None;
        }
        let requests = if habit == CallerHabit::Pipelines { 2 } else { 1 };
        let rounds = (0..random.random_range(1..=MAX_ROUNDS))
            .map(|_| (0..requests).map(|_| draw_request(settings, random)).collect())
            .collect();
        let mut draw_ms = |limit: u64| Duration::from_millis(random.random_range(1..limit));
        let pause = draw_ms(PAUSE_MS);
        Some(Self {
            round_pause: draw_ms(ROUND_PAUSE_MS),
            queue_after: draw_ms(QUEUE_MS),
            read_pause: if habit == CallerHabit::StopsReading { pause } else { Duration::ZERO },
            process: random.random_range(0..settings.processes.len()),
            rounds,
        })
    }
}

fn draw_request(settings: &CallerSettings, random: &mut StdRng) -> (CallRoute, Option<Arc<str>>) {
    let route = settings.routes[random.random_range(0..settings.routes.len())].clone();
    let model = random.random_range(0..settings.models.len().max(1));
    let model = settings.models.get(model).filter(|_| route.has_model).cloned();
    (route, model)
}
