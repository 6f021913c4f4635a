//! Limits on the resources that a connection may use.

use std::time::Duration;

/// Limits that bound memory use regardless of what a peer sends.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Largest number of open connections; further ones are closed as soon as they are accepted.
    pub connections: usize,
    /// Time limit for a request's headers to arrive, and for an idle connection.
    pub header_timeout: Duration,
    /// Largest size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for a request's body to arrive.
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
