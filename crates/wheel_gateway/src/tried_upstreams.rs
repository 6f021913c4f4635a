//! The upstreams that a request was sent to.

use std::time::Duration;

use tokio::time::Instant;
use wheel_route::EngineId;

/// How long a request isn't sent again to an upstream that lacked its model: the load may end a
/// moment later than estimated, and a report and a sync are needed until that is known here.
const ABSENCE_TIME: Duration = Duration::from_millis(450);

/// Upstreams that a request isn't sent to again, some of them only for a limited time.
#[derive(Debug, Default)]
pub(crate) struct TriedUpstreams {
    tried: Vec<(EngineId, Option<Instant>)>,
}

impl TriedUpstreams {
    /// Records a send.
    pub(crate) fn push(&mut self, id: EngineId) {
        self.tried.retain(|(tried, _)| *tried != id);
        self.tried.push((id, None));
    }

    /// Records that the last upstream lacked the request's model.
    pub(crate) fn record_absence(&mut self) {
        if let Some((_, until)) = self.tried.last_mut() {
            *until = Some(Instant::now() + ABSENCE_TIME);
        }
    }

    /// Forgets the last upstream, so that the request may be sent there again.
    pub(crate) fn forget_last(&mut self) {
        self.tried.pop();
    }

    /// Forgets an upstream, so that the request may be sent there again.
    pub(crate) fn forget(&mut self, id: &EngineId) {
        self.tried.retain(|(tried, _)| tried != id);
    }

    /// Whether an upstream is excluded now.
    pub(crate) fn contains(&self, id: &EngineId) -> bool {
        let now = Instant::now();
        let is_excluded = |until: &Option<Instant>| until.is_none_or(|until| now < until);
        self.tried.iter().any(|(tried, until)| tried == id && is_excluded(until))
    }

    /// When the next exclusion ends.
    pub(crate) fn next_end(&self) -> Option<Instant> {
        let now = Instant::now();
        self.tried.iter().filter_map(|(_, until)| *until).filter(|until| now < *until).min()
    }

    /// Number of upstreams that the request was sent to.
    pub(crate) fn len(&self) -> usize {
        self.tried.len()
    }
}
