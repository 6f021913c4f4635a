//! A group in virtual time: nodes, their data folders and a network that can be partitioned.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wheel_agreement::{
    EntryPayload, GroupCommand, GroupState, LogEntry, NodeId, PersistRecord, ProposalId, RaftInput,
    RaftMessage, RaftNode, RaftOutput, RaftSettings, RestoredRaft, RoleName, decode,
};
use wheel_types::{InstanceName, MonotonicTime};

const DELAY: Duration = Duration::from_millis(4);

/// One running participant with its folder.
pub(crate) struct TestNode {
    pub(crate) node: RaftNode,
    pub(crate) records: Vec<PersistRecord>,
    pub(crate) applied: Vec<LogEntry>,
    pub(crate) state: GroupState,
    /// Outputs that wait for room on the disk, and the inputs that arrived meanwhile.
    blocked: VecDeque<RaftOutput>,
    inbox: Vec<RaftInput>,
}

/// A message in flight.
#[derive(Clone)]
struct Envelope {
    from: NodeId,
    to: InstanceName,
    message: RaftMessage,
}

/// The group.
pub(crate) struct TestGroup {
    pub(crate) now: MonotonicTime,
    pub(crate) nodes: BTreeMap<InstanceName, TestNode>,
    pub(crate) outputs: Vec<RaftOutput>,
    /// Instances that are cut off from all others.
    pub(crate) cut: BTreeSet<InstanceName>,
    /// Instances whose disk is full: they wait from their next record on, see
    /// [`TestGroup::make_room`].
    pub(crate) full: BTreeSet<InstanceName>,
    /// Instances that are paused: messages to them wait.
    pub(crate) paused: BTreeSet<InstanceName>,
    /// Seed of a network that loses, duplicates and reorders messages; 0 stands for one that
    /// doesn't.
    pub(crate) fault_seed: u64,
    /// A planted fault: entries aren't synced.
    pub(crate) drops_entries: bool,
    /// All committed entries, as the first participant applied them.
    pub(crate) committed: Vec<LogEntry>,
    in_flight: BTreeMap<(MonotonicTime, u64), Envelope>,
    sent: u64,
    voters: Vec<InstanceName>,
    /// Adjusts the settings of each participant that is started.
    pub(crate) adjust: fn(&mut RaftSettings),
}

impl TestGroup {
    /// Starts `voters` with empty folders; the first identity of each is its position from 1.
    pub(crate) fn open(voters: &[&str]) -> Self {
        Self::open_with(voters, |_| {})
    }

    /// Like [`TestGroup::open`], with adjusted settings.
    pub(crate) fn open_with(voters: &[&str], adjust: fn(&mut RaftSettings)) -> Self {
        let names = voters.iter().map(|name| InstanceName::new(*name)).collect();
        let mut group = Self {
            now: MonotonicTime::from_millis(1),
            nodes: BTreeMap::new(),
            outputs: Vec::new(),
            cut: BTreeSet::new(),
            full: BTreeSet::new(),
            paused: BTreeSet::new(),
            fault_seed: 0,
            drops_entries: false,
            committed: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            voters: names,
            adjust,
        };
        for (index, name) in voters.iter().enumerate() {
            group.start(NodeId::new(*name, index as u64 + 1), Vec::new());
        }
        group
    }

    /// Starts a participant from its folder's records.
    pub(crate) fn start(&mut self, id: NodeId, records: Vec<PersistRecord>) {
        let mut settings = RaftSettings::new(id.clone(), self.voters.iter().cloned());
        settings.max_chunk_bytes = 100;
        (self.adjust)(&mut settings);
        let restored = RestoredRaft::replay(records.iter().cloned());
        let node = RaftNode::open(settings, restored, self.now, id.identity.0);
        let (applied, state, blocked, inbox) = Default::default();
        let started = TestNode { node, records, applied, state, blocked, inbox };
        self.nodes.insert(id.instance, started);
    }

    /// Stops a participant and returns its folder.
    pub(crate) fn stop(&mut self, name: &str) -> Vec<PersistRecord> {
        self.nodes.remove(name).map(|stopped| stopped.records).unwrap_or_default()
    }

    /// Stops a participant and starts it again from its folder.
    pub(crate) fn restart(&mut self, name: &str) {
        let id = self.nodes[name].node.status().id;
        let records = self.stop(name);
        self.start(id, records);
    }

    /// Passes an input to a participant and carries out its outputs.
    pub(crate) fn input(&mut self, name: &str, input: RaftInput) {
        let Some(test) = self.nodes.get_mut(name) else {
            return;
        };
        if !test.blocked.is_empty() {
            test.inbox.push(input);
            return;
        }
        let outputs = test.node.step(self.now, input);
        self.carry_out(name, outputs);
    }

    /// Ends a full disk: what waited for it is carried out, then all that arrived meanwhile is
    /// handled together.
    pub(crate) fn make_room(&mut self, name: &str) {
        self.full.remove(name);
        let Some(test) = self.nodes.get_mut(name) else {
            return;
        };
        let outputs = std::mem::take(&mut test.blocked);
        self.carry_out(name, outputs);
        let Some(test) = self.nodes.get_mut(name) else {
            return;
        };
        let mut inputs = std::mem::take(&mut test.inbox);
        if test.node.next_tick() <= self.now {
            inputs.push(RaftInput::Tick);
        }
        let outputs = test.node.step_batch(self.now, inputs);
        self.carry_out(name, outputs);
    }

