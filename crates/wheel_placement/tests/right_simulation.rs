//! The right to order engines, in a group that freezes, dies, is cut off and hears words late.
//!
//! Three instances on the real replicated log and the real [`RightLedger`], in virtual time, under random
//! trouble. Whenever an instance may order it does; no two may order within the pause of each other. Each
//! search is run as it is, where nothing may be found, and with a planted [`Fault`], which must be found.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wheel_agreement::{
    NodeId, PersistRecord, RaftInput, RaftMessage, RaftNode, RaftOutput, RaftSettings, ReadId,
    RestoredRaft,
};
use wheel_placement::{RightLedger, RightTimes};
use wheel_policy::SeededRandom;
use wheel_types::{InstanceName, MonotonicTime};

const TIMES: RightTimes =
    RightTimes { span: Duration::from_millis(600), pause: Duration::from_millis(3_000) };
const NAMES: [&str; 3] = ["a", "b", "c"];
/// Between two looks at each instance.
const STEP: Duration = Duration::from_millis(5);
/// Between two confirmations that an instance asks for.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// Virtual time of one search.
const SEARCH_TIME: Duration = Duration::from_secs(120);
const SEEDS: u64 = 60;

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A new holder doesn't wait for the pause.
    NoPause,
    /// A confirmation carries from the moment at which it came.
    CountFromAnswer,
    /// The clock stands still while the machine does.
    StoppedClock,
}

/// What befalls an instance.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    frozen_until: MonotonicTime,
    cut_until: MonotonicTime,
    /// How long it stood still so far.
    stood: Duration,
}

/// One instance.
struct Instance {
    id: NodeId,
    node: RaftNode,
    records: Vec<PersistRecord>,
    ledger: RightLedger,
    asked: HashMap<ReadId, MonotonicTime>,
    next_ask: MonotonicTime,
    trouble: Trouble,
}

/// A message on its way.
struct Parcel {
    from: NodeId,
    to: InstanceName,
    message: RaftMessage,
}

/// Two orders too close to each other, in words.
type Violation = String;

/// One search.
struct Simulation {
    now: MonotonicTime,
    random: SeededRandom,
    fault: Option<Fault>,
    instances: Vec<Instance>,
    parcels: BTreeMap<(MonotonicTime, u64), Parcel>,
    sent: u64,
    next_trouble: MonotonicTime,
    last_order: Option<(MonotonicTime, usize, u64)>,
    holders: u32,
    violation: Option<Violation>,
}

impl Simulation {
    fn open(seed: u64, fault: Option<Fault>) -> Self {
        let now = MonotonicTime::from_millis(1_000);
        let place = |place: usize| NodeId::new(NAMES[place], place as u64 + 1);
        let instances = (0..NAMES.len()).map(|index| start(place(index), Vec::new(), now, fault));
        Self {
            now,
            random: SeededRandom::new(seed),
            fault,
            instances: instances.collect(),
            parcels: BTreeMap::new(),
            sent: 0,
            next_trouble: now + Duration::from_secs(3),
            last_order: None,
            holders: 0,
            violation: None,
        }
    }

    fn run(mut self) -> (Option<Violation>, u32) {
        let end = self.now + SEARCH_TIME;
        while self.now < end && self.violation.is_none() {
            self.now = self.now + STEP;
            if self.now >= self.next_trouble {
                self.make_trouble();
            }
            self.deliver();
            for place in 0..self.instances.len() {
                self.look_at(place);
            }
        }
        (self.violation, self.holders)
    }

    fn below_ms(&mut self, bound: usize) -> Duration {
        Duration::from_millis(self.random.next_below(bound) as u64)
    }

    fn make_trouble(&mut self) {
        self.next_trouble = self.now + Duration::from_millis(500) + self.below_ms(6_000);
        let place = self.random.next_below(self.instances.len());
        let kind = self.random.next_below(3);
        let until = self.now + self.below_ms(6_000);
        let (now, fault) = (self.now, self.fault);
        let instance = &mut self.instances[place];
        match kind {
            0 if instance.trouble.frozen_until <= now => {
                instance.trouble.frozen_until = until;
                instance.trouble.stood += until.since(now);
            }
            1 => instance.trouble.cut_until = until,
            2 => {
                let trouble = Trouble { frozen_until: until, ..instance.trouble };
                let records = std::mem::take(&mut instance.records);
                *instance = start(instance.id.clone(), records, now, fault);
                instance.trouble = trouble;
            }
            _ => {}
        }
    }

