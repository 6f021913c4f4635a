//! A small world of two engines and two holders, one after the other.
//!
//! That only one holds the lease at a time is explored on its own; here the leases are given. The
//! engines load whatever they are told to, so that the accounts alone keep the promises.

use std::collections::BTreeSet;

use wheel_lease::{
    EngineAccount, EngineEntry, FencingMode, LeaseAuthority, LedgerSettings, OrderLedger,
    OrderLimits, OrderPhase, OrderRecord, OrderRefusal, OrderResult,
};
use wheel_types::{
    EngineOrder, EngineState, FencingNumber, IncarnationId, ModelName, ModelPhase, ModelState,
    MonotonicTime, OrderAction, RequestId, UpstreamName,
};

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct OrderBounds {
    /// What the engines do with old numbers.
    pub(crate) fencing: [FencingMode; 2],
    /// Orders that each holder gives, apart from fences.
    pub(crate) orders: [u32; 2],
    /// Readings that each holder takes.
    pub(crate) readings: [u32; 2],
    /// Restarts of engines.
    pub(crate) restarts: u32,
    /// The longest life of an order, in seconds.
    pub(crate) life: u64,
    /// Seconds that the first holder has the lease.
    pub(crate) first: u64,
    /// Seconds that the second holder has it.
    pub(crate) second: u64,
    /// The second lease has the first one's number, and begins an order's life later.
    pub(crate) forgotten: bool,
    /// The fault that is planted, if any.
    pub(crate) fault: Option<OrderFault>,
}

/// A fault of this world's wrappers around the real ledgers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum OrderFault {
    /// A lost answer is taken for a refusal.
    AssumesRefusal,
    /// A reading counts as if asked for when it arrives.
    TrustsLateReadings,
    /// A new holder doesn't wait for the earlier one's orders.
    NoOrderWait,
    /// A fence counts as confirmed when it is given.
    TrustsUnconfirmedFence,
}

/// An order under way; it may arrive at any time until it expires, also more than once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentOrder {
    holder: usize,
    engine: usize,
    expires: MonotonicTime,
    order: EngineOrder,
}

/// An answer under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentAnswer {
    holder: usize,
    order_id: RequestId,
    result: OrderResult,
}

/// A reading under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentReading {
    holder: usize,
    engine: usize,
    asked: MonotonicTime,
    state: EngineState,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct OrderWorld {
    bounds: OrderBounds,
    now: u64,
    ledgers: Vec<OrderLedger>,
    numbers: [u64; 2],
    /// The real states.
    pub(crate) engines: Vec<EngineState>,
    /// Number and holder of the last order that each engine carried out in this incarnation.
    carried: [(u64, usize); 2],
    /// True once an engine has carried out an order that was older than the last one.
    pub(crate) went_back: bool,
    orders: Vec<SentOrder>,
    answers: Vec<SentAnswer>,
    readings: Vec<SentReading>,
    /// Orders that each holder has given, apart from fences.
    pub(crate) given: [u32; 2],
    fenced: BTreeSet<(usize, usize)>,
    read: [u32; 2],
    restarts: u32,
}

/// Replicas of each model that were decided.
pub(crate) const DECIDED: usize = 1;
pub(crate) const MODELS: [&str; 2] = ["m", "n"];
const ENGINES: [&str; 2] = ["e0", "e1"];
const START: u64 = 3;
const MODEL_MIB: u64 = 60;
const ENGINE_MIB: u64 = 100;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

impl OrderWorld {
    /// Both engines are empty, and the first holder has just read them.
    pub(crate) fn open(bounds: OrderBounds) -> Self {
        let engine = EngineState {
            incarnation: IncarnationId(1),
            memory_mib: ENGINE_MIB,
            ..EngineState::default()
        };
        let mut world = Self {
            bounds,
            now: START,
            ledgers: vec![open_ledger(&bounds, 0), open_ledger(&bounds, 1)],
            numbers: [1, if bounds.forgotten { 1 } else { 2 }],
            engines: vec![engine.clone(), engine.clone()],
            carried: [(0, 0); 2],
            went_back: false,
            orders: Vec::new(),
            answers: Vec::new(),
            readings: Vec::new(),
            given: [0; 2],
            fenced: BTreeSet::new(),
            read: [0; 2],
            restarts: 0,
        };
        let authority = world.authority(0);
        world.ledgers[0].begin(&authority);
        for name in ENGINES {
            world.ledgers[0].observe(at(START), &UpstreamName::from(name), &engine);
        }
        world
    }