    /// Carries out outputs in order, up to a record for which there is no room.
    fn carry_out(&mut self, name: &str, outputs: impl IntoIterator<Item = RaftOutput>) {
        let is_full = self.full.contains(name);
        let Some(test) = self.nodes.get_mut(name) else {
            return;
        };
        let from = test.node.status().id;
        let mut sends = Vec::new();
        for output in outputs {
            match output {
                output if !test.blocked.is_empty() => test.blocked.push_back(output),
                RaftOutput::Persist(records) if is_full => {
                    test.blocked.push_back(RaftOutput::Persist(records));
                }
                RaftOutput::Persist(records) => {
                    let is_dropped = |record: &PersistRecord| {
                        self.drops_entries && matches!(record, PersistRecord::Append(_))
                    };
                    test.records.extend(records.into_iter().filter(|record| !is_dropped(record)));
                }
                RaftOutput::Send { to, message } => {
                    let (from, to) = (from.clone(), to.instance);
                    sends.push(Envelope { from, to, message });
                }
                RaftOutput::Restore { snapshot, .. } => {
                    assert!(test.state.restore(&snapshot).is_ok());
                }
                RaftOutput::Apply { entry, .. } => {
                    check_committed(&mut self.committed, &entry);
                    test.apply(entry);
                }
                output => self.outputs.push(output),
            }
        }
        sends.iter().for_each(|envelope| self.schedule_delivery(envelope));
    }

    /// Sends a message; a faulty network loses, duplicates or delays it.
    fn schedule_delivery(&mut self, envelope: &Envelope) {
        let copies = match self.next_random() % 16 {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let extra = Duration::from_millis(self.next_random() % 40);
            let due = self.now + DELAY + if self.fault_seed == 0 { Duration::ZERO } else { extra };
            self.sent += 1;
            self.in_flight.insert((due, self.sent), envelope.clone());
        }
    }

    fn next_random(&mut self) -> u64 {
        if self.fault_seed == 0 {
            return 2;
        }
        self.fault_seed = self.fault_seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.fault_seed >> 33
    }

    /// Advances time by `span`, delivering messages and ticks when they are due.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.next_due().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.deliver_due();
            self.tick_due();
        }
        self.now = end;
    }

    /// Advances time until a participant that can be reached leads, and returns its name.
    pub(crate) fn run_to_leader(&mut self) -> String {
        for _ in 0..100 {
            self.run(Duration::from_millis(100));
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader after 10 s");
    }

    /// The participant that leads in the newest term and isn't cut off.
    pub(crate) fn leader(&self) -> Option<String> {
        let statuses = self.nodes.values().map(|test| test.node.status());
        let leads = statuses.filter(|status| status.role == RoleName::Leader);
        let reached = leads.filter(|status| !self.cut.contains(&status.id.instance));
        reached.max_by_key(|status| status.term).map(|status| status.id.instance.to_string())
    }

    /// Proposes a command at `name`.
    pub(crate) fn propose(&mut self, name: &str, proposal: u64, command: &[u8]) {
        let proposal = ProposalId(proposal);
        self.input(name, RaftInput::Propose { proposal, command: command.to_vec() });
    }

    /// How many messages were sent so far.
    pub(crate) fn sent(&self) -> u64 {
        self.sent
    }

    fn next_due(&self) -> Option<MonotonicTime> {
        let arriving = self.in_flight.iter().find(|(_, it)| !self.paused.contains(&it.to));
        let in_flight = arriving.map(|((due, _), _)| *due);
        let running = self.nodes.iter().filter(|(name, test)| self.is_running(name, test));
        let ticks = running.map(|(_, test)| test.node.next_tick());
        in_flight.into_iter().chain(ticks).min()
    }

    fn is_running(&self, name: &InstanceName, test: &TestNode) -> bool {
        test.blocked.is_empty() && !self.paused.contains(name)
    }

    fn deliver_due(&mut self) {
        loop {
            let is_due = |((due, _), envelope): &(&(MonotonicTime, u64), &Envelope)| {
                *due <= self.now && !self.paused.contains(&envelope.to)
            };
            let next = self.in_flight.iter().find(is_due).map(|(key, _)| *key);
            let Some(envelope) = next.and_then(|key| self.in_flight.remove(&key)) else {
                return;
            };
            let Envelope { from, to, message } = envelope;
            let is_cut = |name: &InstanceName| self.cut.contains(name);
            if !is_cut(&from.instance) && !is_cut(&to) {
                self.input(to.as_str(), RaftInput::Message { from, message });
            }
        }
    }

    fn tick_due(&mut self) {
        let is_due = |(name, test): &(&InstanceName, &TestNode)| {
            self.is_running(name, test) && test.node.next_tick() <= self.now
        };
        let due = self.nodes.iter().filter(is_due);
        let names: Vec<InstanceName> = due.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.input(name.as_str(), RaftInput::Tick));
    }
}

impl TestNode {
    fn apply(&mut self, entry: LogEntry) {
        if let EntryPayload::Command(bytes) = &entry.payload
            && let Ok(command) = decode::<GroupCommand>(bytes)
        {
            self.state.apply(entry.index, &command);
        }
        self.applied.push(entry);
    }
}

/// Checks that all participants apply the same entries at the same indices.
fn check_committed(committed: &mut Vec<LogEntry>, entry: &LogEntry) {
    match committed.iter().find(|known| known.index == entry.index) {
        Some(known) => assert_eq!(known, entry, "a committed entry changed"),
        None => committed.push(entry.clone()),
    }
}
