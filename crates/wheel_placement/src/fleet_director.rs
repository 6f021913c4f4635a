//! Reads engines' reports, plans which models they load, and sends the orders.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use metrics::counter;
use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};
use wheel_lease::{ChangeOutcome, LoadWindow, OrderDuration};
use wheel_policy::{
    DemandEstimator, FleetPlanner, PlanEngine, PlanInput, PlanStep, RestTable, StoreLoadLimiter,
};
use wheel_route::{EngineId, EngineProfile, FleetConfig, HeldModel, OpenRequestCount};
use wheel_seams::{boot_now, is_planted};
use wheel_types::{ModelChange, MonotonicTime};
use wheel_upstream::{ConnectionLimits, DirectClient, OrderCall, OrderCallOutcome};

use crate::authority_ledger::FIRST_TERM;
use crate::directed_engine::{DirectedEngine, ReadState, plan_engine, read_engine, record_rest};
use crate::order_authority::TermPermit;
use crate::placement_metrics::{record_copies, record_load};
use crate::{FleetDialect, FleetOrder, FleetRegistry, ListWatch, OrderAuthority};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two rounds: urgent syncs arrive from many ingress instances at once, and a
/// round looks at every model and engine.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// How long a round waits for the reports that it reads: several round trips between data centres. An
/// engine that answers later, or not at all, must not delay the orders to all others; after a read
/// that failed, no round waits for it until one succeeds.
const READ_PATIENCE: Duration = Duration::from_millis(50);
/// The same for the first round of a term, which knows of no engine what it holds: the time limit of
/// a report.
const FIRST_READ_PATIENCE: Duration = Duration::from_millis(500);
/// Delay until a report shows a finished order: reports are some hundred milliseconds old.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Added to the stated duration of an order that counts as finished without a report.
const ORDER_MARGIN: Duration = Duration::from_millis(30);
/// Time limit for connecting to an engine to send an order.
const ORDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Expected delay of a waiting load after orders are allowed again.
const QUEUE_TIME: Duration = Duration::from_millis(1_000);
/// Minimum time between two log lines on the backlog; rounds run several times a second.
const BACKLOG_LOG_PAUSE: Duration = Duration::from_secs(1);
/// Minimum time between two log lines on the copies of models: a copy takes some seconds.
const COPIES_LOG_PAUSE: Duration = Duration::from_secs(10);
/// Fraction of the weight store's allowed load rate that is used, so that rounding at the window's
/// ends never exceeds it.
const STORE_RATE_FRACTION: f64 = 0.95;

/// Dependencies and settings of a [`FleetDirector`].
pub struct DirectorContext {
    /// The own instance name, which is sent with orders.
    pub holder: String,
    /// The authority to send orders.
    pub authority: Arc<OrderAuthority>,
    /// The list of upstreams.
    pub list: Arc<ListWatch>,
    /// The syncs of other instances.
    pub registry: Arc<FleetRegistry>,
    /// Formats of reports and orders.
    pub dialect: Arc<dyn FleetDialect>,
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<FleetConfig>>>,
    /// The time window in which loads from the weight store are limited.
    pub store_window: Duration,
    /// Factor by which the store tolerates more loads in one window than it allows.
    pub store_burst: f64,
    /// Whether models are placed by the time at which requests get them.
    pub controls_load: bool,
}

/// Decides which models the engines of all services load, while this instance has the authority.
pub struct FleetDirector {
    context: DirectorContext,
    term: u64,
    engines: HashMap<EngineId, Arc<DirectedEngine>>,
    demand: DemandEstimator,
    planners: HashMap<Arc<str>, FleetPlanner>,
    window: LoadWindow,
    limiter: StoreLoadLimiter,
    /// Engines that have asked this instance not to call them; kept when a term ends.
    rests: Arc<Mutex<RestTable>>,
    /// Models that wait for an engine or the store, with the estimated milliseconds until they are
    /// available.
    backlog: Vec<(Arc<str>, u64)>,
    /// When the backlog was last logged.
    backlog_logged: Instant,
    /// When the copies of models were last logged, by service.
    copies_logged: HashMap<Arc<str>, Instant>,
}

impl FleetDirector {
    /// Starts the director's task.
    pub fn spawn(context: DirectorContext) {
        let director = Self {
            context,
            term: 0,
            engines: HashMap::new(),
            demand: DemandEstimator::default(),
            planners: HashMap::new(),
            window: LoadWindow::default(),
            limiter: StoreLoadLimiter::default(),
            rests: Arc::default(),
            backlog: Vec::new(),
            backlog_logged: Instant::now(),
            copies_logged: HashMap::new(),
        };
        tokio::spawn(director.run());
    }

