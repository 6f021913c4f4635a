//! A participant of the replicated log.

mod election;
mod joining;
mod leading;
mod replication;

use std::mem;
use std::sync::Arc;

use wheel_types::MonotonicTime;

use crate::leader_search::LeaderSearch;
use crate::raft_log::RaftLog;
use crate::raft_outbox::RaftOutbox;
use crate::raft_role::{LeaderState, RaftRole};
use crate::raft_timers::RaftTimers;
use crate::snapshot_chunk::SnapshotAssembly;
use crate::{
    EntryPayload, GroupId, GroupMembers, HardState, LogEntry, NodeId, PeerStatus, PersistRecord,
    ProposalRefusal, RaftBody, RaftInput, RaftMessage, RaftOutput, RaftSettings, RaftSnapshot,
    RaftStatus, RestoredRaft, RoleName,
};

/// A participant of the replicated log: Raft with pre-votes, a leader that steps down without a
/// quorum, learners, and one change of the voters at a time.
///
/// The driver passes inputs to [`RaftNode::step`] and carries out the returned [`RaftOutput`]s in
/// order. Only the time between calls counts, and randomness comes from the seed, so that the same
/// inputs give the same outputs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RaftNode {
    settings: Arc<RaftSettings>,
    hard_state: HardState,
    log: RaftLog,
    commit: u64,
    role: RaftRole,
    leader: Option<NodeId>,
    search: LeaderSearch,
    /// A snapshot that is being received.
    assembly: Option<SnapshotAssembly>,
    timers: RaftTimers,
    outbox: RaftOutbox,
}

impl RaftNode {
    /// Starts from the contents of the data folder. The first step's outputs restore the snapshot.
    pub fn open(
        settings: RaftSettings,
        restored: RestoredRaft,
        now: MonotonicTime,
        seed: u64,
    ) -> Self {
        let is_formed = restored.snapshot.group != GroupId::NONE;
        let mut node = Self {
            settings: Arc::new(settings),
            hard_state: restored.hard_state,
            commit: restored.snapshot.index,
            log: RaftLog::open(restored.snapshot, restored.entries),
            role: RaftRole::Follower,
            leader: None,
            search: LeaderSearch::default(),
            assembly: None,
            timers: RaftTimers::open(now, seed),
            outbox: RaftOutbox::default(),
        };
        match is_formed {
            true => node.timers.randomize_countdown(&node.settings),
            false => node.role = RaftRole::Joining(Default::default()),
        }
        if node.commit > 0 {
            node.push_restore();
        }
        node
    }

    /// Handles one input. See [`RaftNode::step_batch`], which costs fewer syncs.
    pub fn step(&mut self, now: MonotonicTime, input: RaftInput) -> Vec<RaftOutput> {
        self.step_batch(now, [input])
    }

    /// Handles all pending inputs; their records are synced together.
    pub fn step_batch(
        &mut self,
        now: MonotonicTime,
        inputs: impl IntoIterator<Item = RaftInput>,
    ) -> Vec<RaftOutput> {
        let elapsed = self.timers.advance(now, &self.settings);
        if let RaftRole::Leader(state) = &mut self.role {
            let longest = self.settings.replace_folder_after.max(self.settings.replace_voter_after);
            state.advance(elapsed, longest);
        }
        inputs.into_iter().for_each(|input| self.handle_input(input));
        self.finish_leader_step();
        self.outbox.drain()
    }

    /// When the next [`RaftInput::Tick`] is due.
    pub fn next_tick(&self) -> MonotonicTime {
        match self.role {
            RaftRole::Leader(_) => self.timers.next_heartbeat(),
            _ => self.timers.next_countdown(),
        }
    }

    /// This participant.
    pub fn id(&self) -> &NodeId {
        &self.settings.id
    }

    /// Its current role.
    pub fn role(&self) -> RoleName {
        self.role.name()
    }

