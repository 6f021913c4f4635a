//! A failed request that a log must explain.

use std::sync::Arc;
use std::time::Duration;

/// A request that failed at a process that was able to log the cause.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FailedCall {
    /// The request id.
    pub id: Arc<str>,
    /// When the exchange ended, counted from the start of the run.
    pub at: Duration,
}
