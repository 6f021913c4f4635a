//! Bounds on what a connection may take.

use std::time::Duration;

/// Limits that keep memory bounded whatever a peer sends.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Connections open at once; further ones are closed as soon as they are accepted.
    pub connections: usize,
    /// Time for a request's headers to arrive, and for a connection to stay idle.
    pub header_timeout: Duration,
    /// Bytes for a request's line and headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's body to arrive.
    pub body_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_timeout: Duration::from_secs(30),
            header_bytes: 32 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            body_timeout: Duration::from_secs(20),
        }
    }
}
