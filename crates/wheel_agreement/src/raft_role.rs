//! The role of a participant.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wheel_types::InstanceName;

use crate::peer_progress::PeerProgress;
use crate::{FolderIdentity, GroupMembers, NodeId, ProposalId, RaftSettings, ReadId, RoleName};

/// A role with its state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum RaftRole {
    /// The folder is empty.
    Joining(JoiningState),
    Follower,
    /// Holds who would grant the vote.
    PreCandidate(BTreeSet<NodeId>),
    /// Holds who granted the vote.
    Candidate(BTreeSet<NodeId>),
    Leader(LeaderState),
}

impl RaftRole {
    pub(crate) fn name(&self) -> RoleName {
        match self {
            Self::Joining(_) => RoleName::Joining,
            Self::Follower => RoleName::Follower,
            Self::PreCandidate(_) => RoleName::PreCandidate,
            Self::Candidate(_) => RoleName::Candidate,
            Self::Leader(_) => RoleName::Leader,
        }
    }
}

/// What a participant with an empty folder knows of the others.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct JoiningState {
    /// The other configured voters known to be empty, too.
    pub(crate) empty: BTreeMap<InstanceName, FolderIdentity>,
}

/// A read that waits for a quorum to confirm the leader.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PendingRead {
    pub(crate) read: ReadId,
    /// The confirmation round that it waits for.
    pub(crate) round: u64,
}

/// A proposal that waits for a quorum.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PendingProposal {
    pub(crate) proposal: ProposalId,
    pub(crate) bytes: usize,
}

/// A leader's view of the other members and its pending work.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<NodeId, PeerProgress>,
    /// Proposals by their entries' indices.
    pub(crate) proposals: BTreeMap<u64, PendingProposal>,
    /// Size of these proposals, in bytes.
    pub(crate) pending_bytes: usize,
    pub(crate) reads: VecDeque<PendingRead>,
    /// The newest read confirmation round.
    pub(crate) round: u64,
    /// Whether reads arrived in this step; they share a new round.
    pub(crate) has_new_reads: bool,
    /// Whether a message to all members is due: a heartbeat or a new round.
    pub(crate) needs_broadcast: bool,
    /// Participants that ask to join and aren't members.
    pub(crate) waiting: BTreeSet<NodeId>,
}

impl LeaderState {
    /// The most participants listed in `waiting`; others are listed once these have joined.
    pub(crate) const MAX_WAITING: usize = 16;

    /// Whether another proposal may wait.
    pub(crate) fn may_propose(&self, settings: &RaftSettings) -> bool {
        self.proposals.len() < settings.max_pending
            && self.pending_bytes < settings.max_pending_bytes
    }

    /// Updates the list of other members to match `members`.
    pub(crate) fn track_members(&mut self, id: &NodeId, members: &GroupMembers, last_index: u64) {
        self.progress.retain(|node, _| members.contains(node));
        self.waiting.retain(|node| !members.contains(node));
        for node in members.nodes().filter(|node| *node != id) {
            let open = || PeerProgress::open(last_index);
            self.progress.entry(node.clone()).or_insert_with(open);
        }
    }

    /// Adds `elapsed` to the silence of the other members, up to `longest`.
    pub(crate) fn advance(&mut self, elapsed: Duration, longest: Duration) {
        for progress in self.progress.values_mut() {
            progress.silence = (progress.silence + elapsed).min(longest);
        }
    }

    /// The greatest value that a quorum of `members` has reached, `own` being the leader's.
    pub(crate) fn quorum_value(
        &self,
        id: &NodeId,
        members: &GroupMembers,
        own: u64,
        value: impl Fn(&PeerProgress) -> u64,
    ) -> u64 {
        let value_of = |voter: &NodeId| match self.progress.get(voter) {
            _ if voter == id => own,
            Some(progress) => value(progress),
            None => 0,
        };
        let mut values: Vec<u64> = members.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(members.quorum() - 1).copied().unwrap_or(0)
    }

    /// Whether messages from a quorum of `members` arrived since the last call.
    pub(crate) fn check_quorum(&mut self, id: &NodeId, members: &GroupMembers) -> bool {
        let quorum_active =
            self.quorum_value(id, members, 1, |progress| u64::from(progress.is_active));
        self.progress.values_mut().for_each(|progress| progress.is_active = false);
        quorum_active > 0
    }
}
