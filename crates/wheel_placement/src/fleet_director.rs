//! Reads engines and orders what they hold.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use metrics::counter;
use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};
use wheel_lease::{LoadWindow, OrderTime};
use wheel_policy::{DemandBook, FleetPlanner, PlanEngine, PlanInput, PlanStep, StorePace};
use wheel_route::{EngineId, EngineProfile, FleetConfig, HeldModel, LoadCount};
use wheel_seams::{boot_now, is_planted};
use wheel_types::{HeldChange, MonotonicTime};
use wheel_upstream::{ConnectionLimits, DirectClient, OrderCall};

use crate::directed_engine::{DirectedEngine, ReadState, plan_engine, read_engine};
use crate::directing_right::TermPermit;
use crate::right_ledger::FIRST_TERM;
use crate::{DirectingRight, FleetBoard, FleetDialect, FleetOrder, ListWatch};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two rounds at the least: what is urgent comes from many entries at once, and a round looks at
/// every model and engine.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Reports are some hundred milliseconds old: a finished order shows only after that.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Added to the stated time of an order that is taken as done without a report.
const ORDER_MARGIN: Duration = Duration::from_millis(30);
/// Time for an order's connection, and for its answer.
const ORDER_CONNECT: Duration = Duration::from_millis(400);
const ORDER_LIFE: Duration = Duration::from_millis(1_500);
/// Time for what waits to get its turn once orders are allowed again.
const TURN_TIME: Duration = Duration::from_millis(1_000);
/// Time between two log lines on what waits; a round comes several times a second.
const BACKLOG_LOG_PAUSE: Duration = Duration::from_secs(1);
/// Share of the weight store's allowance that is used, so that rounding at the window's ends never breaks it.
const STORE_SHARE: f64 = 0.95;

/// What the director works with.
pub struct DirectorParts {
    /// The own name, which orders carry.
    pub holder: String,
    /// The right to order.
    pub right: Arc<DirectingRight>,
    /// The list of upstreams.
    pub list: Arc<ListWatch>,
    /// What the instances tell.
    pub board: Arc<FleetBoard>,
    /// What engines speak.
    pub dialect: Arc<dyn FleetDialect>,
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<FleetConfig>>>,
    /// The window of the weight store's allowance.
    pub store_window: Duration,
    /// How far above its allowance the store bears loads in one window.
    pub store_burst: f64,
}

/// Directs the engines of all services while this instance has the right.
pub struct FleetDirector {
    parts: DirectorParts,
    term: u64,
    engines: HashMap<EngineId, Arc<DirectedEngine>>,
    demand: DemandBook,
    planners: HashMap<Arc<str>, FleetPlanner>,
    store: LoadWindow,
    pace: StorePace,
    /// Models that wait for an engine or the store, with the milliseconds until they should be there.
    backlog: Vec<(Arc<str>, u64)>,
    /// When the log last told of it.
    backlog_told: Instant,
}

impl FleetDirector {
    /// Starts to direct.
    pub fn spawn(parts: DirectorParts) {
        let director = Self {
            parts,
            term: 0,
            engines: HashMap::new(),
            demand: DemandBook::default(),
            planners: HashMap::new(),
            store: LoadWindow::default(),
            pace: StorePace::default(),
            backlog: Vec::new(),
            backlog_told: Instant::now(),
        };
        tokio::spawn(director.run());
    }

