//! The status of a participant.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{GroupId, GroupMembers, NodeId};

/// The current role of a participant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// Its folder is empty: it waits to form a group or to join one.
    Joining,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// One other participant, as the leader sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerStatus {
    /// The participant.
    pub node: NodeId,
    /// The last entry that it is known to hold.
    pub matched: u64,
    /// Time since its last message, in milliseconds; bounded.
    pub silent_ms: u64,
}

/// A participant's state for operators and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RaftStatus {
    /// The participant.
    pub id: NodeId,
    /// Its group.
    pub group: GroupId,
    /// Its role.
    pub role: RoleName,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<NodeId>,
    /// The last committed entry.
    pub commit: u64,
    /// The last entry.
    pub last_index: u64,
    /// The last entry in the snapshot.
    pub snapshot_index: u64,
    /// The newest members.
    pub members: Arc<GroupMembers>,
    /// How many voters the group maintains automatically, if it does.
    pub wanted_voters: Option<usize>,
    /// Leader: the voters heard within the longest election timeout, itself included.
    pub live_voters: usize,
    /// Leader: the other members.
    pub peers: Vec<PeerStatus>,
    /// Leader: participants that ask to join and aren't members. They wait for an operator's
    /// [`crate::VoterChange::AddVoter`] or for the silence of the voter that they replace.
    pub waiting: Vec<NodeId>,
}