    async fn run(mut self) {
        let mut ticks = tokio::time::interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.context.registry.urgent() => {}
            }
            match self.context.authority.leading_term() {
                Some(term) => {
                    self.round(term).await;
                    tokio::time::sleep(ROUND_PAUSE).await;
                }
                None if self.term != 0 => {
                    info!("directing_ended", kv: { term = self.term });
                    self.term = 0;
                    self.engines.clear();
                    self.context.registry.set_held(None);
                }
                None => {}
            }
        }
    }

    async fn round(&mut self, term: u64) {
        let Some(config) = self.context.config.borrow_and_update().clone() else { return };
        let now = boot_now();
        let patience = match self.term == term {
            true => READ_PATIENCE,
            false => FIRST_READ_PATIENCE,
        };
        if self.term != term {
            self.begin_term(term, &config, now);
        }
        let totals = self.context.registry.prepare_sync("own".into(), config.version);
        self.demand.record(now, "fleet", &totals.demand);
        self.demand.expire(now);
        self.sync_engines(&config);
        for engine in totals.stale_engines.iter().filter_map(|id| self.engines.get(id)) {
            engine.inventory.lock().invalidate();
        }
        self.read_due_engines(patience).await;
        self.remove_finished_loads();
        self.backlog.clear();
        for service in &config.services {
            if let Some(profile) = &service.engine {
                self.plan_service(&service.name, profile, &totals.open_requests);
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
        let assumed = engines.map(|profile| self.predecessor_loads(profile)).max().unwrap_or(0);
        self.window = match term {
            FIRST_TERM => LoadWindow::default(),
            _ => LoadWindow::full(now + self.context.authority.validity(), assumed),
        };
        self.limiter = match self.context.controls_load {
            true => StoreLoadLimiter::careful(),
            false => StoreLoadLimiter::default(),
        };
    }

    /// Maximum number of loads from the store that may begin in one window.
    fn max_store_loads(&self, profile: &EngineProfile) -> usize {
        let window_s = self.context.store_window.as_secs_f64();
        (profile.loads_per_s * window_s * STORE_RATE_FRACTION).floor() as usize
    }

    /// Loads that count against the first window. The predecessor may have begun as many as
    /// allowed; what the store tolerates beyond that is available at once.
    fn predecessor_loads(&self, profile: &EngineProfile) -> usize {
        let window_s = self.context.store_window.as_secs_f64();
        let tolerated =
            (profile.loads_per_s * window_s * self.context.store_burst).floor() as usize;
        let allowed = self.max_store_loads(profile);
        allowed.saturating_sub(tolerated.saturating_sub(allowed))
    }

    /// Keeps one entry for each start of each listed engine.
    fn sync_engines(&mut self, config: &FleetConfig) {
        let Some((listed, _)) = self.context.list.current() else { return };
        self.engines.retain(|id, _| listed.iter().any(|info| info.id == *id));
        for info in listed.iter() {
            let is_engine = config.service(&info.service).is_some_and(|spec| spec.engine.is_some());
            let known = self.engines.get(&info.id);
            if !is_engine || known.is_some_and(|known| known.info.state == info.state) {
                continue;
            }
            let engine = match known {
                Some(known) => DirectedEngine { info: info.clone(), ..(**known).clone() },
                None => DirectedEngine {
                    client: DirectClient::open(info.address, ConnectionLimits::default()),
                    info: info.clone(),
                    inventory: Arc::default(),
                    reads: Arc::new(Mutex::new(ReadState {
                        next: Instant::now(),
                        is_reading: false,
                        failing_since: None,
                    })),
                },
            };
            self.engines.insert(info.id.clone(), Arc::new(engine));
        }
    }

    /// Reads the reports of engines that are due for a read. Waits for those whose last read didn't
    /// fail, for `patience`; the other reads go on, and a round follows each that succeeds.
    async fn read_due_engines(&self, patience: Duration) {
        let (now, clock) = (boot_now(), Instant::now());
        let is_due = |engine: &&Arc<DirectedEngine>| {
            let is_resting = self.is_resting(engine);
            let mut inventory = engine.inventory.lock();
            inventory.expire(now);
            let is_wanted = inventory.next_read_at().is_some_and(|at| now >= at);
            let reads = engine.reads.lock();
            is_wanted && !is_resting && !reads.is_reading && clock >= reads.next
        };
        let due: Vec<Arc<DirectedEngine>> = self.engines.values().filter(is_due).cloned().collect();
        let read = |engine: Arc<DirectedEngine>| {
            let is_awaited = {
                let mut reads = engine.reads.lock();
                reads.is_reading = true;
                reads.failing_since.is_none()
            };
            let (dialect, rests) = (Arc::clone(&self.context.dialect), Arc::clone(&self.rests));
            let registry = Arc::clone(&self.context.registry);
            let task = tokio::spawn(async move {
                read_engine(&engine, &*dialect, &rests).await;
                let has_failed = engine.reads.lock().failing_since.is_some();
                if !has_failed && (!is_awaited || clock.elapsed() >= patience) {
                    registry.wake();
                }
            });
            is_awaited.then_some(task)
        };
        let awaited = join_all(due.into_iter().filter_map(read));
        let _late = tokio::time::timeout(patience, awaited).await;
    }

    fn is_resting(&self, engine: &DirectedEngine) -> bool {
        self.rests.lock().remaining(boot_now(), &engine.info.id).is_some()
    }

    /// Plans for one service and sends the orders.
    fn plan_service(
        &mut self,
        service: &Arc<str>,
        profile: &EngineProfile,
        open_requests: &[OpenRequestCount],
    ) {
        let now = boot_now();
        let Some(fencing) = self.context.authority.fencing() else {
            self.estimate_backlog(service, profile);
            return;
        };
        let engines: Vec<PlanEngine> = self
            .engines
            .values()
            .filter(|engine| engine.info.service == *service)
            .map(|engine| {
                let is_limited = self.context.registry.is_limited(&engine.info.id);
                plan_engine(engine, open_requests, self.is_resting(engine), is_limited)
            })
            .collect();
        let demand: BTreeMap<_, _> = self
            .demand
            .levels(now)
            .into_iter()
            .filter(|(key, _)| key.service == *service)
            .collect();
        let max_loads = self.max_store_loads(profile);
        let allowed = self.window.available(now, self.context.store_window, max_loads);
        let unlimited = is_planted("overcommit")
            .then(|| EngineProfile { memory_mb: f64::INFINITY, ..profile.clone() });
        let window_wait = self.window.wait(now, self.context.store_window, max_loads);
        let store_waits: Vec<Duration> =
            self.limiter.waits(now).into_iter().map(|wait| wait.max(window_wait)).collect();
        let input = PlanInput {
            now,
            profile: unlimited.as_ref().unwrap_or(profile),
            engines: &engines,
            demand: &demand,
            free_store_loads: allowed.min(self.limiter.available()),
            store_limit: self.limiter.limit(),
            store_waits: &store_waits,
            controls_load: self.context.controls_load,
        };
        let plan = self.planners.entry(Arc::clone(service)).or_default().plan(&input);
        let logged = self.copies_logged.get(service);
        if logged.is_none_or(|logged| logged.elapsed() >= COPIES_LOG_PAUSE) {
            self.copies_logged.insert(Arc::clone(service), Instant::now());
            record_copies(service, profile, &engines);
        }
        if !plan.backlog.is_empty() && self.backlog_logged.elapsed() >= BACKLOG_LOG_PAUSE {
            self.backlog_logged = Instant::now();
            let waiting: u32 = demand.values().map(|level| level.waiting).sum();
            let free = engines
                .iter()
                .filter(|engine| engine.accepts_orders && engine.accepts_work)
                .count();
            let models: Vec<String> =
                plan.backlog.iter().map(|(model, eta)| format!("{model}:{eta:?}")).collect();
            info!("placement_backlog", kv: {
                service = service.to_string(), waiting = waiting, free, steps = plan.steps.len(),
                store_room = input.free_store_loads, models = models.join(",")
            });
        }
        for (model, eta) in plan.backlog {
            self.backlog.push((model, u64::try_from(eta.as_millis()).unwrap_or(u64::MAX)));
        }
        for step in plan.steps {
            if let ModelChange::LoadModel(model) = &step.change
                && step.from_store
            {
                self.window.record(now);
                self.limiter.begin(
                    now,
                    step.engine.clone(),
                    Arc::clone(model),
                    step.expected_duration,
                );
            }
            record_load(&step, &engines, &demand);
            let active = engines.iter().find(|engine| engine.id == step.engine);
            let active = active.map_or(0, |engine| engine.active);
            self.send_order(step, active, fencing);
        }
    }

    /// Adds waiting models to the backlog with estimated times, while orders aren't allowed because
    /// the predecessor's last order may still be in flight.
    fn estimate_backlog(&mut self, service: &Arc<str>, profile: &EngineProfile) {
        let now = boot_now();
        let pause = self.context.authority.remaining();
        for (key, level) in self.demand.levels(now) {
            let model = profile.model(&key.model).filter(|_| key.service == *service);
            if let Some(model) = model.filter(|_| level.waiting > 0) {
                let eta = pause + model.disk_load_time + QUEUE_TIME;
                let eta_ms = u64::try_from(eta.as_millis()).unwrap_or(u64::MAX);
                self.backlog.push((Arc::clone(&key.model), eta_ms));
            }
        }
    }

    /// Removes the loads that have ended from the limiter of store loads.
    fn remove_finished_loads(&mut self) {
        let engines = &self.engines;
        let is_loading = |id: &EngineId, model: &str| {
            engines.get(id).is_some_and(|engine| engine.inventory.lock().is_loading(model))
        };
        self.limiter.remove_finished(boot_now(), is_loading);
    }

    /// Sends the order of a planned step in a task of its own.
    fn send_order(&self, step: PlanStep, active: u32, fencing: u64) {
        let Some(engine) = self.engines.get(&step.engine).cloned() else { return };
        let controls_load = self.context.controls_load;
        // An unload waits for the model's requests. An order after its stated time would be refused,
        // and the engine gets none until it has been read again.
        let may_wait = controls_load
            && active > 0
            && matches!(step.change, ModelChange::UnloadModel(_) | ModelChange::UnloadAdapter(..));
        let expect = {
            let mut inventory = engine.inventory.lock();
            inventory.begin_order(step.change.clone());
            inventory.accepted_count()
        };
        let order = FleetOrder {
            engine: engine.info.id.clone(),
            address: engine.info.address,
            change: step.change.clone(),
            expect,
            holder: self.context.holder.clone(),
            fencing,
        };
        let request = self.context.dialect.order(&order);
        let permit =
            Arc::new(TermPermit { authority: Arc::clone(&self.context.authority), fencing });
        let dialect = Arc::clone(&self.context.dialect);
        let registry = Arc::clone(&self.context.registry);
        let rests = Arc::clone(&self.rests);
        tokio::spawn(async move {
            let began = Instant::now();
            let call = OrderCall {
                address: order.address,
                permit,
                connect: ORDER_CONNECT_TIMEOUT,
                answer_timeout: ORDER_TIMEOUT,
            };
            let sent = call.send(request).await;
            if let OrderCallOutcome::Answered { rest, .. } = sent {
                record_rest(&rests, &order.engine, rest);
            }
            let end = dialect.order_end(sent);
            let duration = match step.from_store {
                true => OrderDuration::Expected(step.expected_duration + REPORT_LAG),
                false if may_wait => OrderDuration::Expected(step.expected_duration),
                false => OrderDuration::Certain(step.expected_duration + ORDER_MARGIN),
            };
            {
                let mut inventory = engine.inventory.lock();
                inventory.finish_order(boot_now(), expect, duration, end);
                // The engine may have counted the order: the next one would state a wrong count.
                if controls_load && end == ChangeOutcome::Unknown {
                    inventory.invalidate();
                }
            }
            counter!("wheel_orders_total", "end" => format!("{end:?}")).increment(1);
            info!("order_sent", kv: {
                upstream = order.engine.name.to_string(), change:? = step.change,
                expect, fencing, gain = step.gain, from_store = step.from_store,
                end:? = end, answer:? = sent, ms = began.elapsed().as_millis()
            });
            tokio::time::sleep(step.expected_duration + ORDER_MARGIN).await;
            registry.wake();
        });
    }

    /// Publishes the engines' loaded models and the expected loads to ingress instances.
    fn publish(&mut self) {
        let now = boot_now();
        let mut held = HashMap::new();
        let mut loading = std::mem::take(&mut self.backlog);
        for engine in self.engines.values() {
            let inventory = engine.inventory.lock();
            if inventory.status().is_some() {
                let models = inventory.usable_models().into_iter().map(|entry| HeldModel {
                    name: entry.model,
                    version: 0,
                    adapters: entry.adapters,
                });
                held.insert(engine.info.id.clone(), models.collect());
            }
            if let Some((model, done)) = inventory.loading() {
                let left = match done.since(now) {
                    Duration::ZERO if self.context.controls_load => REPORT_LAG,
                    left => left,
                };
                let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                loading.push((Arc::clone(model), left));
            }
        }
        self.context.registry.set_held(Some((held, loading)));
    }
}
