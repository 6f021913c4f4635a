//! Outputs of a participant.

use std::sync::Arc;

use crate::{LogEntry, NodeId, PersistRecord, ProposalId, RaftMessage, ReadId};

/// An output of [`crate::RaftNode::step`]. The driver carries out outputs in order, and none after
/// a [`RaftOutput::Persist`] before its records are synced.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RaftOutput {
    /// Write and sync records.
    Persist(Vec<PersistRecord>),
    /// Send a message; it may be lost.
    Send {
        /// The receiver; [`crate::FolderIdentity::ANY`] where its identity isn't known.
        to: NodeId,
        /// The message.
        message: RaftMessage,
    },
    /// Replace the state machine's state.
    Restore {
        /// The last entry that the state holds.
        index: u64,
        /// The state, encoded.
        snapshot: Arc<[u8]>,
    },
    /// The proposal was committed; comes just before its [`RaftOutput::Apply`].
    Accepted {
        /// The proposal.
        proposal: ProposalId,
        /// Its entry.
        index: u64,
    },
    /// Apply a committed entry; only [`crate::EntryPayload::Command`] concerns the state machine.
    Apply {
        /// The entry's index.
        index: u64,
        /// The entry.
        entry: LogEntry,
    },
    /// The proposal was not appended and never will be.
    Refused {
        /// The proposal.
        proposal: ProposalId,
        /// The leader, if known.
        leader: Option<NodeId>,
        /// The reason.
        reason: ProposalRefusal,
    },
    /// The proposal was appended, but leadership was lost: it may or may not be committed. Propose
    /// it again under its idempotency key to learn which.
    Unresolved {
        /// The proposal.
        proposal: ProposalId,
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// The state machine, as applied now, may answer the read.
    ReadReady {
        /// The read.
        read: ReadId,
        /// The last entry applied.
        index: u64,
    },
    /// The read can't be confirmed here.
    ReadRefused {
        /// The read.
        read: ReadId,
        /// The leader, if known.
        leader: Option<NodeId>,
    },
}

/// Why a proposal was not appended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ProposalRefusal {
    /// This participant isn't the leader.
    NotLeader,
    /// Too many proposals wait to be committed.
    Full,
    /// The command is larger than the settings allow.
    TooLarge,
    /// Another change of the members isn't committed yet.
    ChangePending,
    /// The change would change nothing, or remove the last voter.
    NoChange,
}
