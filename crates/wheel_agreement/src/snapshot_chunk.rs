//! Transfer of snapshots to a member that lacks entries the leader no longer has.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{GroupId, GroupMembers, RaftSnapshot};

/// A part of a [`RaftSnapshot`], small enough for one message.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SnapshotChunk {
    /// The last entry that the snapshot covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members after that entry.
    pub members: Arc<GroupMembers>,
    /// Size of the whole state, in bytes.
    pub total: u64,
    /// Where this part begins.
    pub offset: u64,
    /// This part of the state.
    #[serde(with = "crate::byte_field")]
    pub bytes: Arc<[u8]>,
}

impl SnapshotChunk {
    /// The part of `snapshot` from `offset` on, at most `max_bytes` long.
    pub(crate) fn of(snapshot: &RaftSnapshot, offset: u64, max_bytes: usize) -> Self {
        let total = snapshot.state.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = start.saturating_add(max_bytes).min(total);
        Self {
            index: snapshot.index,
            term: snapshot.term,
            members: Arc::clone(&snapshot.members),
            total: total as u64,
            offset: start as u64,
            bytes: snapshot.state[start..end].into(),
        }
    }
}

/// The parts of one snapshot that have been received, without gaps.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SnapshotAssembly {
    index: u64,
    term: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// Waits for the first part of the snapshot that `chunk` belongs to.
    pub(crate) fn open(chunk: &SnapshotChunk) -> Self {
        let (index, term, total) = (chunk.index, chunk.term, chunk.total);
        Self { index, term, total, bytes: Vec::new() }
    }

    /// Whether `chunk` belongs to the same snapshot.
    pub(crate) fn is_same_snapshot(&self, chunk: &SnapshotChunk) -> bool {
        (self.index, self.term, self.total) == (chunk.index, chunk.term, chunk.total)
    }

    /// Where the next part begins.
    pub(crate) fn offset(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Adds the next part; any other one changes nothing. Returns the snapshot once it is complete.
    pub(crate) fn push(&mut self, group: GroupId, chunk: &SnapshotChunk) -> Option<RaftSnapshot> {
        let end = self.offset() + chunk.bytes.len() as u64;
        if chunk.offset == self.offset() && end <= self.total {
            self.bytes.extend_from_slice(&chunk.bytes);
        }
        let (index, term, members) = (chunk.index, chunk.term, Arc::clone(&chunk.members));
        let state = (self.offset() == self.total).then(|| self.bytes.as_slice().into())?;
        Some(RaftSnapshot { group, index, term, members, state })
    }
}
