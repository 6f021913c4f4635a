//! Calls from any instance to a control instance.

use serde::{Deserialize, Serialize};
use wheel_agreement::{GroupAction, GroupAnswer, NodeId, RaftStatus, VoterChange};
use wheel_types::InstanceName;

use crate::ReadAnswer;

/// A request of any instance to a control instance.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum GroupCall {
    /// Commit an action.
    Submit(GroupAction),
    /// Commit a change of the voters.
    ChangeVoter(VoterChange),
    /// Make a linearizable read.
    Read,
    /// Return the state of the group.
    Status,
}

impl GroupCall {
    /// Size of the part of the call that may be large, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        match self {
            Self::Submit(GroupAction::AdoptDocument { bytes, .. }) => bytes.len(),
            Self::Submit(_) | Self::ChangeVoter(_) | Self::Read | Self::Status => 0,
        }
    }
}

/// The answer of a control instance.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum GroupReply {
    /// The result of a submission.
    Submitted(SubmitAnswer),
    /// The answer to a read; `None` if this instance doesn't lead, or can't be sure of it.
    Read(Option<ReadAnswer>),
    /// The state of the group as this instance sees it.
    Status(Box<RaftStatus>),
}

/// The result of a call to commit something.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum SubmitAnswer {
    /// The action was committed, with this answer of the state machine.
    Answer(GroupAnswer),
    /// The change of the voters was committed.
    VoterChanged,
    /// Nothing was appended: this instance doesn't lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceName>,
    },
    /// Nothing was appended, for a reason that would hold at any other instance, too.
    Refused {
        /// The reason.
        reason: String,
    },
    /// It was appended, but it isn't known whether it is committed.
    Unresolved,
}

impl SubmitAnswer {
    /// Whether it reports that a call of this kind was committed.
    pub(crate) fn is_end_of(&self, call: &GroupCall) -> bool {
        matches!(
            (call, self),
            (GroupCall::Submit(_), Self::Answer(_))
                | (GroupCall::ChangeVoter(_), Self::VoterChanged)
        )
    }

    /// Makes the answer with the leader's instance.
    pub(crate) fn not_leader(leader: Option<NodeId>) -> Self {
        Self::NotLeader { leader: leader.map(|node| node.instance) }
    }
}
