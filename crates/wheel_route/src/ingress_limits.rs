//! What callers may send.

use std::time::Duration;

/// Bounds on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IngressLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_time: Duration,
    /// Time that a connection may stay idle.
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
