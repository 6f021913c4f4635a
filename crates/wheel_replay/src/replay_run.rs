//! Event loop of one trace under one policy, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_policy::{ColdQueue, DemandForecast, EngineRouter, OutlierSettings};
use wheel_types::{ModelName, MonotonicTime, RequestRank};

use crate::call_record::CallRecord;
use crate::demand_tracker::DemandTracker;
use crate::load_record::LoadRecord;
use crate::virtual_engine::VirtualEngine;
use crate::virtual_store::VirtualStore;
use crate::{ModelPlacer, SitePlan, TraceFault};

/// Start of the trace in monotonic time; late enough that no time before it falls below zero.
pub(crate) const TRACE_START: MonotonicTime = MonotonicTime::from_millis(24 * 3_600 * 1_000);
/// Interval of periodic planning.
pub(crate) const TICK: Duration = Duration::from_secs(30);
/// Interval at which the forecast is advanced, in seconds.
const ADVANCE_S: u64 = 900;
/// Time between an event that needs planning and the planning.
pub(crate) const PLAN_DELAY: Duration = Duration::from_millis(10);
/// Limit on the events of a replay, far above what any trace needs.
const MAX_EVENTS: u64 = 100_000_000;
/// Maximum number of requests that wait for loads in a data centre.
const COLD_CAPACITY: usize = 4_096;
/// Maximum number of requests that wait for loads of one model.
const COLD_MODEL_CAPACITY: usize = 512;

/// An event of a replay. Numbers are indexes of calls, engines and data centres.
#[derive(Clone, Debug)]
pub(crate) enum ReplayEvent {
    Arrive(usize),
    Dispatch(usize),
    Offer { call: usize, engine: usize },
    ColdOffer { call: usize, centre: usize },
    Finish { call: usize, engine: usize, epoch: u64 },
    LoadsDone,
    Unloaded { engine: usize, model: ModelName, epoch: u64 },
    Plan(usize),
    Tick,
    UpdateRoutes { centre: usize, model: ModelName },
    Expire(usize),
    ColdExpire(usize),
    Fault(TraceFault),
    FaultEnd(TraceFault),
    EngineStopped { engine: usize, wiped: bool },
    EngineRestored(usize),
    End,
}

/// State of one data centre's instances: router, cold queue and placement.
pub(crate) struct ReplayCentre {
    pub(crate) router: EngineRouter,
    pub(crate) cold: ColdQueue,
    pub(crate) placer: Box<dyn ModelPlacer>,
    /// Whether it can reach no other data centre.
    pub(crate) cut: bool,
    plan_due: bool,
}

/// Counters of a replay that don't belong to a call.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayCounts {
    pub(crate) events: u64,
    pub(crate) loads: u64,
    pub(crate) unloads: u64,
    pub(crate) adapter_loads: u64,
    pub(crate) lost_loads: u64,
    pub(crate) violations: Vec<String>,
}

/// State of a replay; [`ReplayRun::run`] handles its events in order of time.
pub(crate) struct ReplayRun<'a> {
    pub(crate) site: &'a SitePlan,
    pub(crate) now: MonotonicTime,
    pub(crate) end: MonotonicTime,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) engines: Vec<VirtualEngine>,
    /// How often each engine was lost; events of its earlier epochs are ignored.
    pub(crate) epochs: Vec<u64>,
    pub(crate) centres: Vec<ReplayCentre>,
    pub(crate) store: VirtualStore,
    pub(crate) forecast: DemandForecast,
    pub(crate) demand: DemandTracker,
    pub(crate) counts: ReplayCounts,
    /// All loads, in the order in which they began.
    pub(crate) loads: Vec<LoadRecord>,
    /// Last end of an unload, by data centre, model and engine.
    pub(crate) unloads: BTreeMap<(usize, ModelName, usize), MonotonicTime>,
    /// When the store last had a slot again after all were taken.
    pub(crate) slot_freed_at: Option<MonotonicTime>,
    /// Start of the trace, in seconds since 1970.
    pub(crate) start_s: i64,
    /// When the forecast was last advanced.
    advanced_at: MonotonicTime,
    /// When the current `LoadsDone` event is due; others are ignored.
    loads_due: Option<MonotonicTime>,
    events: BTreeMap<(MonotonicTime, u64), ReplayEvent>,
    sequence: u64,
}

impl ReplayCentre {
    /// Creates a data centre without replicas or waiting requests.
    pub(crate) fn new(placer: Box<dyn ModelPlacer>, seed: u64) -> Self {
        let router = EngineRouter::open(OutlierSettings::default(), seed);
        let cold = ColdQueue::open(COLD_CAPACITY, COLD_MODEL_CAPACITY, seed);
        Self { router, cold, placer, cut: false, plan_due: false }
    }
}

