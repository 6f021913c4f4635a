//! Counters of the traffic with other instances.

/// Calls and body bytes of one channel since the hub was bound.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChannelCounters {
    /// Calls to other instances that were sent.
    pub calls_sent: u64,
    /// Calls to other instances that ended in an error, whether sent or not.
    pub calls_failed: u64,
    /// Calls from other instances that reached the handler.
    pub calls_handled: u64,
    /// Bytes of bodies and answers that were sent.
    pub bytes_sent: u64,
    /// Bytes of bodies and answers that were received.
    pub bytes_received: u64,
}

/// A snapshot of a hub's counters.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerCounters {
    /// One for each channel, in the order of [`PeerChannel::ALL`](crate::PeerChannel::ALL).
    pub channels: [ChannelCounters; 8],
    /// Bytes written to sockets, including all framing.
    pub wire_sent: u64,
    /// Bytes read from sockets, including all framing.
    pub wire_received: u64,
    /// Connections to other instances that were authenticated.
    pub opened: u64,
    /// Connections from other instances that were authenticated.
    pub accepted: u64,
    /// Incoming connections that ended before they were authenticated, or exceeded the limit.
    pub rejected: u64,
    /// Calls from other instances that were refused because there was no place for their connection.
    pub refused: u64,
    /// Connections from other instances that were closed in favor of another one.
    pub displaced: u64,
    /// Connections to other instances that were closed because they were silent.
    pub retired: u64,
}
