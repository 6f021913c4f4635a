//! The authority to send orders, in a group whose instances freeze, restart and lose messages.
//!
//! Three instances run the real replicated log and the real [`AuthorityLedger`] in virtual time,
//! with random disruptions. An instance sends orders whenever it may; no two instances may send
//! orders within the pause of each other. Each search runs without a fault, where it must find no
//! violation, and with each planted [`Fault`], which it must find.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wheel_agreement::{
    NodeId, PersistRecord, RaftInput, RaftMessage, RaftNode, RaftOutput, RaftSettings, ReadId,
    RestoredRaft,
};
use wheel_placement::{AuthorityLedger, AuthorityTimes};
use wheel_policy::SeededRandom;
use wheel_types::{InstanceName, MonotonicTime};

const TIMES: AuthorityTimes =
    AuthorityTimes { validity: Duration::from_millis(600), pause: Duration::from_millis(3_000) };
const NAMES: [&str; 3] = ["a", "b", "c"];
/// Virtual time between two steps of each instance.
const STEP: Duration = Duration::from_millis(5);
/// Time between two confirmations that an instance requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Virtual time of one search.
const SEARCH_TIME: Duration = Duration::from_secs(120);
const SEEDS: u64 = 60;

/// A fault planted to check that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A new holder doesn't wait out the pause.
    NoPause,
    /// A confirmation is valid from the moment it was received, not requested.
    CountFromAnswer,
    /// The clock stops while the machine is suspended.
    StoppedClock,
}

/// Disruptions of an instance.
#[derive(Clone, Copy, Debug, Default)]
struct Disruption {
    frozen_until: MonotonicTime,
    cut_until: MonotonicTime,
    /// Total time frozen so far.
    frozen_total: Duration,
}

/// One instance.
struct Instance {
    id: NodeId,
    node: RaftNode,
    records: Vec<PersistRecord>,
    ledger: AuthorityLedger,
    /// When each pending confirmation was requested.
    requested: HashMap<ReadId, MonotonicTime>,
    next_request: MonotonicTime,
    disruption: Disruption,
}

/// A message in flight.
struct InFlightMessage {
    from: NodeId,
    to: InstanceName,
    message: RaftMessage,
}

/// Description of two orders that are too close to each other.
type Violation = String;

/// One search.
struct Simulation {
    now: MonotonicTime,
    random: SeededRandom,
    fault: Option<Fault>,
    instances: Vec<Instance>,
    /// Messages in flight by delivery time and number.
    messages: BTreeMap<(MonotonicTime, u64), InFlightMessage>,
    sent: u64,
    next_disruption: MonotonicTime,
    last_order: Option<(MonotonicTime, usize, u64)>,
    holders: u32,
    violation: Option<Violation>,
}