    /// Its current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The state for operators and metrics.
    pub fn status(&self) -> RaftStatus {
        let (peers, live_voters, waiting) = match &self.role {
            RaftRole::Leader(state) => (
                peer_statuses(state),
                self.live_voters(state),
                state.waiting.iter().cloned().collect(),
            ),
            _ => Default::default(),
        };
        RaftStatus {
            id: self.settings.id.clone(),
            group: self.group(),
            role: self.role.name(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            commit: self.commit,
            last_index: self.log.last_index(),
            snapshot_index: self.log.snapshot().index,
            members: Arc::clone(self.log.members()),
            wanted_voters: self.settings.target_voters,
            live_voters,
            peers,
            waiting,
        }
    }

    /// The entry at `index`, unless a snapshot replaced it.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    fn handle_input(&mut self, input: RaftInput) {
        match input {
            RaftInput::Tick => self.tick(),
            RaftInput::Message { from, message } => self.receive(from, message),
            RaftInput::Propose { proposal, command }
                if command.len() > self.settings.max_command_bytes =>
            {
                self.refuse(proposal, ProposalRefusal::TooLarge);
            }
            RaftInput::Propose { proposal, command } => {
                self.propose(proposal, EntryPayload::Command(command.into()));
            }
            RaftInput::Read { read } => self.read(read),
            RaftInput::ChangeVoter { proposal, change } => self.change_voter(proposal, &change),
            RaftInput::SetContacts { contacts } => self.search.set_contacts(contacts),
            RaftInput::Resign => self.resign(),
            RaftInput::Compacted { index, snapshot } => self.compact(index, snapshot),
        }
    }

    fn tick(&mut self) {
        match self.role {
            RaftRole::Joining(_) if self.timers.countdown_due() => self.send_hello(),
            RaftRole::Leader(_) => self.tick_leader(),
            _ if self.timers.countdown_due() => self.seek_leader(),
            _ => {}
        }
    }

    fn receive(&mut self, from: NodeId, message: RaftMessage) {
        let id = &self.settings.id;
        let is_for_this_node = message.target == id.identity || message.target.0 == 0;
        if !is_for_this_node || from == *id {
            return;
        }
        match message.body {
            RaftBody::Hello { configured } => self.handle_hello(from, &configured),
            RaftBody::Empty { configured } => self.handle_empty(from, &configured),
            RaftBody::Leader { instance } => self.handle_leader(message.group, instance),
            RaftBody::Welcome { members } if message.target == id.identity => {
                self.handle_welcome(message.group, members);
            }
            _ if self.is_joining() || message.group != self.group() => {}
            RaftBody::JoinRequest => self.handle_join_request(from),
            body => self.receive_in_group(from, message.term, body),
        }
    }

    fn receive_in_group(&mut self, from: NodeId, term: u64, body: RaftBody) {
        let is_vote_request =
            matches!(body, RaftBody::PreVoteRequest { .. } | RaftBody::VoteRequest { .. });
        if is_vote_request && self.has_recent_leader() {
            return;
        }
        if term > self.hard_state.term {
            self.enter_term(term);
        }
        let is_current = term == self.hard_state.term;
        match body {
            RaftBody::PreVoteRequest { last_index, last_term } => {
                let granted = is_current && self.is_up_to_date(last_index, last_term);
                self.send(&from, RaftBody::PreVoteReply { granted });
            }
            RaftBody::VoteRequest { last_index, last_term } => {
                let granted = is_current && self.grant_vote(&from, last_index, last_term);
                self.send(&from, RaftBody::VoteReply { granted });
            }
            RaftBody::Append { prev_index, round, .. } if !is_current => {
                self.reject_append(&from, prev_index, round);
            }
            _ if !is_current => {}
            RaftBody::PreVoteReply { granted: true } => self.count_pre_vote(from),
            RaftBody::VoteReply { granted: true } => self.count_vote(from),
            RaftBody::Append { prev_index, prev_term, entries, commit, round } => {
                self.follow_leader(&from);
                self.append(&from, (prev_index, prev_term), entries, commit, round);
            }
            RaftBody::InstallSnapshot { chunk, round } => {
                self.follow_leader(&from);
                self.install(&from, &chunk, round);
            }
            RaftBody::Resign { successor } => self.handle_resignation(&from, &successor),
            RaftBody::AppendReply { round, result } => self.handle_reply(&from, round, result),
            _ => {}
        }
    }

