//! A leader's side of replication, reads and changes of the members.

use std::sync::Arc;

use crate::peer_progress::{PeerProgress, ProgressState, SnapshotProgress};
use crate::raft_role::{LeaderState, PendingProposal, PendingRead, RaftRole};
use crate::{
    AppendResult, EntryPayload, GroupMembers, LearnerGoal, LogEntry, NodeId, PersistRecord,
    ProposalId, ProposalRefusal, RaftBody, RaftNode, RaftOutput, ReadId, SnapshotChunk,
    VoterChange,
};

impl RaftNode {
    pub(super) fn propose(&mut self, proposal: ProposalId, payload: EntryPayload) {
        let settings = Arc::clone(&self.settings);
        match &mut self.role {
            RaftRole::Leader(state) if state.may_propose(&settings) => {
                let pending = PendingProposal { proposal, bytes: payload.size_bytes() };
                state.pending_bytes += pending.bytes;
                state.proposals.insert(self.log.last_index() + 1, pending);
                self.append_entry(payload);
            }
            RaftRole::Leader(_) => self.refuse(proposal, ProposalRefusal::Full),
            _ => self.refuse(proposal, ProposalRefusal::NotLeader),
        }
    }

    pub(super) fn refuse(&mut self, proposal: ProposalId, reason: ProposalRefusal) {
        let leader = self.leader.clone();
        self.outbox.push(RaftOutput::Refused { proposal, leader, reason });
    }

    pub(super) fn read(&mut self, read: ReadId) {
        let max_pending = self.settings.max_pending;
        match &mut self.role {
            RaftRole::Leader(state) if state.reads.len() < max_pending => {
                state.reads.push_back(PendingRead { read, round: state.round + 1 });
                state.has_new_reads = true;
            }
            _ => {
                let leader = self.leader.clone();
                self.outbox.push(RaftOutput::ReadRefused { read, leader });
            }
        }
    }

    pub(super) fn change_voter(&mut self, proposal: ProposalId, change: &VoterChange) {
        match self.log.members().with_change(change) {
            _ if !self.is_leader() => self.refuse(proposal, ProposalRefusal::NotLeader),
            _ if !self.may_change_members() => {
                self.refuse(proposal, ProposalRefusal::ChangePending);
            }
            None => self.refuse(proposal, ProposalRefusal::NoChange),
            Some(members) => self.propose(proposal, EntryPayload::Members(Arc::new(members))),
        }
    }

    /// Appends an entry of the current term.
    pub(super) fn append_entry(&mut self, payload: EntryPayload) {
        let (index, term) = (self.log.last_index() + 1, self.hard_state.term);
        let entry = LogEntry { index, term, payload };
        self.log.push(entry.clone());
        self.outbox.save(PersistRecord::Append(vec![entry]));
        if let RaftRole::Leader(state) = &mut self.role {
            state.track_members(&self.settings.id, self.log.members(), index);
        }
    }

