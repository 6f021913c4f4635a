//! A change of the group's members.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// One change of the members, committed before the next one starts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum VoterChange {
    /// Adds a learner, which receives the log and has no vote.
    AddLearner(NodeId),
    /// Adds a learner that the leader turns into a voter once it has caught up. Another voter of
    /// the same instance is removed just before: its folder was lost.
    AddVoter(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
}