    /// Moves to a newer term without a vote in it.
    fn enter_term(&mut self, term: u64) {
        debug_assert!(term > self.hard_state.term, "terms only rise");
        self.set_hard_state(HardState { term, voted_for: None });
        self.leader = None;
        self.become_follower();
    }

    /// Follows the leader of the current term.
    fn follow_leader(&mut self, leader: &NodeId) {
        debug_assert!(!self.is_leader(), "a term has one leader");
        self.leader = Some(leader.clone());
        self.search.clear();
        self.timers.reset_silence();
        self.become_follower();
    }

    fn become_follower(&mut self) {
        let role = mem::replace(&mut self.role, RaftRole::Follower);
        self.timers.randomize_countdown(&self.settings);
        if let RaftRole::Leader(state) = role {
            self.abandon_pending(state);
        }
    }

    /// Reports a former leader's pending proposals as unresolved and its reads as refused.
    fn abandon_pending(&mut self, state: LeaderState) {
        for pending in state.proposals.into_values() {
            let (proposal, leader) = (pending.proposal, self.leader.clone());
            self.outbox.push(RaftOutput::Unresolved { proposal, leader });
        }
        for pending in state.reads {
            let leader = self.leader.clone();
            self.outbox.push(RaftOutput::ReadRefused { read: pending.read, leader });
        }
    }

    fn compact(&mut self, index: u64, state: Vec<u8>) {
        debug_assert!(state.len() <= RaftSnapshot::MAX_BYTES, "the state is bounded");
        debug_assert!(index <= self.commit, "only applied entries are compacted");
        let RaftSettings { trailing_entries, trailing_bytes, .. } = *self.settings;
        let trailing = (trailing_entries, trailing_bytes);
        if index <= self.commit && self.log.compact(index, state.into(), trailing) {
            self.outbox.save(PersistRecord::Snapshot(self.log.snapshot().clone()));
        }
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state.clone();
        self.outbox.save_hard_state(hard_state);
    }

    fn send(&mut self, to: &NodeId, body: RaftBody) {
        let message = RaftMessage {
            group: self.group(),
            target: to.identity,
            term: self.hard_state.term,
            body,
        };
        self.outbox.push(RaftOutput::Send { to: to.clone(), message });
    }

    fn push_restore(&mut self) {
        let RaftSnapshot { index, state, .. } = self.log.snapshot();
        let (index, snapshot) = (*index, Arc::clone(state));
        self.outbox.push(RaftOutput::Restore { index, snapshot });
    }

    fn live_voters(&self, state: &LeaderState) -> usize {
        let is_live = |voter: &&NodeId| {
            let progress = state.progress.get(*voter);
            **voter == self.settings.id
                || progress.is_some_and(|it| it.silence < self.settings.election_timeout_max)
        };
        self.log.members().voters.iter().filter(is_live).count()
    }

    fn members(&self) -> Arc<GroupMembers> {
        Arc::clone(self.log.members())
    }

    fn group(&self) -> GroupId {
        self.log.snapshot().group
    }

    fn is_joining(&self) -> bool {
        matches!(self.role, RaftRole::Joining(_))
    }

    fn is_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader(_))
    }
}

fn peer_statuses(state: &LeaderState) -> Vec<PeerStatus> {
    let peer_status = |(node, progress): (&NodeId, &crate::peer_progress::PeerProgress)| {
        let silent_ms = u64::try_from(progress.silence.as_millis()).unwrap_or(u64::MAX);
        PeerStatus { node: node.clone(), matched: progress.matched, silent_ms }
    };
    state.progress.iter().map(peer_status).collect()
}