    /// Delivers what is due, except to those that stand still; they find it later.
    fn deliver(&mut self) {
        let later = self.parcels.split_off(&(self.now, u64::MAX));
        for (key, parcel) in std::mem::replace(&mut self.parcels, later) {
            let found = self.instances.iter().position(|one| one.id.instance == parcel.to);
            let Some(place) = found else { continue };
            match self.instances[place].trouble.frozen_until > self.now {
                true => drop(self.parcels.insert((self.now + STEP, key.1), parcel)),
                false => {
                    let Parcel { from, message, .. } = parcel;
                    self.step(place, RaftInput::Message { from, message });
                }
            }
        }
    }

    fn look_at(&mut self, place: usize) {
        let now = self.now;
        if self.instances[place].trouble.frozen_until > now {
            return;
        }
        // An order that was about to leave before a freeze leaves right after it, if the ledger says so.
        self.order(place);
        if self.instances[place].node.next_tick() <= now {
            self.step(place, RaftInput::Tick);
        }
        if self.instances[place].next_ask <= now {
            self.sent += 1;
            let read = ReadId(self.sent);
            let asked = self.clock(place);
            let instance = &mut self.instances[place];
            instance.next_ask = now + ASK_INTERVAL;
            instance.asked.insert(read, asked);
            self.step(place, RaftInput::Read { read });
        }
        self.order(place);
    }

    /// The time that the ledger of an instance is told.
    fn clock(&self, place: usize) -> MonotonicTime {
        match self.fault {
            Some(Fault::StoppedClock) => {
                let stood_us = self.instances[place].trouble.stood.as_micros() as u64;
                MonotonicTime::from_micros(self.now.as_micros().saturating_sub(stood_us))
            }
            _ => self.now,
        }
    }

    fn order(&mut self, place: usize) {
        let Some(term) = self.instances[place].ledger.fencing(self.clock(place)) else { return };
        match self.last_order {
            Some((_, holder, _)) if holder == place => {}
            Some((at, holder, last_term)) => {
                self.holders += 1;
                let between = self.now.since(at);
                if between < TIMES.pause || term <= last_term {
                    self.violation = Some(format!(
                        "{} orders in term {term} {between:?} after {} in term {last_term}",
                        NAMES[place], NAMES[holder]
                    ));
                }
            }
            None => self.holders += 1,
        }
        self.last_order = Some((self.now, place, term));
    }

    fn step(&mut self, place: usize, input: RaftInput) {
        let outputs = self.instances[place].node.step(self.now, input);
        for output in outputs {
            match output {
                RaftOutput::Persist(records) => self.instances[place].records.extend(records),
                RaftOutput::Send { to, message } => self.post(place, to.instance, message),
                RaftOutput::ReadReady { read, .. } => self.confirm(place, read),
                RaftOutput::ReadRefused { read, .. } => {
                    self.instances[place].asked.remove(&read);
                    self.instances[place].ledger.release();
                }
                _ => {}
            }
        }
    }

    fn confirm(&mut self, place: usize, read: ReadId) {
        let now = self.clock(place);
        let instance = &mut self.instances[place];
        let Some(asked) = instance.asked.remove(&read) else { return };
        let counts_from_answer = self.fault == Some(Fault::CountFromAnswer);
        let asked = if counts_from_answer { now } else { asked };
        instance.ledger.confirm(instance.node.term(), asked, now);
    }

    /// Puts a message on its way: some are lost, some take seconds.
    fn post(&mut self, place: usize, to: InstanceName, message: RaftMessage) {
        let is_cut = |name: &InstanceName| {
            let found = self.instances.iter().find(|one| one.id.instance == *name);
            found.is_some_and(|one| one.trouble.cut_until > self.now)
        };
        let from = self.instances[place].id.clone();
        if is_cut(&from.instance) || is_cut(&to) {
            return;
        }
        let delay = match self.random.next_below(32) {
            0 => return,
            1 => self.below_ms(3_000),
            _ => Duration::from_millis(2) + self.below_ms(20),
        };
        self.sent += 1;
        self.parcels.insert((self.now + delay, self.sent), Parcel { from, to, message });
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
        ledger: RightLedger::new(RightTimes { pause, ..TIMES }),
        asked: HashMap::new(),
        next_ask: now,
        trouble: Trouble::default(),
    }
}

/// The first violation over all seeds, and how often the right changed hands.
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
    assert!(holders > 2 * SEEDS as u32, "the right changed hands {holders} times");
}

#[test]
fn fencing_planted_faults_are_found() {
    for fault in [Fault::NoPause, Fault::CountFromAnswer, Fault::StoppedClock] {
        assert!(search(Some(fault)).0.is_some(), "{fault:?} isn't found");
    }
}
