//! Where a request was sent before.

use std::time::Duration;

use tokio::time::Instant;
use wheel_route::EngineId;

/// How long an upstream that lacked what a request needs isn't asked again: its load may end a moment later
/// than told, and a report and a sync bring the next word of it.
const ABSENCE_TIME: Duration = Duration::from_millis(450);

/// Upstreams that aren't asked again, some of them for a time only.
#[derive(Debug, Default)]
pub(crate) struct TriedUpstreams {
    tried: Vec<(EngineId, Option<Instant>)>,
}

impl TriedUpstreams {
    /// Notes a send.
    pub(crate) fn push(&mut self, id: EngineId) {
        self.tried.retain(|(tried, _)| *tried != id);
        self.tried.push((id, None));
    }

    /// Notes that the last upstream lacked what the request needs.
    pub(crate) fn note_absence(&mut self) {
        if let Some((_, until)) = self.tried.last_mut() {
            *until = Some(Instant::now() + ABSENCE_TIME);
        }
    }

    /// Whether an upstream isn't asked now.
    pub(crate) fn contains(&self, id: &EngineId) -> bool {
        let now = Instant::now();
        let is_excluded = |until: &Option<Instant>| until.is_none_or(|until| now < until);
        self.tried.iter().any(|(tried, until)| tried == id && is_excluded(until))
    }

    /// When the next one may be asked again.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        let now = Instant::now();
        self.tried.iter().filter_map(|(_, until)| *until).filter(|until| now < *until).min()
    }

    /// Upstreams that were asked.
    pub(crate) fn len(&self) -> usize {
        self.tried.len()
    }
}
