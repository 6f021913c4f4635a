//! Limits on callers' requests and connections.

use std::time::Duration;

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IngressLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request's head.
    pub header_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for IngressLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
