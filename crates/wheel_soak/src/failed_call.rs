//! A request whose failure a log has to explain.

use std::sync::Arc;
use std::time::Duration;

/// A request that failed at a process which could tell why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FailedCall {
    /// Its id.
    pub id: Arc<str>,
    /// When its exchange ended.
    pub at: Duration,
}
