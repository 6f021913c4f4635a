//! A model of a group for exhaustive search: real nodes, their folders, and every message ever
//! sent.
//!
//! A message stays deliverable forever and its delivery is never forced, so that messages are lost,
//! duplicated, delayed and reordered in all ways. A step is atomic with its sync: a crash between
//! the two is a crash before the step, and one after it loses only messages.

mod interner;
mod model_state;
mod planted_fault;
mod search_report;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use wheel_agreement::{
    FolderIdentity, GroupId, GroupMembers, LogEntry, NodeId, ProposalId, RaftInput, RaftMessage,
    RaftNode, RaftOutput, RaftSettings, RaftSnapshot, RaftStatus, ReadId, RestoredRaft, RoleName,
    VoterChange,
};
use wheel_types::{InstanceName, MonotonicTime};

use interner::Interner;
use model_state::Commit;
pub(crate) use model_state::{ModelBudget, ModelState, Violation};
pub(crate) use planted_fault::Fault;
pub(crate) use search_report::{SearchReport, search};

#[derive(Clone, Eq, Hash, PartialEq)]
struct ModelNode {
    node: RaftNode,
    disk: RestoredRaft,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Envelope {
    from: NodeId,
    to: NodeId,
    message: RaftMessage,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum ModelEvent {
    Deliver(u32),
    Tick,
    Propose(u8),
    Read,
    Crash,
    LoseFolder,
    /// The voter of the instance at this index is removed.
    Remove(usize),
    Resign,
    Compact,
}

/// Effects of a step that matter to the model.
struct ModelEffect {
    node: u32,
    sends: Vec<u32>,
    applied: Vec<u32>,
    term: u64,
    /// The group in which the node became leader.
    elected_in: Option<GroupId>,
    read_ready: Option<u64>,
    restored: Option<(u64, Arc<[u8]>)>,
}

/// Runs real nodes and caches the effects of each step, because most steps recur in many states.
pub(crate) struct RaftModel {
    names: Vec<InstanceName>,
    /// How many of them, from the first on, form the group.
    founders: usize,
    fault: Option<Fault>,
    /// Whether the first folders of the instances form the group, and no other folder may.
    has_founders: bool,
    nodes: Interner<ModelNode>,
    envelopes: Interner<Envelope>,
    entries: Interner<LogEntry>,
    effects: HashMap<(u32, ModelEvent), Rc<ModelEffect>>,
}

const TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_INDEX: u64 = RaftSnapshot::FIRST_INDEX;
const READ: ReadId = ReadId(1);

impl RaftModel {
    pub(crate) fn open(names: &[&str], fault: Option<Fault>) -> Self {
        Self {
            names: names.iter().map(|name| InstanceName::new(*name)).collect(),
            founders: names.len(),
            fault,
            has_founders: false,
            nodes: Interner::default(),
            envelopes: Interner::default(),
            entries: Interner::default(),
            effects: HashMap::new(),
        }
    }

    /// The same with instances whose first folders are known to be that.
    pub(crate) fn open_founders(names: &[&str], fault: Option<Fault>) -> Self {
        Self { has_founders: true, ..Self::open(names, fault) }
    }

    /// The same with a further instance, whose folder is empty, and which replaces silent voters.
    pub(crate) fn open_spare(names: &[&str], spare: &str, fault: Option<Fault>) -> Self {
        let all: Vec<&str> = names.iter().copied().chain([spare]).collect();
        Self { founders: names.len(), ..Self::open_founders(&all, fault) }
    }

    /// The state in which all folders are empty.
    pub(crate) fn empty_state(&mut self, budget: ModelBudget) -> ModelState {
        self.state_of(&RestoredRaft::default(), budget)
    }

    /// The state in which the group has formed.
    pub(crate) fn formed_state(&mut self, budget: ModelBudget) -> ModelState {
        let ids: Vec<NodeId> =
            (0..self.names.len()).map(|node_index| self.id_at(node_index, 1)).collect();
        let group = GroupId::of_voters(ids.iter());
        let members = GroupMembers::of_voters(ids).into();
        let snapshot = RaftSnapshot { group, index: FIRST_INDEX, members, ..Default::default() };
        self.state_of(&RestoredRaft { snapshot, ..Default::default() }, budget)
    }

    /// The state with all messages sent so far lost.
    pub(crate) fn without_messages(&self, state: &ModelState) -> ModelState {
        ModelState { messages: Vec::new(), ..state.clone() }
    }

    /// All states that one event can lead to.
    pub(crate) fn successors(&mut self, state: &ModelState) -> Vec<ModelState> {
        if state.violation.is_some() || state.events >= state.budget.events {
            return Vec::new();
        }
        let node_indices = 0..state.nodes.len();
        let local = node_indices.flat_map(|node_index| self.local_events(state, node_index));
        let events: Vec<_> = local.chain(self.deliveries(state)).collect();
        let next =
            events.into_iter().map(|(node_index, event)| self.after(state, node_index, event));
        next.filter(|next| next != state).collect()
    }

    /// Delivers all messages to `node_indices` until nothing changes: a network without faults.
    pub(crate) fn settle(&mut self, mut state: ModelState, node_indices: &[usize]) -> ModelState {
        loop {
            let before = state.clone();
            for (node_index, event) in self.deliveries(&before) {
                if node_indices.contains(&node_index) {
                    state = self.after(&state, node_index, event);
                }
            }
            if state == before {
                return state;
            }
        }
    }

    /// Applies an event regardless of the budget.
    pub(crate) fn force(
        &mut self,
        state: &ModelState,
        node_index: usize,
        event: ModelEvent,
    ) -> ModelState {
        let mut next = self.after(state, node_index, event);
        next.budget = state.budget;
        next
    }

    fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// The status of the node at `node_index`.
    pub(crate) fn status(&self, state: &ModelState, node_index: usize) -> RaftStatus {
        self.nodes.value(state.nodes[node_index]).node.status()
    }

    fn state_of(&mut self, disk: &RestoredRaft, budget: ModelBudget) -> ModelState {
        let node_indices = 0..self.names.len();
        let nodes = node_indices.map(|node_index| {
            let node = self.open_node(self.id_at(node_index, 1), disk);
            self.nodes.number(ModelNode { node, disk: disk.clone() })
        });
        ModelState {
            events: 0,
            nodes: nodes.collect(),
            messages: Vec::new(),
            commits: Vec::new(),
            leaders: Vec::new(),
            min_read_index: None,
            budget,
            violation: None,
        }
    }

    fn id_at(&self, node_index: usize, folder: u64) -> NodeId {
        let instance = self.names[node_index].clone();
        match self.has_founders && folder == 1 && node_index < self.founders {
            true => NodeId::founder(instance),
            false => NodeId { instance, identity: FolderIdentity(folder * 10 + node_index as u64) },
        }
    }

    /// The id of the folder that follows that of `id`.
    fn next_id(&self, node_index: usize, id: &NodeId) -> NodeId {
        match self.fault {
            Some(Fault::KeepIdentity | Fault::FoundAgain) => id.clone(),
            _ if id.is_founder() => self.id_at(node_index, 2),
            _ => self.id_at(node_index, id.identity.0 / 10 + 1),
        }
    }

    fn open_node(&self, id: NodeId, disk: &RestoredRaft) -> RaftNode {
        let voters = self.names.iter().take(self.founders).cloned();
        let mut settings = RaftSettings::new(id, voters);
        // A spare is promoted between two quorum checks, so a heartbeat must come between them.
        let has_spare = self.founders < self.names.len();
        let heartbeat = if has_spare { TIMEOUT / 2 } else { TIMEOUT };
        settings = settings.with_times(heartbeat, [TIMEOUT, TIMEOUT]);
        settings.replace_folder_after = TIMEOUT;
        settings.trailing_entries = 0;
        settings.max_chunk_bytes = 5;
        if self.has_founders {
            settings.may_bootstrap = false;
            settings.target_voters = Some(self.founders);
            settings.replace_voter_after = TIMEOUT;
        }
        RaftNode::open(settings, disk.clone(), MonotonicTime::default(), 0)
    }

    fn deliveries(&self, state: &ModelState) -> Vec<(usize, ModelEvent)> {
        let index_of = |number: u32| {
            let to = &self.envelopes.value(number).to;
            self.names.iter().position(|name| *name == to.instance)
        };
        let deliver = |number: &u32| Some((index_of(*number)?, ModelEvent::Deliver(*number)));
        state.messages.iter().filter_map(deliver).collect()
    }

    fn local_events(&self, state: &ModelState, node_index: usize) -> Vec<(usize, ModelEvent)> {
        let budget = &state.budget;
        let status = self.nodes.value(state.nodes[node_index]).node.status();
        let leads = status.role == RoleName::Leader;
        let may_tick = budget.ticks > 0 && (leads || status.term < budget.max_term);
        let may_compact = budget.snapshots > 0 && status.commit > status.snapshot_index;
        let events = [
            (may_tick, ModelEvent::Tick),
            (budget.proposals > 0 && leads, ModelEvent::Propose(budget.proposals)),
            (budget.reads > 0 && leads, ModelEvent::Read),
            (budget.crashes > 0, ModelEvent::Crash),
            (budget.losses > 0, ModelEvent::LoseFolder),
            (budget.resigns > 0 && leads, ModelEvent::Resign),
            (budget.removals > 0 && leads, ModelEvent::Remove(0)),
            (budget.removals > 0 && leads, ModelEvent::Remove(1)),
            (budget.removals > 0 && leads, ModelEvent::Remove(2)),
            (may_compact, ModelEvent::Compact),
        ];
        let possible = events.into_iter().filter(|(is_possible, _)| *is_possible);
        possible.map(|(_, event)| (node_index, event)).collect()
    }

    fn after(&mut self, state: &ModelState, node_index: usize, event: ModelEvent) -> ModelState {
        let effect = self.effect(node_index, state.nodes[node_index], event);
        let mut next = state.clone();
        next.events += 1;
        next.consume(event);
        next.nodes[node_index] = effect.node;
        for number in &effect.sends {
            if let Err(at) = next.messages.binary_search(number) {
                next.messages.insert(at, *number);
            }
        }
        if event == ModelEvent::Read {
            next.min_read_index = Some(FIRST_INDEX + state.commits.len() as u64);
        }
        next.violation = state.violation.or(self.check(&mut next, node_index, &effect));
        next
    }

    /// Checks every invariant after a step and records what was committed and who leads.
    fn check(
        &self,
        state: &mut ModelState,
        node_index: usize,
        effect: &ModelEffect,
    ) -> Option<Violation> {
        let mut violation = None;
        if let Some(group) = effect.elected_in {
            let leader = (group, effect.term, node_index as u8);
            let is_other_leader = |(other, term, at): &(GroupId, u64, u8)| {
                *other == group && *term == effect.term && *at as usize != node_index
            };
            violation = violation
                .or(state.leaders.iter().any(is_other_leader).then_some(Violation::TwoLeaders))
                .or(state
                    .leaders
                    .iter()
                    .any(|other| other.0 != group)
                    .then_some(Violation::TwoGroups))
                .or(self.lacks_commit(state, effect).then_some(Violation::CommitLost));
            if !state.leaders.contains(&leader) {
                state.leaders.push(leader);
                state.leaders.sort_unstable();
            }
        }
        for number in &effect.applied {
            let at = (self.entries.value(*number).index - FIRST_INDEX - 1) as usize;
            let commit = Commit { entry: *number, term: effect.term };
            match state.commits.get(at) {
                Some(known) if known.entry == *number => {}
                None if at == state.commits.len() => state.commits.push(commit),
                _ => violation = violation.or(Some(Violation::AppliedDiffer)),
            }
        }
        if let Some((index, snapshot)) = &effect.restored {
            let is_known = *index <= FIRST_INDEX + state.commits.len() as u64;
            let is_whole = snapshot.is_empty() || **snapshot == index.to_le_bytes();
            violation = violation.or((!is_known || !is_whole).then_some(Violation::AppliedDiffer));
        }
        let is_stale = effect.read_ready.is_some() && effect.read_ready < state.min_read_index;
        violation.or(is_stale.then_some(Violation::StaleRead))
    }

    /// Whether a new leader lacks an entry that was committed in an earlier term.
    fn lacks_commit(&self, state: &ModelState, effect: &ModelEffect) -> bool {
        let leader = &self.nodes.value(effect.node).node;
        let snapshot_index = leader.status().snapshot_index;
        state.commits.iter().filter(|commit| commit.term < effect.term).any(|commit| {
            let entry = self.entries.value(commit.entry);
            entry.index > snapshot_index && leader.entry(entry.index) != Some(&*entry)
        })
    }

    fn effect(&mut self, node_index: usize, number: u32, event: ModelEvent) -> Rc<ModelEffect> {
        if let Some(effect) = self.effects.get(&(number, event)) {
            return Rc::clone(effect);
        }
        let effect = Rc::new(self.run(node_index, &self.nodes.value(number), event));
        self.effects.insert((number, event), Rc::clone(&effect));
        effect
    }

    /// Runs the real step.
    fn run(&mut self, node_index: usize, before: &ModelNode, event: ModelEvent) -> ModelEffect {
        let ModelNode { mut node, mut disk } = before.clone();
        let (now, status) = (MonotonicTime::default(), node.status());
        let outputs = match event {
            ModelEvent::Deliver(number) => {
                let Envelope { from, message, .. } = (*self.envelopes.value(number)).clone();
                let answer = self.forged_reply(&message);
                let to = from.clone();
                let mut outputs = node.step(now, RaftInput::Message { from, message });
                outputs.extend(answer.map(|body| {
                    let target = to.identity;
                    let message = RaftMessage { group: GroupId::NONE, target, term: 0, body };
                    RaftOutput::Send { to, message }
                }));
                outputs
            }
            ModelEvent::Tick => node.step(node.next_tick(), RaftInput::Tick),
            ModelEvent::Propose(number) => {
                let (proposal, command) = (ProposalId(number.into()), vec![number]);
                node.step(now, RaftInput::Propose { proposal, command })
            }
            ModelEvent::Remove(at) => {
                let change = VoterChange::Remove(self.id_at(at, 1));
                node.step(now, RaftInput::ChangeVoter { proposal: ProposalId(0), change })
            }
            ModelEvent::Resign => node.step(now, RaftInput::Resign),
            ModelEvent::Read => node.step(now, RaftInput::Read { read: READ }),
            ModelEvent::Compact => {
                let (index, snapshot) = (status.commit, status.commit.to_le_bytes().to_vec());
                node.step(now, RaftInput::Compacted { index, snapshot })
            }
            ModelEvent::Crash => {
                node = self.open_node(status.id.clone(), &disk);
                Vec::new()
            }
            ModelEvent::LoseFolder => {
                let lost = self.lost_folder(&disk);
                let id = self.next_id(node_index, &status.id);
                disk = lost;
                node = self.open_node(id, &disk);
                Vec::new()
            }
        };
        let mut effect = ModelEffect {
            node: 0,
            sends: Vec::new(),
            applied: Vec::new(),
            term: node.status().term,
            elected_in: None,
            read_ready: None,
            restored: None,
        };
        let is_new_leader = node.status().role == RoleName::Leader
            && (status.role != RoleName::Leader || status.term != effect.term);
        effect.elected_in = is_new_leader.then_some(node.status().group);
        for output in outputs {
            self.carry_out(&node, &mut disk, &mut effect, output);
        }
        if event == ModelEvent::Read && self.fault == Some(Fault::ReadAtOnce) {
            effect.read_ready = Some(status.commit);
        }
        effect.node = self.nodes.number(ModelNode { node, disk });
        effect
    }

    fn carry_out(
        &mut self,
        node: &RaftNode,
        disk: &mut RestoredRaft,
        effect: &mut ModelEffect,
        output: RaftOutput,
    ) {
        match output {
            RaftOutput::Persist(records) => {
                let synced = records.into_iter().filter(|record| !self.is_dropped(record));
                synced.for_each(|record| disk.apply_record(record));
            }
            RaftOutput::Send { to, message } => {
                let from = node.status().id;
                let message = self.tamper(message);
                effect.sends.push(self.envelopes.number(Envelope { from, to, message }));
            }
            RaftOutput::Apply { entry, .. } => effect.applied.push(self.entries.number(entry)),
            RaftOutput::Restore { index, snapshot } => effect.restored = Some((index, snapshot)),
            RaftOutput::ReadReady { index, .. } => effect.read_ready = Some(index),
            _ => {}
        }
    }
}