impl Simulation {
    fn open(seed: u64, fault: Option<Fault>) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let node_id = |index: usize| NodeId::new(NAMES[index], index as u64 + 1);
        let instances = (0..NAMES.len()).map(|index| start(node_id(index), Vec::new(), now, fault));
        Self {
            now,
            random: SeededRandom::new(seed),
            fault,
            instances: instances.collect(),
            messages: BTreeMap::new(),
            sent: 0,
            next_disruption: now + Duration::from_secs(3),
            last_order: None,
            holders: 0,
            violation: None,
        }
    }

    fn run(mut self) -> (Option<Violation>, u32) {
        let end = self.now + SEARCH_TIME;
        while self.now < end && self.violation.is_none() {
            self.now = self.now + STEP;
            if self.now >= self.next_disruption {
                self.disrupt();
            }
            self.deliver();
            for index in 0..self.instances.len() {
                self.run_instance(index);
            }
        }
        (self.violation, self.holders)
    }

    fn below_ms(&mut self, bound: usize) -> Duration {
        Duration::from_millis(self.random.next_below(bound) as u64)
    }

    /// Freezes, cuts off or restarts a random instance.
    fn disrupt(&mut self) {
        self.next_disruption = self.now + Duration::from_millis(500) + self.below_ms(6_000);
        let index = self.random.next_below(self.instances.len());
        let kind = self.random.next_below(3);
        let until = self.now + self.below_ms(6_000);
        let (now, fault) = (self.now, self.fault);
        let instance = &mut self.instances[index];
        match kind {
            0 if instance.disruption.frozen_until <= now => {
                instance.disruption.frozen_until = until;
                instance.disruption.frozen_total += until.since(now);
            }
            1 => instance.disruption.cut_until = until,
            2 => {
                let disruption = Disruption { frozen_until: until, ..instance.disruption };
                let records = std::mem::take(&mut instance.records);
                *instance = start(instance.id.clone(), records, now, fault);
                instance.disruption = disruption;
            }
            _ => {}
        }
    }

    /// Delivers the messages that are due; those to frozen instances stay in flight.
    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now, u64::MAX));
        for (key, message) in std::mem::replace(&mut self.messages, later) {
            let found = self.instances.iter().position(|one| one.id.instance == message.to);
            let Some(index) = found else { continue };
            match self.instances[index].disruption.frozen_until > self.now {
                true => drop(self.messages.insert((self.now + STEP, key.1), message)),
                false => {
                    let InFlightMessage { from, message, .. } = message;
                    self.step(index, RaftInput::Message { from, message });
                }
            }
        }
    }

    fn run_instance(&mut self, index: usize) {
        let now = self.now;
        if self.instances[index].disruption.frozen_until > now {
            return;
        }
        // An order that was about to be sent before a freeze is sent right after it, if it is still
        // permitted.
        self.order(index);
        if self.instances[index].node.next_tick() <= now {
            self.step(index, RaftInput::Tick);
        }
        if self.instances[index].next_request <= now {
            self.sent += 1;
            let read = ReadId(self.sent);
            let requested = self.clock(index);
            let instance = &mut self.instances[index];
            instance.next_request = now + REQUEST_INTERVAL;
            instance.requested.insert(read, requested);
            self.step(index, RaftInput::Read { read });
        }
        self.order(index);
    }

    /// The time that an instance passes to its ledger.
    fn clock(&self, index: usize) -> MonotonicTime {
        match self.fault {
            Some(Fault::StoppedClock) => {
                let frozen_us = self.instances[index].disruption.frozen_total.as_micros() as u64;
                MonotonicTime::from_micros(self.now.as_micros().saturating_sub(frozen_us))
            }
            _ => self.now,
        }
    }

    /// Records an order if the instance may send one, and checks it against the last order.
    fn order(&mut self, index: usize) {
        let Some(term) = self.instances[index].ledger.fencing(self.clock(index)) else { return };
        match self.last_order {
            Some((_, holder, _)) if holder == index => {}
            Some((at, holder, last_term)) => {
                self.holders += 1;
                let between = self.now.since(at);
                if between < TIMES.pause || term <= last_term {
                    self.violation = Some(format!(
                        "{} orders in term {term} {between:?} after {} in term {last_term}",
                        NAMES[index], NAMES[holder]
                    ));
                }
            }
            None => self.holders += 1,
        }
        self.last_order = Some((self.now, index, term));
    }

    fn step(&mut self, index: usize, input: RaftInput) {
        let outputs = self.instances[index].node.step(self.now, input);
        for output in outputs {
            match output {
                RaftOutput::Persist(records) => self.instances[index].records.extend(records),
                RaftOutput::Send { to, message } => self.send(index, to.instance, message),
                RaftOutput::ReadReady { read, .. } => self.confirm(index, read),
                RaftOutput::ReadRefused { read, .. } => {
                    self.instances[index].requested.remove(&read);
                    self.instances[index].ledger.release();
                }
                _ => {}
            }
        }
    }

    fn confirm(&mut self, index: usize, read: ReadId) {
        let now = self.clock(index);
        let instance = &mut self.instances[index];
        let Some(requested) = instance.requested.remove(&read) else { return };
        let counts_from_answer = self.fault == Some(Fault::CountFromAnswer);
        let requested = if counts_from_answer { now } else { requested };
        instance.ledger.confirm(instance.node.term(), requested, now);
    }

    /// Sends a message: some are lost, some take seconds.
    fn send(&mut self, index: usize, to: InstanceName, message: RaftMessage) {
        let is_cut = |name: &InstanceName| {
            let found = self.instances.iter().find(|one| one.id.instance == *name);
            found.is_some_and(|one| one.disruption.cut_until > self.now)
        };
        let from = self.instances[index].id.clone();
        if is_cut(&from.instance) || is_cut(&to) {
            return;
        }
        let delay = match self.random.next_below(32) {
            0 => return,
            1 => self.below_ms(3_000),
            _ => Duration::from_millis(2) + self.below_ms(20),
        };
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), InFlightMessage { from, to, message });
    }
}

fn start(
    id: NodeId,
    records: Vec<PersistRecord>,
    now: MonotonicTime,
    fault: Option<Fault>,
) -> Instance {
    let settings = RaftSettings::new(id.clone(), NAMES.map(InstanceName::new));
    let restored = RestoredRaft::replay(records.iter().cloned());
    let pause = if fault == Some(Fault::NoPause) { Duration::ZERO } else { TIMES.pause };
    Instance {
        node: RaftNode::open(settings, restored, now, id.identity.0),
        id,
        records,
        ledger: AuthorityLedger::new(AuthorityTimes { pause, ..TIMES }),
        requested: HashMap::new(),
        next_request: now,
        disruption: Disruption::default(),
    }
}

/// The first violation over all seeds, and how often the holder changed.
fn search(fault: Option<Fault>) -> (Option<Violation>, u32) {
    let mut holders = 0;
    for seed in 1..=SEEDS {
        let (violation, changes) = Simulation::open(seed, fault).run();
        holders += changes;
        if let Some(violation) = violation {
            return (Some(format!("seed {seed}: {violation}")), holders);
        }
    }
    (None, holders)
}

#[test]
fn fencing_troubled_group_has_one_holder_at_a_time() {
    let (violation, holders) = search(None);
    assert_eq!(violation, None);
    assert!(holders > 2 * SEEDS as u32, "the holder changed {holders} times");
}

#[test]
fn fencing_planted_faults_are_found() {
    for fault in [Fault::NoPause, Fault::CountFromAnswer, Fault::StoppedClock] {
        assert!(search(Some(fault)).0.is_some(), "the search doesn't find {fault:?}");
    }
}
