//! Limits of the connections to one upstream.

use std::time::Duration;

/// How many connections to one address may be open, and how long they are used without a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Calls open at once; further ones fail with [`FailureKind::TooManyOpen`](crate::FailureKind).
    pub max_open: usize,
    /// Connections being opened at once; further ones wait, within their connect timeout.
    pub max_connecting: usize,
    /// Idle connections kept; further ones are closed.
    pub max_idle: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Idle time after which a connection is probed before reuse, or closed where the dialect
    /// has no probe.
    pub probe_after_idle: Duration,
    /// The longest time that a probe may take.
    pub probe_timeout: Duration,
    /// Time without progress after which a call on a retired connection fails, if it may be sent
    /// again.
    pub retired_grace: Duration,
    /// Time without acknowledgement after which the operating system closes a connection.
    pub unacknowledged_timeout: Duration,
    /// Idle time after which the operating system sends keepalive probes.
    pub keepalive_idle: Duration,
    /// Size limit of an answer that isn't streamed, in bytes.
    pub max_answer_bytes: usize,
    /// Size limit of one event of a stream, in bytes.
    pub max_event_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_open: 1_024,
            max_connecting: 64,
            max_idle: 1_024,
            idle_timeout: Duration::from_secs(30),
            probe_after_idle: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            retired_grace: Duration::from_secs(2),
            unacknowledged_timeout: Duration::from_secs(10),
            keepalive_idle: Duration::from_secs(5),
            max_answer_bytes: 8 * 1024 * 1024,
            max_event_bytes: 256 * 1024,
        }
    }
}
