//! A model world of two engines and two successive holders.
//!
//! That only one holds the lease at a time is explored separately; here the leases are fixed. The
//! engines load whatever they are told to, so that the ledgers alone keep the invariants.

use std::collections::BTreeSet;

use wheel_lease::{
    EngineRecord, EngineSpec, FencingMode, LeaseAuthority, LedgerSettings, OrderLedger,
    OrderLimits, OrderPhase, OrderRecord, OrderRefusal, OrderResult,
};
use wheel_types::{
    EngineOrder, EngineState, FencingNumber, IncarnationId, ModelName, ModelPhase, ModelState,
    MonotonicTime, OrderAction, RequestId, UpstreamName,
};

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct OrderBounds {
    /// How the engines treat old numbers.
    pub(crate) fencing: [FencingMode; 2],
    /// Orders that each holder sends, not counting fences.
    pub(crate) orders: [u32; 2],
    /// State reads by each holder.
    pub(crate) readings: [u32; 2],
    /// Restarts of engines.
    pub(crate) restarts: u32,
    /// Time after which an order can't arrive any more, in seconds.
    pub(crate) life: u64,
    /// Seconds that the first holder has the lease.
    pub(crate) first: u64,
    /// Seconds that the second holder has it.
    pub(crate) second: u64,
    /// The second lease has the first one's number, and begins `life` later.
    pub(crate) forgotten: bool,
    /// The injected fault, if any.
    pub(crate) fault: Option<OrderFault>,
}

/// A fault that this world's wrappers inject around the production ledgers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum OrderFault {
    /// A lost answer is treated as a refusal.
    AssumesRefusal,
    /// A state counts as requested when it arrives.
    TrustsLateReadings,
    /// A new holder doesn't wait for the earlier one's orders.
    NoOrderWait,
    /// A fence counts as confirmed when it is sent.
    TrustsUnconfirmedFence,
}

/// An order in transit; it may arrive at any time until it expires, and more than once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentOrder {
    holder: usize,
    engine: usize,
    expires: MonotonicTime,
    order: EngineOrder,
}

/// An answer in transit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentAnswer {
    holder: usize,
    order_id: RequestId,
    result: OrderResult,
}

/// An engine state in transit to a holder.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentReading {
    holder: usize,
    engine: usize,
    requested_at: MonotonicTime,
    state: EngineState,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct OrderWorld {
    bounds: OrderBounds,
    now: u64,
    ledgers: Vec<OrderLedger>,
    numbers: [u64; 2],
    /// The actual states.
    pub(crate) engines: Vec<EngineState>,
    /// Number and holder of the last order that each engine executed in this incarnation.
    executed: [(u64, usize); 2],
    /// True once an engine has executed an order older than the last one.
    pub(crate) executed_out_of_order: bool,
    orders: Vec<SentOrder>,
    answers: Vec<SentAnswer>,
    readings: Vec<SentReading>,
    /// Orders that each holder has sent, not counting fences.
    pub(crate) sent_count: [u32; 2],
    fenced: BTreeSet<(usize, usize)>,
    read: [u32; 2],
    restarts: u32,
}

