//! The members of a group.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{NodeId, VoterChange};

/// What a learner is to become.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LearnerGoal {
    /// It stays a learner.
    Learn,
    /// It becomes a voter once it has caught up.
    Vote,
}

/// Voters and learners as one entry of the log records them. Two consecutive lists differ by one
/// voter at most, so that their majorities overlap.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GroupMembers {
    /// Members that vote.
    pub voters: BTreeSet<NodeId>,
    /// Members that receive the log without a vote.
    pub learners: BTreeMap<NodeId, LearnerGoal>,
}

impl GroupMembers {
    /// Members of a new group.
    pub fn of_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeMap::new() }
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `node` is a voter or a learner.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.voters.contains(node) || self.learners.contains_key(node)
    }

    /// All voters and learners.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.voters.iter().chain(self.learners.keys())
    }

    /// The voter of the same instance as `node` with another folder, which `node` replaces.
    pub fn previous_voter(&self, node: &NodeId) -> Option<&NodeId> {
        self.voters.iter().find(|voter| voter.instance == node.instance && *voter != node)
    }

    /// The members after `change`, or nothing if it changes nothing or removes the last voter.
    pub fn with_change(&self, change: &VoterChange) -> Option<Self> {
        let mut members = self.clone();
        match change {
            VoterChange::AddLearner(node) => members.add_learner(node, LearnerGoal::Learn),
            VoterChange::AddVoter(node) => members.add_learner(node, LearnerGoal::Vote),
            VoterChange::Remove(node) => {
                members.voters.remove(node);
                members.learners.remove(node);
            }
        }
        (&members != self && !members.voters.is_empty()).then_some(members)
    }

    /// The members after the learner `node` became a voter.
    pub fn with_voter(&self, node: &NodeId) -> Self {
        let mut members = self.clone();
        members.learners.remove(node);
        members.voters.insert(node.clone());
        members
    }

    fn add_learner(&mut self, node: &NodeId, goal: LearnerGoal) {
        if self.voters.contains(node) {
            return;
        }
        self.learners.retain(|learner, _| learner.instance != node.instance || learner == node);
        self.learners.insert(node.clone(), goal);
    }
}
