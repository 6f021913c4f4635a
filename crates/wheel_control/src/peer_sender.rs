//! Sends messages of the replicated log to other control instances.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use wheel_agreement::{LogEntry, NodeId, RaftBody, RaftMessage, encode};
use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_types::InstanceName;

use crate::AddressResolver;
use crate::transfer_time::transfer_time;

/// Messages in flight or queued to one instance; further ones are dropped, from which the log
/// recovers.
const MAX_IN_FLIGHT: usize = 64;
/// Bytes queued to one instance behind a large message; what exceeds them is dropped.
const MAX_QUEUED_BYTES: usize = 6 << 20;
/// Size of a message with entries from which it counts as large.
const LARGE_BYTES: usize = 64 << 10;
/// Time after which a small message counts as lost.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends without waiting; a message may be lost.
pub(crate) struct PeerSender {
    hub: PeerHub,
    resolver: Arc<dyn AddressResolver>,
    runtime: Handle,
    lanes: HashMap<InstanceName, SendLane>,
}

/// The messages to one instance.
#[derive(Clone)]
struct SendLane {
    permits: Arc<Semaphore>,
    queue: Arc<Mutex<LaneQueue>>,
}

impl Default for SendLane {
    fn default() -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_IN_FLIGHT)), queue: Arc::default() }
    }
}

/// While a large message is on its way, further entries wait, and heartbeats that overtake it refer
/// to the entry before it: otherwise the instance would report what is on its way as missing, and
/// it would be sent again.
#[derive(Default)]
struct LaneQueue {
    /// Whether a large message is on its way.
    is_busy: bool,
    /// Contents of the large messages that are on their way or queued, in their order.
    large: Vec<LargeContent>,
    waiting: VecDeque<QueuedMessage>,
    bytes: usize,
}

/// What a large message carries in a term: the entries after one, or a part of a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LargeContent {
    Entries { term: u64, prev_index: u64, prev_term: u64 },
    Snapshot { term: u64, index: u64, offset: u64 },
}

impl LargeContent {
    fn of(message: &RaftMessage) -> Option<Self> {
        let term = message.term;
        match &message.body {
            RaftBody::Append { prev_index, prev_term, entries, .. } => {
                let bytes: usize = entries.iter().map(LogEntry::size_bytes).sum();
                let (prev_index, prev_term) = (*prev_index, *prev_term);
                (bytes >= LARGE_BYTES).then_some(Self::Entries { term, prev_index, prev_term })
            }
            RaftBody::InstallSnapshot { chunk, .. } if chunk.bytes.len() >= LARGE_BYTES => {
                Some(Self::Snapshot { term, index: chunk.index, offset: chunk.offset })
            }
            _ => None,
        }
    }
}

struct QueuedMessage {
    body: Vec<u8>,
    large: Option<LargeContent>,
    _permit: OwnedSemaphorePermit,
}

impl PeerSender {
    pub(crate) fn new(hub: PeerHub, resolver: Arc<dyn AddressResolver>, runtime: Handle) -> Self {
        Self { hub, resolver, runtime, lanes: HashMap::new() }
    }

    /// Sends `message` from `own` to `to`. A large one that is on its way already isn't sent again.
    pub(crate) fn send(&mut self, own: &NodeId, to: &NodeId, message: &RaftMessage) {
        let lane = self.lanes.entry(to.instance.clone()).or_default().clone();
        let large = LargeContent::of(message);
        let moved = lane.queue.lock().move_heartbeat(message);
        if large.is_some_and(|large| lane.queue.lock().large.contains(&large)) {
            return;
        }
        let (Ok(permit), Some(address), Ok(body)) = (
            Arc::clone(&lane.permits).try_acquire_owned(),
            self.resolver.peer_address(&to.instance),
            encode(&(own, to, moved.as_ref().unwrap_or(message))),
        ) else {
            return;
        };
        let queued = QueuedMessage { body, large, _permit: permit };
        let has_entries =
            matches!(&message.body, RaftBody::Append { entries, .. } if !entries.is_empty());
        let next = match large.is_some() || has_entries {
            true => lane.queue.lock().admit(queued),
            false => Some(queued),
        };
        let Some(next) = next else { return };
        let run = LaneRun { hub: self.hub.clone(), address, lane };
        match next.large {
            Some(_) => drop(self.runtime.spawn(run.send_all(next))),
            None => drop(self.runtime.spawn(run.send_one(next))),
        }
    }
}

impl LaneQueue {
    /// A heartbeat that refers to the entry before those on their way, which the instance has.
    fn move_heartbeat(&self, message: &RaftMessage) -> Option<RaftMessage> {
        let LargeContent::Entries { term, prev_index, prev_term } = *self.large.first()? else {
            return None;
        };
        match &message.body {
            RaftBody::Append { entries, commit, round, .. }
                if entries.is_empty() && message.term == term =>
            {
                let (commit, round, entries) = (*commit, *round, Vec::new());
                let body = RaftBody::Append { prev_index, prev_term, entries, commit, round };
                Some(RaftMessage { body, ..message.clone() })
            }
            _ => None,
        }
    }

    /// Queues the message, or drops it if there is no room, while a large one is on its way;
    /// otherwise returns it to be sent now.
    fn admit(&mut self, message: QueuedMessage) -> Option<QueuedMessage> {
        if self.is_busy && self.bytes + message.body.len() > MAX_QUEUED_BYTES {
            return None;
        }
        self.large.extend(message.large);
        if self.is_busy {
            self.bytes += message.body.len();
            self.waiting.push_back(message);
            return None;
        }
        self.is_busy = message.large.is_some();
        Some(message)
    }

    /// Records that a large message has arrived or is lost, and takes the next one that waits.
    fn finish(&mut self, sent: Option<LargeContent>) -> Option<QueuedMessage> {
        self.large.retain(|large| Some(*large) != sent);
        let next = self.waiting.pop_front();
        self.bytes -= next.as_ref().map_or(0, |next| next.body.len());
        self.is_busy = next.is_some();
        next
    }
}

/// Sends messages of one lane.
#[derive(Clone)]
struct LaneRun {
    hub: PeerHub,
    address: PeerAddress,
    lane: SendLane,
}

impl LaneRun {
    /// Sends a large message, then those that have queued meanwhile, in their order.
    async fn send_all(self, first: QueuedMessage) {
        let mut next = Some(first);
        while let Some(message) = next {
            let large = message.large;
            match large {
                Some(_) => self.clone().send_one(message).await,
                None => drop(tokio::spawn(self.clone().send_one(message))),
            }
            next = self.lane.queue.lock().finish(large);
        }
    }

    async fn send_one(self, message: QueuedMessage) {
        let QueuedMessage { body, _permit, .. } = message;
        let limit = MESSAGE_TIMEOUT + transfer_time(body.len());
        // After a loss the log's own heartbeats trigger another send.
        let _ = self.hub.call(&self.address, PeerChannel::Agreement, body, limit).await;
    }
}