    pub(super) fn accept_proposal(&mut self, index: u64) {
        if let RaftRole::Leader(state) = &mut self.role
            && let Some(pending) = state.proposals.remove(&index)
        {
            state.pending_bytes -= pending.bytes;
            self.outbox.push(RaftOutput::Accepted { proposal: pending.proposal, index });
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if self.timers.countdown_due() {
            self.timers.set_countdown(self.settings.election_timeout_max);
            self.check_quorum();
        }
        if self.timers.heartbeat_due() && self.is_leader() {
            self.timers.set_heartbeat(self.settings.heartbeat_interval);
            self.send_heartbeats();
        }
    }

    pub(super) fn handle_reply(&mut self, from: &NodeId, round: u64, result: AppendResult) {
        let RaftRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state.progress.get_mut(from) else {
            return;
        };
        progress.record_contact();
        progress.round = progress.round.max(round);
        match result {
            AppendResult::Matched { index } => progress.record_matched(index),
            AppendResult::Received { index, offset } => progress.record_received(index, offset),
            AppendResult::Rejected { prev_index, hint_index, hint_term } => {
                let candidate = self.log.find_agreement(hint_index, hint_term);
                progress.record_rejected(prev_index, candidate);
            }
        }
    }

    /// Ends a step: commits what a quorum holds, confirms reads and sends what is due.
    pub(super) fn finish_leader_step(&mut self) {
        if !self.is_leader() {
            return;
        }
        self.start_round();
        self.advance_commit();
        self.confirm_reads();
        self.send_entries();
        self.step_down_if_removed();
    }

    fn start_round(&mut self) {
        if let RaftRole::Leader(state) = &mut self.role
            && state.has_new_reads
        {
            state.has_new_reads = false;
            state.round += 1;
            state.needs_broadcast = true;
        }
    }

    fn advance_commit(&mut self) {
        let last_index = self.log.last_index();
        let replicated = self.quorum_value(last_index, |progress| progress.matched);
        // An entry of an earlier term counts only once one of this term is committed after it.
        let is_current_term = self.log.term_at(replicated) == Some(self.hard_state.term);
        if replicated <= self.commit || !is_current_term {
            return;
        }
        let had_pending_change = self.log.members_index() > self.commit;
        self.commit_to(replicated);
        if had_pending_change && self.may_change_members() {
            self.welcome_new_members();
            self.repair_members();
        }
    }

    fn confirm_reads(&mut self) {
        let RaftRole::Leader(state) = &self.role else {
            return;
        };
        let confirmed = self.quorum_value(state.round, |progress| progress.round);
        let has_committed = self.has_committed_in_term();
        let index = self.commit;
        let RaftRole::Leader(state) = &mut self.role else {
            return;
        };
        while let Some(pending) = state.reads.pop_front() {
            if !has_committed || pending.round > confirmed {
                state.reads.push_front(pending);
                return;
            }
            self.outbox.push(RaftOutput::ReadReady { read: pending.read, index });
        }
    }

    fn check_quorum(&mut self) {
        let RaftRole::Leader(state) = &mut self.role else {
            return;
        };
        if !state.check_quorum(&self.settings.id, self.log.members()) {
            self.leader = None;
            self.become_follower();
        }
    }

    /// Sends a heartbeat to every member and continues a repair of the members.
    fn send_heartbeats(&mut self) {
        if let RaftRole::Leader(state) = &mut self.role {
            state.needs_broadcast = true;
            state.progress.values_mut().for_each(PeerProgress::record_heartbeat);
        }
        self.repair_members();
    }

    fn send_entries(&mut self) {
        let RaftRole::Leader(state) = &mut self.role else {
            return;
        };
        let needs_broadcast = std::mem::take(&mut state.needs_broadcast);
        let mut progresses = std::mem::take(&mut state.progress);
        for (node, progress) in &mut progresses {
            self.send_member(node, progress, needs_broadcast);
        }
        if let RaftRole::Leader(state) = &mut self.role {
            state.progress = progresses;
        }
    }

    /// Sends a member the entries it lacks, or only the commit index and the round.
    fn send_member(&mut self, node: &NodeId, progress: &mut PeerProgress, needs_broadcast: bool) {
        let may_send = progress.may_send(self.settings.max_inflight_entries);
        let lacks = progress.next <= self.log.last_index();
        let Some(prev_term) = self.log.term_at(progress.next - 1) else {
            return self.send_snapshot(node, progress, needs_broadcast);
        };
        let is_probing = progress.state == ProgressState::Probe { paused: false };
        let is_due = needs_broadcast || progress.lacks_commit(self.commit);
        if !is_due && !(may_send && (lacks || is_probing)) {
            return;
        }
        let entries = match may_send {
            true => self.log.entries_from(progress.next, self.settings.max_append_bytes),
            false => Vec::new(),
        };
        let prev_index = progress.next - 1;
        progress.record_sent(prev_index + entries.len() as u64, self.commit);
        self.send_append(node, (prev_index, prev_term), entries);
    }

    /// Sends a member the next part of the snapshot if it is due, else only a heartbeat.
    fn send_snapshot(&mut self, node: &NodeId, progress: &mut PeerProgress, needs_broadcast: bool) {
        let snapshot = self.log.snapshot().clone();
        let mut transfer = match progress.state {
            ProgressState::Snapshot(transfer) if transfer.index == snapshot.index => transfer,
            _ => SnapshotProgress::open(snapshot.index),
        };
        if transfer.is_due {
            let max_bytes = self.settings.max_chunk_bytes;
            let chunk = SnapshotChunk::of(&snapshot, transfer.offset, max_bytes);
            let round = self.round();
            self.send(node, RaftBody::InstallSnapshot { chunk, round });
            transfer.record_sent();
        } else if needs_broadcast {
            self.send_append(node, (snapshot.index, snapshot.term), Vec::new());
        }
        progress.state = ProgressState::Snapshot(transfer);
    }

    fn send_append(&mut self, node: &NodeId, prev: (u64, u64), entries: Vec<LogEntry>) {
        let (prev_index, prev_term) = prev;
        let (commit, round) = (self.commit, self.round());
        let body = RaftBody::Append { prev_index, prev_term, entries, commit, round };
        self.send(node, body);
    }

    /// A leader that was removed by a committed entry has no vote any more and steps down.
    fn step_down_if_removed(&mut self) {
        let is_voter = self.log.members().voters.contains(&self.settings.id);
        if !is_voter && self.log.members_index() <= self.commit {
            self.leader = None;
            self.become_follower();
        }
    }

    /// Takes the next step towards the wanted members: a learner that has caught up becomes a
    /// voter, after the lost voter of its instance was removed.
    fn repair_members(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let RaftRole::Leader(state) = &self.role else {
            return;
        };
        let members = self.log.members();
        let next = next_promotion(members, state, self.commit, &self.settings.id)
            .or_else(|| self.next_replacement(state));
        if let Some(next) = next {
            self.append_entry(EntryPayload::Members(Arc::new(next)));
        }
    }

    /// The next step that maintains the wanted number of live voters: add a learner where one is
    /// missing, add a learner that replaces a silent voter, or remove a silent voter in excess.
    fn next_replacement(&self, state: &LeaderState) -> Option<GroupMembers> {
        let target = self.settings.target_voters?;
        let members = self.log.members();
        let is_silent = |voter: &&NodeId| {
            let progress = state.progress.get(*voter);
            let silent =
                |progress: &PeerProgress| progress.silence >= self.settings.replace_voter_after;
            **voter != self.settings.id && progress.is_some_and(silent)
        };
        let silent = members.voters.iter().find(is_silent);
        let has_caught_up = |learner: &&NodeId| {
            let progress = state.progress.get(*learner);
            progress.is_some_and(|progress| progress.is_active && progress.matched >= self.commit)
        };
        let learner = members.learners.keys().find(has_caught_up);
        match (members.voters.len(), silent, learner) {
            (count, Some(silent), _) if count > target => {
                members.with_change(&VoterChange::Remove(silent.clone()))
            }
            (count, _, Some(learner)) if count < target => Some(members.with_voter(learner)),
            (count, Some(_), Some(learner)) if count == target => Some(members.with_voter(learner)),
            _ => None,
        }
    }

    /// Whether no change of the members is pending and the commit index is known to be current.
    pub(super) fn may_change_members(&self) -> bool {
        self.log.members_index() <= self.commit && self.has_committed_in_term()
    }

    fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard_state.term)
    }

    fn quorum_value(&self, own: u64, value: impl Fn(&PeerProgress) -> u64) -> u64 {
        match &self.role {
            RaftRole::Leader(state) => {
                state.quorum_value(&self.settings.id, self.log.members(), own, value)
            }
            _ => 0,
        }
    }

    fn round(&self) -> u64 {
        match &self.role {
            RaftRole::Leader(state) => state.round,
            _ => 0,
        }
    }
}

/// The next members while a learner becomes a voter, with one voter changed at a time.
fn next_promotion(
    members: &GroupMembers,
    state: &LeaderState,
    commit: u64,
    id: &NodeId,
) -> Option<GroupMembers> {
    let has_caught_up = |node: &NodeId| {
        let progress = state.progress.get(node);
        progress.is_some_and(|progress| progress.is_active && progress.matched >= commit)
    };
    let wants_vote =
        |(node, goal): &(&NodeId, &LearnerGoal)| **goal == LearnerGoal::Vote && has_caught_up(node);
    let next_for = |(learner, _): (&NodeId, &LearnerGoal)| match members.previous_voter(learner) {
        Some(previous) if previous == id => None,
        Some(previous) => members.with_change(&VoterChange::Remove(previous.clone())),
        None => Some(members.with_voter(learner)),
    };
    members.learners.iter().filter(wants_vote).find_map(next_for)
}
