//! The counters behind [`PeerCounters`].

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{ChannelCounters, PeerChannel, PeerCounters};

/// Counters of one channel.
#[derive(Debug, Default)]
pub(crate) struct ChannelRow {
    pub(crate) calls_sent: AtomicU64,
    pub(crate) calls_failed: AtomicU64,
    pub(crate) calls_handled: AtomicU64,
    pub(crate) bytes_sent: AtomicU64,
    pub(crate) bytes_received: AtomicU64,
}

/// Counters of a hub, shared by its handles and its thread.
#[derive(Debug, Default)]
pub(crate) struct CounterTable {
    channels: [ChannelRow; 8],
    pub(crate) wire_sent: AtomicU64,
    pub(crate) wire_received: AtomicU64,
    pub(crate) opened: AtomicU64,
    pub(crate) accepted: AtomicU64,
    pub(crate) rejected: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) displaced: AtomicU64,
    pub(crate) retired: AtomicU64,
}

impl CounterTable {
    pub(crate) fn row(&self, channel: PeerChannel) -> &ChannelRow {
        &self.channels[channel.index()]
    }

    pub(crate) fn snapshot(&self) -> PeerCounters {
        PeerCounters {
            channels: PeerChannel::ALL.map(|channel| self.row(channel).snapshot()),
            wire_sent: read(&self.wire_sent),
            wire_received: read(&self.wire_received),
            opened: read(&self.opened),
            accepted: read(&self.accepted),
            rejected: read(&self.rejected),
            refused: read(&self.refused),
            displaced: read(&self.displaced),
            retired: read(&self.retired),
        }
    }
}

impl ChannelRow {
    fn snapshot(&self) -> ChannelCounters {
        ChannelCounters {
            calls_sent: read(&self.calls_sent),
            calls_failed: read(&self.calls_failed),
            calls_handled: read(&self.calls_handled),
            bytes_sent: read(&self.bytes_sent),
            bytes_received: read(&self.bytes_received),
        }
    }
}

/// Adds to a counter.
pub(crate) fn count(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
