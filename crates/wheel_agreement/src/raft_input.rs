//! Inputs of a participant.

use serde::{Deserialize, Serialize};

use wheel_types::InstanceName;

use crate::{NodeId, RaftMessage, VoterChange};

/// Identifies a proposal; assigned by the driver.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct ProposalId(pub u64);

/// Identifies a read; assigned by the driver.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct ReadId(pub u64);

/// An input of [`crate::RaftNode::step`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum RaftInput {
    /// Time passed; due at [`crate::RaftNode::next_tick`].
    Tick,
    /// A message arrived.
    Message {
        /// Its authenticated sender.
        from: NodeId,
        /// The message.
        message: RaftMessage,
    },
    /// A command for the state machine.
    Propose {
        /// Identifies the proposal in outputs.
        proposal: ProposalId,
        /// The command, encoded.
        command: Vec<u8>,
    },
    /// A read that must see all that was committed before it.
    Read {
        /// Identifies the read in outputs.
        read: ReadId,
    },
    /// An operator changes the members.
    ChangeVoter {
        /// Identifies the proposal in outputs.
        proposal: ProposalId,
        /// The change.
        change: VoterChange,
    },
    /// Instances to ask for the leader, in addition to the members and the configured voters.
    SetContacts {
        /// The instances; they replace those of an earlier input.
        contacts: Vec<InstanceName>,
    },
    /// The process is about to stop: a leader hands over, so that nobody waits for an election
    /// timeout. Any other participant ignores it.
    Resign,
    /// The driver took a snapshot of the state machine.
    Compacted {
        /// The last applied entry that it holds.
        index: u64,
        /// The state, encoded; at most [`crate::RaftSnapshot::MAX_BYTES`].
        snapshot: Vec<u8>,
    },
}
