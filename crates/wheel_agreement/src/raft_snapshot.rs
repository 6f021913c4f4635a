//! The applied state that replaces the first part of the log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{GroupId, GroupMembers};

/// The state machine's state after an entry, at most [`RaftSnapshot::MAX_BYTES`]. It is sent in
/// [`crate::SnapshotChunk`]s. A new group starts from one at [`RaftSnapshot::FIRST_INDEX`].
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RaftSnapshot {
    /// The group that it belongs to.
    pub group: GroupId,
    /// The last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members after that entry.
    pub members: Arc<GroupMembers>,
    /// The state machine's state, encoded; empty in a new group.
    #[serde(with = "crate::byte_field")]
    pub state: Arc<[u8]>,
}

impl RaftSnapshot {
    /// The index of a new group's snapshot.
    pub const FIRST_INDEX: u64 = 1;
    /// The largest encoded state that a driver may pass in, in bytes.
    pub const MAX_BYTES: usize = 32 << 20;
}
