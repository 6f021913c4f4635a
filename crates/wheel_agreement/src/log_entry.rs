//! One entry of the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::GroupMembers;

/// What an entry holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum EntryPayload {
    /// Nothing: a new leader's first entry, which commits those before it.
    Noop,
    /// A command for the state machine, encoded.
    Command(#[serde(with = "crate::byte_field")] Arc<[u8]>),
    /// The members from this entry on.
    Members(Arc<GroupMembers>),
}

/// An entry; index and term identify it uniquely once it is committed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogEntry {
    /// Its position in the log; 1 stands for the formation of the group.
    pub index: u64,
    /// The term of the leader that appended it.
    pub term: u64,
    /// What it holds.
    pub payload: EntryPayload,
}

/// Fixed part of an entry's size in a message or on disk.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// Estimated size of a member in an entry.
const MEMBER_BYTES: usize = 32;

impl EntryPayload {
    /// An estimate of its encoded size as an entry, in bytes.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Noop => ENTRY_OVERHEAD_BYTES,
            Self::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
            Self::Members(members) => ENTRY_OVERHEAD_BYTES + MEMBER_BYTES * members.nodes().count(),
        }
    }
}

impl LogEntry {
    /// An estimate of its encoded size, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.payload.size_bytes()
    }
}
