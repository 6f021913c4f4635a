//! Calls from any instance to a control instance.

use serde::{Deserialize, Serialize};
use wheel_agreement::{GroupAction, GroupAnswer, NodeId, RaftStatus, VoterChange};
use wheel_types::InstanceName;

use crate::ReadAnswer;

/// What an instance asks of a control instance.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum GroupCall {
    /// Commit an action.
    Submit(GroupAction),
    /// Commit a change of the voters.
    ChangeVoter(VoterChange),
    /// Read what is certainly the newest.
    Read,
    /// Tell the state of the group.
    Status,
}

/// The answer of a control instance.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum GroupReply {
    /// What became of the call.
    Submitted(SubmitAnswer),
    /// The answer to a read; `None` where this instance doesn't lead, or can't be sure of it.
    Read(Option<ReadAnswer>),
    /// The state of the group as this instance sees it.
    Status(Box<RaftStatus>),
}

/// What became of a call that wanted something committed.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum SubmitAnswer {
    /// The action was committed, with this answer of the state machine.
    Answer(GroupAnswer),
    /// The change of the voters was committed.
    VoterChanged,
    /// Nothing was appended: this instance doesn't lead.
    NotLeader {
        /// Who leads, as far as known.
        leader: Option<InstanceName>,
    },
    /// Nothing was appended, for a reason that another instance wouldn't mend.
    Refused {
        /// The reason.
        reason: String,
    },
    /// It was appended, but it isn't known whether it is committed.
    Unresolved,
}

impl SubmitAnswer {
    /// Names the leader's instance.
    pub(crate) fn not_leader(leader: Option<NodeId>) -> Self {
        Self::NotLeader { leader: leader.map(|node| node.instance) }
    }
}