    /// Every world that may come next.
    pub(crate) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now + 1 < self.ends(1) {
            next.push(self.change(|world| world.pass_second()));
        }
        for place in 0..self.orders.len() {
            next.extend(self.arrive(place));
        }
        for place in 0..self.answers.len() {
            next.push(self.change(|world| world.hear_answer(place)));
        }
        for place in 0..self.readings.len() {
            next.push(self.change(|world| world.hear_reading(place)));
        }
        for engine in 0..ENGINES.len() {
            if self.restarts < self.bounds.restarts {
                next.push(self.change(|world| world.restart(engine)));
            }
            next.extend(self.acting().into_iter().flat_map(|holder| self.act(holder, engine)));
        }
        next
    }

    fn change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world.tidy();
        world
    }

    /// Drops what can have no effect any more and sorts the rest, so that equal worlds meet.
    fn tidy(&mut self) {
        if self.now >= self.ends(0) {
            self.ledgers[0] = open_ledger(&self.bounds, 0);
        }
        let ledgers = &self.ledgers;
        self.answers.retain(|answer| {
            let open = |order: &OrderRecord| {
                order.order_id == answer.order_id && order.phase == OrderPhase::Open
            };
            ledgers[answer.holder].open_orders().any(open)
        });
        self.readings.retain(|reading| {
            let upstream = UpstreamName::from(ENGINES[reading.engine]);
            let account = ledgers[reading.holder].account(&upstream);
            let new =
                |account: &EngineAccount| account.state.is_none() || account.asked < reading.asked;
            account.is_some_and(new)
        });
        let (now, lasting) = (at(self.now), self.restarts == self.bounds.restarts);
        let engines = &self.engines;
        self.orders.retain(|sent| {
            let arrived = engines[sent.engine].recent_orders.contains(&sent.order.order_id);
            now < sent.expires && !(lasting && arrived)
        });
        self.orders.sort_by(|one, other| one.order.order_id.cmp(&other.order.order_id));
        self.answers.sort_by(|one, other| one.order_id.cmp(&other.order_id));
        self.readings.sort_by_key(|reading| (reading.holder, reading.engine, reading.asked));
    }

    fn began(&self, holder: usize) -> u64 {
        let wait = if self.bounds.forgotten { self.bounds.life } else { 0 };
        [0, self.ends(0) + wait][holder]
    }

    fn ends(&self, holder: usize) -> u64 {
        let first = START + self.bounds.first;
        let wait = if self.bounds.forgotten { self.bounds.life } else { 0 };
        [first, first + wait + self.bounds.second][holder]
    }

    fn acting(&self) -> Option<usize> {
        (0..2).find(|holder| (self.began(*holder)..self.ends(*holder)).contains(&self.now))
    }

    fn authority(&self, holder: usize) -> LeaseAuthority {
        let early = holder == 1 && self.bounds.fault == Some(OrderFault::NoOrderWait);
        LeaseAuthority {
            number: FencingNumber(self.numbers[holder]),
            began: at(self.began(holder) - if early { self.bounds.life } else { 0 }),
            ends: at(self.ends(holder)),
            epoch: 1,
        }
    }

    fn pass_second(&mut self) {
        self.now += 1;
        if self.now == self.began(1) {
            let authority = self.authority(1);
            self.ledgers[1].begin(&authority);
        }
    }

    /// All that the holder may do about one engine.
    fn act(&self, holder: usize, engine: usize) -> Vec<Self> {
        let mut next = Vec::new();
        if self.read[holder] < self.bounds.readings[holder] {
            next.push(self.change(|world| world.ask(holder, engine)));
        }
        if holder == 1 && !self.fenced.contains(&(holder, engine)) {
            next.extend(self.give(holder, engine, None));
        }
        if self.given[holder] < self.bounds.orders[holder] {
            let loads = MODELS.map(|model| OrderAction::LoadModel {
                model: ModelName::from(model),
                version: 1,
                memory_mib: MODEL_MIB,
            });
            let unload = OrderAction::UnloadModel { model: ModelName::from(MODELS[0]), version: 1 };
            let actions = loads.into_iter().chain([unload]);
            next.extend(actions.filter_map(|action| self.give(holder, engine, Some(action))));
        }
        next
    }

    /// Gives an order, or a fence if there is no action; `None` if the ledger refuses.
    fn give(&self, holder: usize, engine: usize, action: Option<OrderAction>) -> Option<Self> {
        let mut world = self.clone();
        let authority = world.authority(holder);
        let upstream = UpstreamName::from(ENGINES[engine]);
        let (now, limits) = (at(world.now), OrderLimits { replicas: DECIDED });
        let fence = action.is_none();
        let ledger = &mut world.ledgers[holder];
        let order: Result<EngineOrder, OrderRefusal> = match action {
            Some(action) => ledger.admit(now, &authority, &upstream, action, limits),
            None => ledger.fence(now, &authority, &upstream),
        };
        let order = order.ok()?;
        if fence && self.bounds.fault == Some(OrderFault::TrustsUnconfirmedFence) {
            ledger.resolve(now, &order.order_id, OrderResult::Done);
        }
        match fence {
            true => drop(world.fenced.insert((holder, engine))),
            false => world.given[holder] += 1,
        }
        let expires = at(world.now + self.bounds.life);
        world.orders.push(SentOrder { holder, engine, expires, order });
        world.tidy();
        Some(world)
    }

    fn ask(&mut self, holder: usize, engine: usize) {
        self.read[holder] += 1;
        let (asked, state) = (at(self.now), self.engines[engine].clone());
        self.readings.push(SentReading { holder, engine, asked, state });
    }

    fn hear_reading(&mut self, place: usize) {
        let reading = self.readings.remove(place);
        let late = self.bounds.fault == Some(OrderFault::TrustsLateReadings);
        let asked = if late { at(self.now) } else { reading.asked };
        let upstream = UpstreamName::from(ENGINES[reading.engine]);
        let ledger = &mut self.ledgers[reading.holder];
        if let Some(seen) = ledger.observe(asked, &upstream, &reading.state) {
            self.numbers[reading.holder] = seen.next().0;
            let authority = self.authority(reading.holder);
            self.ledgers[reading.holder].begin(&authority);
        }
    }

    fn hear_answer(&mut self, place: usize) {
        let answer = self.answers.remove(place);
        let ledger = &mut self.ledgers[answer.holder];
        ledger.resolve(at(self.now), &answer.order_id, answer.result);
    }

    /// An order arrives. It stays under way, since a copy may arrive after the engine restarted.
    fn arrive(&self, place: usize) -> Option<Self> {
        let SentOrder { holder, engine, order, .. } = self.orders[place].clone();
        if self.engines[engine].recent_orders.contains(&order.order_id) {
            return None;
        }
        let mut world = self.clone();
        let enforces = world.bounds.fencing[engine] == FencingMode::Enforces;
        let state = &mut world.engines[engine];
        state.recent_orders.push(order.order_id.clone());
        let stale =
            order.fencing_number < state.fencing_number || order.incarnation != state.incarnation;
        let result = match enforces && stale {
            true => OrderResult::Refused,
            false => {
                carry_out(state, &order.action);
                world.note_carried(holder, engine, order.fencing_number.0, enforces);
                OrderResult::Done
            }
        };
        let order_id = order.order_id;
        let lost = world.bounds.fault == Some(OrderFault::AssumesRefusal);
        let result = if lost { OrderResult::Refused } else { result };
        world.answers.push(SentAnswer { holder, order_id, result });
        world.tidy();
        Some(world)
    }

    fn note_carried(&mut self, holder: usize, engine: usize, number: u64, enforces: bool) {
        let last = self.carried[engine];
        self.went_back |= number < last.0 || holder < last.1;
        self.carried[engine] = (number, holder);
        if enforces {
            self.engines[engine].fencing_number = FencingNumber(number);
        }
    }

    fn restart(&mut self, engine: usize) {
        self.restarts += 1;
        self.carried[engine] = (0, 0);
        self.engines[engine] = EngineState {
            incarnation: self.engines[engine].incarnation.next(),
            memory_mib: ENGINE_MIB,
            ..EngineState::default()
        };
    }
}

fn open_ledger(bounds: &OrderBounds, holder: usize) -> OrderLedger {
    let mut ledger = OrderLedger::open(LedgerSettings {
        id_prefix: format!("h{holder}").into(),
        order_life: at(bounds.life) - at(0),
        max_open_orders: 8,
    });
    let entries = [0, 1].map(|engine| EngineEntry {
        upstream: UpstreamName::from(ENGINES[engine]),
        memory_mib: ENGINE_MIB,
        fencing: bounds.fencing[engine],
    });
    ledger.set_engines(at(0), &entries);
    ledger
}

/// What an engine does with an order: it never looks at its memory.
fn carry_out(state: &mut EngineState, action: &OrderAction) {
    match action {
        OrderAction::LoadModel { model, version, memory_mib } => {
            state.models.push(ModelState {
                model: model.clone(),
                version: *version,
                phase: ModelPhase::Loaded,
                memory_mib: *memory_mib,
                adapters: Vec::new(),
            });
        }
        OrderAction::UnloadModel { model, .. } => {
            state.models.retain(|held| &held.model != model);
        }
        _ => {}
    }
}
