//! One trace under one policy, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_policy::{ColdQueue, DemandForecast, EngineRouter, OutlierSettings};
use wheel_types::{ModelName, MonotonicTime, RequestRank};

use crate::call_record::CallRecord;
use crate::demand_board::DemandBoard;
use crate::virtual_engine::VirtualEngine;
use crate::virtual_store::VirtualStore;
use crate::{ModelPlacer, SitePlan, TraceFault};

/// When the trace starts in monotonic time: late enough that nothing looks older than the start.
pub(crate) const TRACE_START: MonotonicTime = MonotonicTime::from_millis(24 * 3_600 * 1_000);
/// Time between two rounds of planning without a cause.
pub(crate) const TICK: Duration = Duration::from_secs(30);
/// Time after which the forecast is told that time has passed, in seconds.
const ADVANCE_S: u64 = 900;
/// Time between a cause and the round that it brings.
pub(crate) const PLAN_DELAY: Duration = Duration::from_millis(10);
/// Events of a replay, far beyond any trace.
const MAX_EVENTS: u64 = 100_000_000;
/// Requests that wait for loads in a data centre.
const COLD_CAPACITY: usize = 4_096;
/// Requests that wait for one model.
const COLD_MODEL_CAPACITY: usize = 512;

/// What happens next.
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
    Routes { centre: usize, model: ModelName },
    Expire(usize),
    ColdExpire(usize),
    Fault(TraceFault),
    FaultEnd(TraceFault),
    Gone { engine: usize, wiped: bool },
    Back(usize),
    End,
}

/// One data centre's instances: router, cold queue, placement.
pub(crate) struct ReplayCentre {
    pub(crate) router: EngineRouter,
    pub(crate) cold: ColdQueue,
    pub(crate) placer: Box<dyn ModelPlacer>,
    pub(crate) cut: bool,
    plan_due: bool,
}

/// What was counted besides the calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayCounts {
    pub(crate) events: u64,
    pub(crate) loads: u64,
    pub(crate) unloads: u64,
    pub(crate) adapter_loads: u64,
    pub(crate) lost_loads: u64,
    pub(crate) broken: Vec<String>,
}

/// The state of a replay; [`ReplayRun::run`] goes through its events in order of time.
pub(crate) struct ReplayRun<'a> {
    pub(crate) site: &'a SitePlan,
    pub(crate) now: MonotonicTime,
    pub(crate) end: MonotonicTime,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) engines: Vec<VirtualEngine>,
    pub(crate) epochs: Vec<u64>,
    pub(crate) centres: Vec<ReplayCentre>,
    pub(crate) store: VirtualStore,
    pub(crate) forecast: DemandForecast,
    pub(crate) demand: DemandBoard,
    pub(crate) counts: ReplayCounts,
    pub(crate) start_s: i64,
    advanced: MonotonicTime,
    loads_due: Option<MonotonicTime>,
    events: BTreeMap<(MonotonicTime, u64), ReplayEvent>,
    sequence: u64,
}

impl ReplayCentre {
    /// A data centre whose instances know nothing yet.
    pub(crate) fn new(placer: Box<dyn ModelPlacer>, seed: u64) -> Self {
        let router = EngineRouter::open(OutlierSettings::default(), seed);
        let cold = ColdQueue::open(COLD_CAPACITY, COLD_MODEL_CAPACITY, seed);
        Self { router, cold, placer, cut: false, plan_due: false }
    }
}

impl<'a> ReplayRun<'a> {
    /// Makes a run that has no events yet.
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
            store: VirtualStore::new(site.text.store.full_speed_loads),
            forecast,
            demand: DemandBoard::new(site),
            counts: ReplayCounts::default(),
            start_s,
            advanced: TRACE_START,
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

    /// Goes through all events.
    pub(crate) fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.counts.events += 1;
            debug_assert!(self.counts.events < MAX_EVENTS, "a replay that doesn't end");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrive(call) => {
                self.learn(call);
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
            ReplayEvent::Routes { centre, model } => self.update_routes(centre, &model),
            ReplayEvent::Expire(engine) => self.expire(engine),
            ReplayEvent::ColdExpire(centre) => self.expire_cold(centre),
            ReplayEvent::Fault(fault) => self.begin_fault(&fault),
            ReplayEvent::FaultEnd(fault) => self.end_fault(&fault),
            ReplayEvent::Gone { engine, wiped } => self.lose_engine(engine, wiped),
            ReplayEvent::Back(engine) => {
                self.engines[engine].alive = true;
                self.engines[engine].view.leaving = false;
                self.plan_soon(self.engines[engine].centre, PLAN_DELAY);
            }
            ReplayEvent::End => self.engines.iter_mut().for_each(|engine| engine.accrue(self.now)),
        }
    }

    /// Delay between two data centres, one way.
    pub(crate) fn delay(&self, left: usize, right: usize) -> Duration {
        if left == right { Duration::ZERO } else { self.site.speed.link }
    }

    /// Whether two data centres reach each other.
    pub(crate) fn reaches(&self, left: usize, right: usize) -> bool {
        left == right || !(self.centres[left].cut || self.centres[right].cut)
    }

    /// The data centre that loads a model for requests taken at `from`.
    pub(crate) fn home(&self, model: &ModelName, from: usize) -> usize {
        let first = self.demand.home(model);
        let count = self.centres.len();
        let order = (0..count).map(|step| (first + step) % count);
        order.into_iter().find(|centre| self.reaches(from, *centre)).unwrap_or(from)
    }

    /// Plans in a data centre after `delay`, unless that is due already.
    pub(crate) fn plan_soon(&mut self, centre: usize, delay: Duration) {
        if !self.centres[centre].plan_due {
            self.centres[centre].plan_due = true;
            self.schedule(self.now + delay, ReplayEvent::Plan(centre));
        }
    }

    fn learn(&mut self, index: usize) {
        let wall = self.wall_time();
        let arrival = &self.calls[index].arrival;
        self.forecast.record(wall, &arrival.service, &arrival.model, 1);
    }

    fn tick(&mut self) {
        let quiet_s = self.now.since(self.advanced).as_secs();
        if quiet_s >= ADVANCE_S {
            self.advanced = self.now;
            self.forecast.advance(self.wall_time());
        }
        for centre in 0..self.centres.len() {
            self.plan_soon(centre, Duration::ZERO);
        }
        if self.now < self.end {
            self.schedule(self.now + TICK, ReplayEvent::Tick);
        }
    }

    /// Looks again when the next load is done.
    pub(crate) fn schedule_loads(&mut self) {
        let Some(done) = self.store.next_done().map(|done| done.max(self.now)) else { return };
        if self.loads_due != Some(done) {
            self.loads_due = Some(done);
            self.schedule(done, ReplayEvent::LoadsDone);
        }
    }

    /// The rank of a service's requests.
    pub(crate) fn rank_of(site: &SitePlan, service: &str) -> RequestRank {
        let spec = site.text.services.iter().find(|one| one.name.as_str() == service);
        let rank =
            spec.and_then(|spec| site.text.ranks.iter().position(|one| one.name == spec.rank));
        RequestRank(rank.unwrap_or(0) as u8)
    }
}