/// Target number of replicas of each model.
pub(crate) const TARGET_REPLICAS: usize = 1;
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
            executed: [(0, 0); 2],
            executed_out_of_order: false,
            orders: Vec::new(),
            answers: Vec::new(),
            readings: Vec::new(),
            sent_count: [0; 2],
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

    /// Every possible next world.
    pub(crate) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now + 1 < self.ends(1) {
            next.push(self.with_change(|world| world.pass_second()));
        }
        for index in 0..self.orders.len() {
            next.extend(self.deliver(index));
        }
        for index in 0..self.answers.len() {
            next.push(self.with_change(|world| world.receive_answer(index)));
        }
        for index in 0..self.readings.len() {
            next.push(self.with_change(|world| world.receive_reading(index)));
        }
        for engine in 0..ENGINES.len() {
            if self.restarts < self.bounds.restarts {
                next.push(self.with_change(|world| world.restart(engine)));
            }
            next.extend(self.acting().into_iter().flat_map(|holder| self.act(holder, engine)));
        }
        next
    }

    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world.normalize();
        world
    }

    /// Drops what can have no effect any more and sorts the rest, so that equivalent worlds compare
    /// equal.
    fn normalize(&mut self) {
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
            let record = ledgers[reading.holder].engine(&upstream);
            let new = |record: &EngineRecord| {
                record.state.is_none() || record.requested_at < reading.requested_at
            };
            record.is_some_and(new)
        });
        let (now, lasting) = (at(self.now), self.restarts == self.bounds.restarts);
        let engines = &self.engines;
        self.orders.retain(|sent| {
            let arrived = engines[sent.engine].recent_orders.contains(&sent.order.order_id);
            now < sent.expires && !(lasting && arrived)
        });
        self.orders.sort_by(|one, other| one.order.order_id.cmp(&other.order.order_id));
        self.answers.sort_by(|one, other| one.order_id.cmp(&other.order_id));
        self.readings.sort_by_key(|reading| (reading.holder, reading.engine, reading.requested_at));
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

    /// Every action that the holder may take on one engine.
    fn act(&self, holder: usize, engine: usize) -> Vec<Self> {
        let mut next = Vec::new();
        if self.read[holder] < self.bounds.readings[holder] {
            next.push(self.with_change(|world| world.request_reading(holder, engine)));
        }
        if holder == 1 && !self.fenced.contains(&(holder, engine)) {
            next.extend(self.send(holder, engine, None));
        }
        if self.sent_count[holder] < self.bounds.orders[holder] {
            let loads = MODELS.map(|model| OrderAction::LoadModel {
                model: ModelName::from(model),
                version: 1,
                memory_mib: MODEL_MIB,
            });
            let unload = OrderAction::UnloadModel { model: ModelName::from(MODELS[0]), version: 1 };
            let actions = loads.into_iter().chain([unload]);
            next.extend(actions.filter_map(|action| self.send(holder, engine, Some(action))));
        }
        next
    }

    /// Sends an order, or a fence if there is no action; `None` if the ledger refuses.
    fn send(&self, holder: usize, engine: usize, action: Option<OrderAction>) -> Option<Self> {
        let mut world = self.clone();
        let authority = world.authority(holder);
        let upstream = UpstreamName::from(ENGINES[engine]);
        let (now, limits) = (at(world.now), OrderLimits { replicas: TARGET_REPLICAS });
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
            false => world.sent_count[holder] += 1,
        }
        let expires = at(world.now + self.bounds.life);
        world.orders.push(SentOrder { holder, engine, expires, order });
        world.normalize();
        Some(world)
    }

    fn request_reading(&mut self, holder: usize, engine: usize) {
        self.read[holder] += 1;
        let (requested_at, state) = (at(self.now), self.engines[engine].clone());
        self.readings.push(SentReading { holder, engine, requested_at, state });
    }

    fn receive_reading(&mut self, index: usize) {
        let reading = self.readings.remove(index);
        let late = self.bounds.fault == Some(OrderFault::TrustsLateReadings);
        let requested_at = if late { at(self.now) } else { reading.requested_at };
        let upstream = UpstreamName::from(ENGINES[reading.engine]);
        let ledger = &mut self.ledgers[reading.holder];
        if let Some(seen) = ledger.observe(requested_at, &upstream, &reading.state) {
            self.numbers[reading.holder] = seen.next().0;
            let authority = self.authority(reading.holder);
            self.ledgers[reading.holder].begin(&authority);
        }
    }

    fn receive_answer(&mut self, index: usize) {
        let answer = self.answers.remove(index);
        let ledger = &mut self.ledgers[answer.holder];
        ledger.resolve(at(self.now), &answer.order_id, answer.result);
    }

    /// Delivers an order. It stays in transit, because a copy may arrive after the engine
    /// restarted.
    fn deliver(&self, index: usize) -> Option<Self> {
        let SentOrder { holder, engine, order, .. } = self.orders[index].clone();
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
                execute(state, &order.action);
                world.record_executed(holder, engine, order.fencing_number.0, enforces);
                OrderResult::Done
            }
        };
        let order_id = order.order_id;
        let lost = world.bounds.fault == Some(OrderFault::AssumesRefusal);
        let result = if lost { OrderResult::Refused } else { result };
        world.answers.push(SentAnswer { holder, order_id, result });
        world.normalize();
        Some(world)
    }

    fn record_executed(&mut self, holder: usize, engine: usize, number: u64, enforces: bool) {
        let last = self.executed[engine];
        self.executed_out_of_order |= number < last.0 || holder < last.1;
        self.executed[engine] = (number, holder);
        if enforces {
            self.engines[engine].fencing_number = FencingNumber(number);
        }
    }

    fn restart(&mut self, engine: usize) {
        self.restarts += 1;
        self.executed[engine] = (0, 0);
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
    let specs = [0, 1].map(|engine| EngineSpec {
        upstream: UpstreamName::from(ENGINES[engine]),
        memory_mib: ENGINE_MIB,
        fencing: bounds.fencing[engine],
    });
    ledger.set_engines(at(0), &specs);
    ledger
}

/// Executes an order in an engine, without checking its memory.
fn execute(state: &mut EngineState, action: &OrderAction) {
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