impl<'a> ReplayRun<'a> {
    /// Creates a run without events.
    pub(crate) fn new(
        site: &'a SitePlan,
        engines: Vec<VirtualEngine>,
        centres: Vec<ReplayCentre>,
        forecast: DemandForecast,
        start_s: i64,
        end: MonotonicTime,
    ) -> Self {
        Self {
            site,
            now: TRACE_START,
            end,
            calls: Vec::new(),
            epochs: vec![0; engines.len()],
            engines,
            centres,
            store: VirtualStore::new(site.manifest.store.full_speed_loads),
            forecast,
            demand: DemandTracker::new(site),
            counts: ReplayCounts::default(),
            loads: Vec::new(),
            unloads: BTreeMap::new(),
            slot_freed_at: None,
            start_s,
            advanced_at: TRACE_START,
            loads_due: None,
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Adds an event.
    pub(crate) fn schedule(&mut self, at: MonotonicTime, event: ReplayEvent) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    /// Handles all events in order of time.
    pub(crate) fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.counts.events += 1;
            debug_assert!(self.counts.events < MAX_EVENTS, "a replay has too many events");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(call) => {
                self.record_arrival(call);
                self.dispatch(call);
            }
            ReplayEvent::Dispatch(call) => self.dispatch(call),
            ReplayEvent::Offer { call, engine } => self.offer(call, engine),
            ReplayEvent::ColdOffer { call, centre } => self.cold_offer(call, centre),
            ReplayEvent::Finish { call, engine, epoch } => self.finish(call, engine, epoch),
            ReplayEvent::LoadsDone if self.loads_due == Some(self.now) => {
                self.loads_due = None;
                self.end_loads();
            }
            ReplayEvent::LoadsDone => {}
            ReplayEvent::Unloaded { engine, model, epoch } => self.unloaded(engine, &model, epoch),
            ReplayEvent::Plan(centre) => {
                self.centres[centre].plan_due = false;
                self.plan(centre);
            }
            ReplayEvent::Tick => self.tick(),
            ReplayEvent::UpdateRoutes { centre, model } => self.update_routes(centre, &model),
            ReplayEvent::Expire(engine) => self.expire(engine),
            ReplayEvent::ColdExpire(centre) => self.expire_cold(centre),
            ReplayEvent::Fault(fault) => self.begin_fault(&fault),
            ReplayEvent::FaultEnd(fault) => self.end_fault(&fault),
            ReplayEvent::EngineStopped { engine, wiped } => self.stop_engine(engine, wiped),
            ReplayEvent::EngineRestored(engine) => {
                self.engines[engine].alive = true;
                self.engines[engine].view.leaving = false;
                self.schedule_plan(self.engines[engine].centre, PLAN_DELAY);
            }
            ReplayEvent::End => self.engines.iter_mut().for_each(|engine| engine.accrue(self.now)),
        }
    }

    /// One-way delay between two data centres.
    pub(crate) fn delay(&self, left: usize, right: usize) -> Duration {
        if left == right { Duration::ZERO } else { self.site.speed.link }
    }

    /// Whether two data centres can reach each other.
    pub(crate) fn can_reach(&self, left: usize, right: usize) -> bool {
        left == right || !(self.centres[left].cut || self.centres[right].cut)
    }

    /// Index of the data centre that loads a model for requests received at `from`: the model's
    /// home, or the next one that `from` can reach.
    pub(crate) fn home(&self, model: &ModelName, from: usize) -> usize {
        let first = self.demand.home(model);
        let count = self.centres.len();
        let order = (0..count).map(|step| (first + step) % count);
        order.into_iter().find(|centre| self.can_reach(from, *centre)).unwrap_or(from)
    }

    /// Schedules planning in a data centre after `delay`, unless it is already scheduled.
    pub(crate) fn schedule_plan(&mut self, centre: usize, delay: Duration) {
        if !self.centres[centre].plan_due {
            self.centres[centre].plan_due = true;
            self.schedule(self.now + delay, ReplayEvent::Plan(centre));
        }
    }

    fn record_arrival(&mut self, index: usize) {
        let wall = self.wall_time();
        let arrival = &self.calls[index].arrival;
        self.forecast.record(wall, &arrival.service, &arrival.model, 1);
    }

    fn tick(&mut self) {
        let elapsed_s = self.now.since(self.advanced_at).as_secs();
        if elapsed_s >= ADVANCE_S {
            self.advanced_at = self.now;
            self.forecast.advance(self.wall_time());
        }
        for centre in 0..self.centres.len() {
            self.schedule_plan(centre, Duration::ZERO);
        }
        if self.now < self.end {
            self.schedule(self.now + TICK, ReplayEvent::Tick);
        }
    }

    /// Schedules an event for the next load that will be done.
    pub(crate) fn schedule_loads(&mut self) {
        let Some(done) = self.store.next_done().map(|done| done.max(self.now)) else { return };
        if self.loads_due != Some(done) {
            self.loads_due = Some(done);
            self.schedule(done, ReplayEvent::LoadsDone);
        }
    }

    /// The rank of a service's requests.
    pub(crate) fn rank_of(site: &SitePlan, service: &str) -> RequestRank {
        let spec = site.manifest.services.iter().find(|one| one.name.as_str() == service);
        let rank =
            spec.and_then(|spec| site.manifest.ranks.iter().position(|one| one.name == spec.rank));
        RequestRank(rank.unwrap_or(0) as u8)
    }
}
