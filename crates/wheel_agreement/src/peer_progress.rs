//! The leader's view of another member.

use std::time::Duration;

/// How entries are sent to a member.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum ProgressState {
    /// One message at a time, until the logs agree.
    Probe {
        /// Whether one is on its way; the next heartbeat sends another.
        paused: bool,
    },
    /// Entries are sent before earlier ones are confirmed.
    Replicate,
    /// A snapshot is on its way.
    Snapshot(SnapshotProgress),
}

/// How much of a snapshot a member has.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SnapshotProgress {
    /// The snapshot's last entry.
    pub(crate) index: u64,
    /// Where the next part begins.
    pub(crate) offset: u64,
    /// Whether that part must be sent.
    pub(crate) is_due: bool,
    /// Heartbeats left until it is sent again.
    heartbeats_left: u32,
}

impl SnapshotProgress {
    pub(crate) fn open(index: u64) -> Self {
        Self { index, offset: 0, is_due: true, heartbeats_left: CHUNK_RETRY_HEARTBEATS }
    }

    /// Records that the part was sent.
    pub(crate) fn record_sent(&mut self) {
        self.is_due = false;
        self.heartbeats_left = CHUNK_RETRY_HEARTBEATS;
    }

    fn record_heartbeat(&mut self) {
        self.heartbeats_left = self.heartbeats_left.saturating_sub(1);
        self.is_due |= self.heartbeats_left == 0;
    }
}

/// What a member holds, according to its replies.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PeerProgress {
    pub(crate) state: ProgressState,
    /// The last entry known to agree.
    pub(crate) matched: u64,
    /// The next entry to send.
    pub(crate) next: u64,
    /// The newest commit index sent to it, up to the last entry sent; the message may be lost.
    pub(crate) sent_commit: u64,
    /// The newest read confirmation round that it answered.
    pub(crate) round: u64,
    /// Whether a message from it arrived since the last quorum check.
    pub(crate) is_active: bool,
    /// Time since its last message; capped at the longer of the two replacement delays in
    /// [`crate::RaftSettings`].
    pub(crate) silence: Duration,
}

/// Heartbeats until a part of a snapshot that wasn't confirmed is sent again.
const CHUNK_RETRY_HEARTBEATS: u32 = 8;

impl PeerProgress {
    pub(crate) fn open(last_index: u64) -> Self {
        Self {
            state: ProgressState::Probe { paused: false },
            matched: 0,
            next: last_index + 1,
            sent_commit: 0,
            round: 0,
            is_active: false,
            silence: Duration::ZERO,
        }
    }

    /// Whether a message with entries may be sent now.
    pub(crate) fn may_send(&self, max_inflight: u64) -> bool {
        match self.state {
            ProgressState::Probe { paused } => !paused,
            ProgressState::Replicate => self.next <= self.matched + max_inflight,
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Whether it holds entries that it doesn't know to be committed.
    pub(crate) fn lacks_commit(&self, commit: u64) -> bool {
        commit.min(self.matched) > self.sent_commit
    }

    /// Records that entries up to `last` were sent, along with `commit`.
    pub(crate) fn record_sent(&mut self, last: u64, commit: u64) {
        self.sent_commit = self.sent_commit.max(commit.min(last));
        match self.state {
            ProgressState::Probe { .. } => self.state = ProgressState::Probe { paused: true },
            ProgressState::Replicate => self.next = self.next.max(last + 1),
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Records that a part of the snapshot `index` has arrived; the next begins at `offset`.
    pub(crate) fn record_received(&mut self, index: u64, offset: u64) {
        if let ProgressState::Snapshot(snapshot) = &mut self.state
            && snapshot.index == index
            && snapshot.offset != offset
        {
            snapshot.offset = offset;
            snapshot.is_due = true;
        }
    }

    /// Records a heartbeat, after which a lost message is sent again.
    pub(crate) fn record_heartbeat(&mut self) {
        match &mut self.state {
            ProgressState::Probe { paused } => *paused = false,
            ProgressState::Replicate => {}
            ProgressState::Snapshot(snapshot) => snapshot.record_heartbeat(),
        }
    }

    /// Records that the member's log agrees up to `index`.
    pub(crate) fn record_matched(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.state = ProgressState::Replicate;
    }

    /// Records that the member lacks the entry `prev`, and tries `candidate` next. A stale reply
    /// changes nothing.
    pub(crate) fn record_rejected(&mut self, prev: u64, candidate: u64) {
        let is_stale = match self.state {
            ProgressState::Probe { .. } => prev + 1 != self.next,
            ProgressState::Replicate => prev <= self.matched,
            ProgressState::Snapshot(_) => true,
        };
        if is_stale {
            return;
        }
        self.next = (candidate + 1).clamp(self.matched + 1, prev.max(self.matched + 1));
        self.state = ProgressState::Probe { paused: false };
    }

    /// Records that a message from the member arrived.
    pub(crate) fn record_contact(&mut self) {
        self.is_active = true;
        self.silence = Duration::ZERO;
    }
}
