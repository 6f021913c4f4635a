//! Bounds of a hub.

use std::time::Duration;

/// Sizes, counts and times that bound a hub's memory and waits.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLimits {
    /// Largest body and answer in bytes.
    pub max_body: usize,
    /// Connections from other instances; further ones are closed at once.
    pub max_accepted: usize,
    /// Addresses that are called; calls to further ones fail as overloaded.
    pub max_peers: usize,
    /// Calls in hand to one address; further ones fail as overloaded.
    pub max_calls_per_peer: usize,
    /// Calls from other instances in hand; further ones are refused as overloaded.
    pub max_handled: u32,
    /// Bytes of received bodies in hand; calls beyond are refused as overloaded.
    pub max_held_bytes: u32,
    /// Bodies and answers in pieces that use one connection at once. A small call waits behind one
    /// piece of each at most.
    pub max_transfers: usize,
    /// Time for connecting and for the handshake.
    pub handshake: Duration,
    /// Time without a byte after which a connection with a call in hand is probed.
    pub silence: Duration,
    /// Time for the answer to a probe.
    pub probe: Duration,
    /// Idle time after which a connection is probed before its next call.
    pub idle_probe: Duration,
    /// Idle time after which a connection to another instance is closed.
    pub idle_close: Duration,
    /// Time that a silent connection is kept while no fresh one can be made.
    pub suspect: Duration,
    /// First pause after a failed connection; it doubles up to [`PeerLimits::backoff_max`].
    pub backoff: Duration,
    /// Longest pause after a failed connection.
    pub backoff_max: Duration,
    /// Time that a shutdown waits for calls in hand.
    pub drain: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_body: 8 << 20,
            max_accepted: 256,
            max_peers: 256,
            max_calls_per_peer: 256,
            max_handled: 1_024,
            max_held_bytes: 32 << 20,
            max_transfers: 4,
            handshake: Duration::from_secs(2),
            silence: Duration::from_millis(500),
            probe: Duration::from_millis(500),
            idle_probe: Duration::from_secs(5),
            idle_close: Duration::from_secs(60),
            suspect: Duration::from_secs(10),
            backoff: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            drain: Duration::from_secs(10),
        }
    }
}
