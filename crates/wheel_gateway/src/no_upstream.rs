//! Why a request isn't sent.

use std::time::Duration;

/// Why there is no upstream to send to.
#[derive(Debug)]
pub(crate) struct NoUpstream {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
    /// Time until the model should be available or have room, if that is known.
    pub(crate) eta: Option<Duration>,
}

impl NoUpstream {
    /// No upstream, and nothing is known of when there is one.
    pub(crate) fn new(reason: &'static str, retry_after: Duration) -> Self {
        Self { reason, retry_after, eta: None }
    }
}