    async fn run(mut self) {
        let mut ticks = tokio::time::interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.parts.board.urgent() => {}
            }
            match self.parts.right.leading_term() {
                Some(term) => {
                    self.round(term).await;
                    tokio::time::sleep(ROUND_PAUSE).await;
                }
                None if self.term != 0 => {
                    info!("directing_ended", kv: { term = self.term });
                    self.term = 0;
                    self.engines.clear();
                    self.parts.board.set_held(None);
                }
                None => {}
            }
        }
    }

    async fn round(&mut self, term: u64) {
        self.parts.board.note_group();
        let Some(config) = self.parts.config.borrow_and_update().clone() else { return };
        let now = boot_now();
        if self.term != term {
            self.begin_term(term, &config, now);
        }
        let told = self.parts.board.prepare_ask("own".into(), config.version);
        self.demand.note(now, "fleet", &told.demand);
        self.demand.expire(now);
        self.follow_list(&config);
        for engine in told.doubtful.iter().filter_map(|id| self.engines.get(id)) {
            engine.account.lock().doubt();
        }
        self.read_due().await;
        self.pace_loads();
        self.backlog.clear();
        for service in &config.services {
            if let Some(profile) = &service.engine {
                self.direct(&service.name, profile, &told.loads);
            }
        }
        self.publish();
    }

    fn begin_term(&mut self, term: u64, config: &FleetConfig, now: MonotonicTime) {
        info!("directing_began", kv: { term, version = config.version });
        self.term = term;
        self.engines.clear();
        self.planners.clear();
        let engines = config.services.iter().filter_map(|service| service.engine.as_ref());
        let unknown = engines.map(|profile| self.unknown_loads(profile)).max().unwrap_or(0);
        self.store = match term {
            FIRST_TERM => LoadWindow::default(),
            _ => LoadWindow::full(now + self.parts.right.span(), unknown),
        };
        self.pace = StorePace::default();
    }

    /// Loads from the store that may begin in one window.
    fn store_most(&self, profile: &EngineProfile) -> usize {
        let window_s = self.parts.store_window.as_secs_f64();
        (profile.loads_per_s * window_s * STORE_SHARE).floor() as usize
    }

    /// Loads that count against the first window: the predecessor may have begun as many as it is allowed,
    /// and what the store bears beyond that is free.
    fn unknown_loads(&self, profile: &EngineProfile) -> usize {
        let window_s = self.parts.store_window.as_secs_f64();
        let borne = (profile.loads_per_s * window_s * self.parts.store_burst).floor() as usize;
        let most = self.store_most(profile);
        most.saturating_sub(borne.saturating_sub(most))
    }

    /// Keeps one account for each start of each engine that the list shows.
    fn follow_list(&mut self, config: &FleetConfig) {
        let Some((cards, _)) = self.parts.list.current() else { return };
        self.engines.retain(|id, _| cards.iter().any(|card| card.id == *id));
        for card in cards.iter() {
            let is_engine = config.service(&card.service).is_some_and(|spec| spec.engine.is_some());
            let known = self.engines.get(&card.id);
            if !is_engine || known.is_some_and(|known| known.card.state == card.state) {
                continue;
            }
            let engine = match known {
                Some(known) => DirectedEngine {
                    card: card.clone(),
                    account: Mutex::new(known.account.lock().clone()),
                    client: known.client.clone(),
                    reads: Mutex::new(*known.reads.lock()),
                },
                None => DirectedEngine {
                    client: DirectClient::open(card.address, ConnectionLimits::default()),
                    card: card.clone(),
                    account: Mutex::default(),
                    reads: Mutex::new(ReadState { next: Instant::now(), failing_since: None }),
                },
            };
            self.engines.insert(card.id.clone(), Arc::new(engine));
        }
    }

    /// Reads the engines whose account needs it.
    async fn read_due(&self) {
        let (now, clock) = (boot_now(), Instant::now());
        let is_due = |engine: &&Arc<DirectedEngine>| {
            let mut account = engine.account.lock();
            account.expire(now);
            let wanted = account.read_at().is_some_and(|at| now >= at);
            wanted && clock >= engine.reads.lock().next
        };
        let due: Vec<Arc<DirectedEngine>> = self.engines.values().filter(is_due).cloned().collect();
        let dialect = &*self.parts.dialect;
        join_all(due.iter().map(|engine| read_engine(engine, dialect))).await;
    }

    /// Plans for one service and sends the orders.
    fn direct(&mut self, service: &Arc<str>, profile: &EngineProfile, loads: &[LoadCount]) {
        let now = boot_now();
        let Some(fencing) = self.parts.right.fencing() else {
            self.tell_pause(service, profile);
            return;
        };
        let engines: Vec<PlanEngine> = self
            .engines
            .values()
            .filter(|engine| engine.card.service == *service)
            .map(|engine| plan_engine(engine, loads))
            .collect();
        let demand: BTreeMap<_, _> = self
            .demand
            .levels(now)
            .into_iter()
            .filter(|(key, _)| key.service == *service)
            .collect();
        let most = self.store_most(profile);
        let allowed = self.store.room(now, self.parts.store_window, most);
        let boundless = is_planted("overcommit")
            .then(|| EngineProfile { weights_mb: f64::INFINITY, ..profile.clone() });
        let input = PlanInput {
            now,
            profile: boundless.as_ref().unwrap_or(profile),
            engines: &engines,
            demand: &demand,
            store_room: allowed.min(self.pace.room()),
            store_limit: self.pace.limit(),
        };
        let plan = self.planners.entry(Arc::clone(service)).or_default().plan(&input);
        if !plan.backlog.is_empty() && self.backlog_told.elapsed() >= BACKLOG_LOG_PAUSE {
            self.backlog_told = Instant::now();
            let waits: u32 = demand.values().map(|level| level.waiting).sum();
            let free = engines.iter().filter(|engine| engine.is_free && engine.takes_work).count();
            let models: Vec<String> =
                plan.backlog.iter().map(|(model, eta)| format!("{model}:{eta:?}")).collect();
            info!("placement_backlog", kv: {
                service = service.to_string(), waiting = waits, free, steps = plan.steps.len(),
                store_room = input.store_room, models = models.join(",")
            });
        }
        for (model, eta) in plan.backlog {
            self.backlog.push((model, u64::try_from(eta.as_millis()).unwrap_or(u64::MAX)));
        }
        for step in plan.steps {
            if let HeldChange::LoadModel(model) = &step.change
                && step.from_store
            {
                self.store.note(now);
                self.pace.begin(now, step.engine.clone(), Arc::clone(model), step.takes);
            }
            self.order(step, fencing);
        }
    }

    /// Tells when what waits should be there, while the predecessor's last order may still be on its way.
    fn tell_pause(&mut self, service: &Arc<str>, profile: &EngineProfile) {
        let now = boot_now();
        let pause = self.parts.right.remaining();
        for (key, level) in self.demand.levels(now) {
            let model = profile.model(&key.model).filter(|_| key.service == *service);
            if let Some(model) = model.filter(|_| level.waiting > 0) {
                let eta = pause + model.disk_load + TURN_TIME;
                let eta_ms = u64::try_from(eta.as_millis()).unwrap_or(u64::MAX);
                self.backlog.push((Arc::clone(&key.model), eta_ms));
            }
        }
    }

    /// Notes which loads from the store have ended.
    fn pace_loads(&mut self) {
        let engines = &self.engines;
        let is_loading = |id: &EngineId, model: &str| {
            engines.get(id).is_some_and(|engine| engine.account.lock().is_loading(model))
        };
        self.pace.follow(boot_now(), is_loading);
    }

    fn order(&self, step: PlanStep, fencing: u64) {
        let Some(engine) = self.engines.get(&step.engine).cloned() else { return };
        let expect = {
            let mut account = engine.account.lock();
            account.begin();
            account.expect()
        };
        let order = FleetOrder {
            engine: engine.card.id.clone(),
            address: engine.card.address,
            change: step.change.clone(),
            expect,
            holder: self.parts.holder.clone(),
            fencing,
        };
        let request = self.parts.dialect.order(&order);
        let permit = Arc::new(TermPermit { right: Arc::clone(&self.parts.right), fencing });
        let dialect = Arc::clone(&self.parts.dialect);
        let board = Arc::clone(&self.parts.board);
        tokio::spawn(async move {
            let began = Instant::now();
            let call = OrderCall {
                address: order.address,
                permit,
                connect: ORDER_CONNECT,
                answer_timeout: ORDER_LIFE,
            };
            let sent = call.send(request).await;
            let end = dialect.order_end(sent);
            let takes = match step.from_store {
                true => OrderTime::Expected(step.takes + REPORT_LAG),
                false => OrderTime::Certain(step.takes + ORDER_MARGIN),
            };
            engine.account.lock().end(boot_now(), step.change.clone(), expect, takes, end);
            counter!("wheel_orders_total", "end" => format!("{end:?}")).increment(1);
            info!("order_sent", kv: {
                upstream = order.engine.name.to_string(), change:? = step.change,
                expect, fencing, gain = step.gain, from_store = step.from_store,
                end:? = end, answer:? = sent, ms = began.elapsed().as_millis()
            });
            tokio::time::sleep(step.takes + ORDER_MARGIN).await;
            board.wake();
        });
    }

    /// Shows entries what the engines hold.
    fn publish(&mut self) {
        let now = boot_now();
        let mut held = HashMap::new();
        let mut loading = std::mem::take(&mut self.backlog);
        for engine in self.engines.values() {
            let account = engine.account.lock();
            if account.reading().is_some() {
                let models = account.usable().into_iter().map(|entry| HeldModel {
                    name: entry.model,
                    version: 0,
                    adapters: entry.adapters,
                });
                held.insert(engine.card.id.clone(), models.collect());
            }
            if let Some((model, done)) = account.loading() {
                let left = done.since(now);
                let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                loading.push((Arc::clone(model), left));
            }
        }
        self.parts.board.set_held(Some((held, loading)));
    }
}
