//! Limits of a hub.

use std::time::Duration;

use crate::AdmissionLimits;

/// Sizes, counts and times that limit the memory and the waits of a hub.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLimits {
    /// Largest body, and largest answer, in bytes.
    pub max_body_bytes: usize,
    /// Connections from other instances.
    pub admission: AdmissionLimits,
    /// Addresses that are called. For a further one the link that has been idle for longest is
    /// closed; calls fail as overloaded while all are in use.
    pub max_peers: usize,
    /// Calls in progress to one address; further ones fail as overloaded.
    pub max_calls_per_peer: usize,
    /// Calls in progress from other instances; further ones are refused as overloaded.
    pub max_handled: u32,
    /// Bytes of the received bodies of calls in progress; calls beyond that are refused as
    /// overloaded.
    pub max_handled_bytes: u32,
    /// The same for calls over connections that carry the traffic of a quorum.
    pub max_member_calls: u32,
    /// The same for calls over connections that carry the traffic of a quorum.
    pub max_member_bytes: u32,
    /// Bodies and answers that are concurrently sent in pieces over one connection. A small call
    /// waits for at most 64 KiB of each.
    pub max_transfers: usize,
    /// Timeout for connecting and the handshake.
    pub handshake_timeout: Duration,
    /// Time without a received byte after which a connection with a pending call is probed.
    pub silence_timeout: Duration,
    /// Timeout for the answer to a probe.
    pub probe_timeout: Duration,
    /// Idle time after which a connection is probed before its next call.
    pub idle_probe: Duration,
    /// Idle time after which a connection to another instance is closed.
    pub idle_close: Duration,
    /// Time for which a silent connection is kept while no new one can be opened.
    pub silent_grace: Duration,
    /// First pause after a failed connection attempt; it doubles up to [`PeerLimits::backoff_max`].
    pub backoff: Duration,
    /// Longest pause after a failed connection attempt.
    pub backoff_max: Duration,
    /// Longest time that a shutdown waits for calls in progress.
    pub drain_timeout: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            admission: AdmissionLimits {
                max_entering: 256,
                max_members: 64,
                max_guests: 256,
                idle_time: Duration::from_secs(1),
            },
            max_peers: 256,
            max_calls_per_peer: 256,
            max_handled: 1_024,
            max_handled_bytes: 32 << 20,
            max_member_calls: 256,
            max_member_bytes: 16 << 20,
            max_transfers: 4,
            handshake_timeout: Duration::from_secs(2),
            silence_timeout: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(500),
            idle_probe: Duration::from_secs(5),
            idle_close: Duration::from_secs(60),
            silent_grace: Duration::from_secs(10),
            backoff: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(10),
        }
    }
}
