//! Pre-votes and votes.

use crate::peer_progress::PeerProgress;
use crate::raft_role::{LeaderState, RaftRole};
use crate::{EntryPayload, HardState, NodeId, RaftBody, RaftNode};

impl RaftNode {
    /// Stands for election as a voter. The leader may also be one that this participant doesn't
    /// know, which replaced it while it was away: so it asks everybody for that leader as well.
    pub(super) fn seek_leader(&mut self) {
        self.start_pre_vote();
        if !self.is_leader() {
            self.send_join_requests();
        }
    }

    /// Asks whether an election would succeed, before the term is raised: a participant that was
    /// cut off doesn't depose a leader when it comes back.
    pub(super) fn start_pre_vote(&mut self) {
        self.timers.randomize_countdown(&self.settings);
        self.leader = None;
        if !self.log.members().voters.contains(&self.settings.id) {
            return;
        }
        self.role = RaftRole::PreCandidate([self.settings.id.clone()].into());
        let (last_index, last_term) = self.last_entry();
        self.send_to_voters(&RaftBody::PreVoteRequest { last_index, last_term });
        self.check_pre_votes();
    }

    pub(super) fn count_pre_vote(&mut self, from: NodeId) {
        if let RaftRole::PreCandidate(granted) = &mut self.role {
            granted.insert(from);
            self.check_pre_votes();
        }
    }

    pub(super) fn count_vote(&mut self, from: NodeId) {
        if let RaftRole::Candidate(granted) = &mut self.role {
            granted.insert(from);
            self.check_votes();
        }
    }

    /// Hands over to the voter that holds the most entries. With the former leader's own vote it
    /// has a quorum of three voters even if the others learn of it late.
    pub(super) fn resign(&mut self) {
        let members = self.members();
        let RaftRole::Leader(state) = &self.role else {
            return;
        };
        let is_voter = |(node, _): &(&NodeId, &PeerProgress)| members.voters.contains(node);
        let voters = state.progress.iter().filter(is_voter);
        let best = voters.max_by_key(|(_, progress)| (progress.is_active, progress.matched));
        let Some(successor) = best.map(|(node, _)| node.clone()) else {
            return;
        };
        let id = self.settings.id.clone();
        for member in members.nodes().filter(|node| **node != id) {
            self.send(member, RaftBody::Resign { successor: successor.clone() });
        }
        self.leader = None;
        self.become_follower();
    }

    /// Forgets a leader that resigned, and stands for election if it named this participant.
    pub(super) fn handle_resignation(&mut self, from: &NodeId, successor: &NodeId) {
        if self.leader.as_ref() != Some(from) {
            return;
        }
        self.leader = None;
        if *successor == self.settings.id {
            self.start_pre_vote();
        }
    }

    /// Grants the vote of the current term, at most once.
    pub(super) fn grant_vote(&mut self, from: &NodeId, last_index: u64, last_term: u64) -> bool {
        let HardState { term, voted_for } = self.hard_state.clone();
        let is_available = voted_for.as_ref().is_none_or(|voted| voted == from);
        let granted = is_available && self.is_up_to_date(last_index, last_term);
        if granted {
            self.set_hard_state(HardState { term, voted_for: Some(from.clone()) });
            self.timers.randomize_countdown(&self.settings);
        }
        granted
    }

    /// Whether a candidate's log holds all that this one may have confirmed.
    pub(super) fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        let (own_index, own_term) = self.last_entry();
        (last_term, last_index) >= (own_term, own_index)
    }

    /// Whether a message from a leader arrived within the shortest election timeout; no vote is due
    /// meanwhile.
    pub(super) fn has_recent_leader(&self) -> bool {
        let is_recent = self.timers.silence() < self.settings.election_timeout_min;
        self.is_leader() || self.leader.is_some() && is_recent
    }

    fn check_pre_votes(&mut self) {
        match &self.role {
            RaftRole::PreCandidate(granted) if self.has_quorum(granted) => self.start_vote(),
            _ => {}
        }
    }

    fn start_vote(&mut self) {
        let id = self.settings.id.clone();
        let term = self.hard_state.term + 1;
        self.set_hard_state(HardState { term, voted_for: Some(id.clone()) });
        self.role = RaftRole::Candidate([id].into());
        let (last_index, last_term) = self.last_entry();
        self.send_to_voters(&RaftBody::VoteRequest { last_index, last_term });
        self.check_votes();
    }

    fn check_votes(&mut self) {
        match &self.role {
            RaftRole::Candidate(granted) if self.has_quorum(granted) => self.become_leader(),
            _ => {}
        }
    }

    /// Leads the current term; its first entry commits those of earlier terms.
    fn become_leader(&mut self) {
        let mut state = LeaderState::default();
        state.track_members(&self.settings.id, self.log.members(), self.log.last_index());
        self.role = RaftRole::Leader(state);
        self.leader = Some(self.settings.id.clone());
        self.timers.set_countdown(self.settings.election_timeout_max);
        self.timers.set_heartbeat(self.settings.heartbeat_interval);
        self.append_entry(EntryPayload::Noop);
    }

    fn send_to_voters(&mut self, body: &RaftBody) {
        let id = self.settings.id.clone();
        let members = self.members();
        for voter in members.voters.iter().filter(|voter| **voter != id) {
            self.send(voter, body.clone());
        }
    }

    fn has_quorum(&self, granted: &std::collections::BTreeSet<NodeId>) -> bool {
        let members = self.log.members();
        granted.intersection(&members.voters).count() >= members.quorum()
    }

    fn last_entry(&self) -> (u64, u64) {
        (self.log.last_index(), self.log.last_term())
    }
}
