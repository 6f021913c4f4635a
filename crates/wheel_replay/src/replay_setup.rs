//! Preparation of a trace for its replays.

use std::collections::HashMap;

use std::time::Duration;

use wheel_manifest::{RankSpec, UpstreamKind, UpstreamSpec};
use wheel_policy::{
    DemandForecast, EngineQueue, EngineView, PlacedModel, PlacementPlanner, PlacementSettings,
    QueueSettings, SeededRandom,
};
use wheel_types::{ModelName, MonotonicTime};

use crate::call_record::CallRecord;
use crate::replay_queue::ReplayQueue;
use crate::replay_run::{ReplayCentre, ReplayEvent, ReplayRun, TRACE_START};
use crate::virtual_engine::VirtualEngine;
use crate::{
    DemandGenerator, ModelPlacer, OnDemandPlacer, ReplayPolicy, ReplayReport, SitePlan,
    TraceArrival, TraceEvent, TraceFile, TraceHeader,
};

/// A model without a request for this long has an idle period, in milliseconds.
const IDLE_PERIOD_MS: u64 = 15 * 60 * 1_000;
/// Requests within this time after the first one still wait for the load that it needs.
const WAKE_WINDOW_MS: u64 = 30 * 1_000;
/// Shares of the models whose checkpoints are on a disk and in host memory at the start.
const ON_DISK_SHARE: f64 = 0.7;
const IN_MEMORY_SHARE: f64 = 0.2;
/// Slots of each engine that are reserved for the most urgent rank.
const URGENT_SLOTS: u32 = 1;
/// Seed for placing the checkpoints and for the queues' jitter.
const SETUP_SEED: u64 = 11;

/// A trace with its generated arrivals and a forecast that has learned its history, for any policy.
#[derive(Clone, Debug)]
pub struct ReplaySetup {
    /// The site.
    pub site: SitePlan,
    /// The trace's header.
    pub header: TraceHeader,
    /// Settings of the placement.
    pub placement: PlacementSettings,
    /// Share of the models whose checkpoints are on a disk at the start.
    pub on_disk_share: f64,
    arrivals: Vec<TraceArrival>,
    faults: Vec<crate::TraceFault>,
    forecast: DemandForecast,
}

impl ReplaySetup {
    /// Prepares a trace for the site in its header.
    pub fn new(trace: &TraceFile) -> Self {
        Self::with_site(trace, SitePlan::of(trace.header.site))
    }

    /// Prepares a trace for another site.
    pub fn with_site(trace: &TraceFile, site: SitePlan) -> Self {
        let mut arrivals = Vec::new();
        let mut faults = Vec::new();
        for event in &trace.events {
            match event {
                TraceEvent::Arrival(arrival) => arrivals.push(arrival.clone()),
                TraceEvent::Fault(fault) => faults.push(fault.clone()),
            }
        }
        let mut forecast = DemandForecast::open(&site.manifest);
        if let Some(plan) = &trace.header.generator {
            let generator = DemandGenerator::new(&site, &trace.header, plan);
            arrivals.extend(generator.arrivals());
            arrivals.sort_by_key(|arrival| arrival.at_ms);
            generator.history(|at, service, model, count| {
                forecast.record(at, service, model, count);
            });
        }
        forecast.advance(trace.header.start);
        let placement = placement_settings(&site);
        Self {
            site,
            header: trace.header.clone(),
            placement,
            on_disk_share: ON_DISK_SHARE,
            arrivals,
            faults,
            forecast,
        }
    }

    /// The requests of the trace.
    pub fn arrivals(&self) -> &[TraceArrival] {
        &self.arrivals
    }

    /// Replays the trace under a policy.
    pub fn replay(&self, policy: ReplayPolicy) -> ReplayReport {
        let end = TRACE_START + Duration::from_secs_f64(self.header.hours * 3_600.0);
        let centres = self.site.manifest.centres.iter().enumerate();
        let centres = centres
            .map(|(index, _)| ReplayCentre::new(self.placer(policy), SETUP_SEED + index as u64));
        let mut run = ReplayRun::new(
            &self.site,
            self.engines(policy),
            centres.collect(),
            self.forecast.clone(),
            self.header.start.as_second(),
            end,
        );
        self.add_calls(&mut run);
        for fault in &self.faults {
            let at = TRACE_START + Duration::from_millis(fault.at_ms);
            run.schedule(at, ReplayEvent::Fault(fault.clone()));
        }
        if policy == ReplayPolicy::Everything {
            preload(&mut run);
        }
        run.schedule(TRACE_START, ReplayEvent::Tick);
        run.schedule(end, ReplayEvent::End);
        run.run();
        ReplayReport::new(policy, &self.header, &run)
    }

    fn add_calls(&self, run: &mut ReplayRun<'_>) {
        let ranks: HashMap<&str, _> = self
            .site
            .manifest
            .services
            .iter()
            .map(|one| (one.name.as_str(), ReplayRun::rank_of(&self.site, one.name.as_str())))
            .collect();
        let mut periods = IdlePeriods::default();
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let rank = ranks.get(arrival.service.as_str()).copied().unwrap_or_default();
            let arrived_at = TRACE_START + Duration::from_millis(arrival.at_ms);
            let deadline_ms =
                self.site.manifest.ranks.get(rank.index()).map_or(0, |one| one.deadline_ms);
            run.calls.push(CallRecord {
                arrival: arrival.clone(),
                rank,
                arrived_at,
                deadline: arrived_at + Duration::from_millis(deadline_ms),
                centre: arrival.centre,
                retry_of: None,
                is_wake_up: periods.is_wake_up(arrival),
                cold_since: None,
                cold_wait: Duration::ZERO,
                cold_refused: false,
                first_byte: None,
                outcome: None,
            });
            run.schedule(arrived_at, ReplayEvent::Arrive(index));
        }
    }

    fn placer(&self, policy: ReplayPolicy) -> Box<dyn ModelPlacer> {
        let idle = match policy {
            ReplayPolicy::OnDemand { idle } => Some(idle),
            ReplayPolicy::Everything => None,
            ReplayPolicy::Ours | ReplayPolicy::FirstCome | ReplayPolicy::StrictRanks => {
                return Box::new(PlacementPlanner::open(
                    self.placement.clone(),
                    &self.site.manifest,
                ));
            }
        };
        Box::new(OnDemandPlacer::open(&self.site.manifest, self.placement.clone(), idle))
    }

    fn engines(&self, policy: ReplayPolicy) -> Vec<VirtualEngine> {
        let specs =
            self.site.manifest.upstreams.iter().filter(|one| one.kind == UpstreamKind::Engine);
        let mut engines: Vec<VirtualEngine> =
            specs.enumerate().map(|(index, spec)| self.engine(policy, index, spec)).collect();
        self.place_checkpoints(&mut engines);
        engines
    }

    fn engine(&self, policy: ReplayPolicy, index: usize, spec: &UpstreamSpec) -> VirtualEngine {
        let centres = &self.site.manifest.centres;
        let centre = centres.iter().position(|one| one.name == spec.data_centre).unwrap_or(0);
        let view = EngineView {
            upstream: spec.name.clone(),
            memory_mib: spec.memory_mib,
            accelerators: spec.accelerators,
            slots: spec.slots,
            ..EngineView::default()
        };
        let floors = |rank: &RankSpec| match policy {
            ReplayPolicy::StrictRanks => RankSpec { floor_percent: 0, ..rank.clone() },
            _ => rank.clone(),
        };
        let settings = QueueSettings {
            slots: spec.slots,
            urgent_slots: URGENT_SLOTS,
            ranks: self.site.manifest.ranks.iter().map(floors).collect(),
            seed: SETUP_SEED + index as u64,
            ..QueueSettings::default()
        };
        let queue = match policy {
            ReplayPolicy::FirstCome => ReplayQueue::first_come(spec.slots),
            _ => ReplayQueue::Ranked(Box::new(EngineQueue::open(settings))),
        };
        VirtualEngine::new(centre, view, queue, TRACE_START)
    }

    /// Distributes checkpoints over disks and host memory as after weeks of use.
    fn place_checkpoints(&self, engines: &mut [VirtualEngine]) {
        let mut random = SeededRandom::new(SETUP_SEED);
        let sizes: HashMap<&ModelName, u64> =
            self.site.manifest.models.iter().map(|spec| (&spec.name, spec.memory_mib)).collect();
        let size = |model: &ModelName| sizes.get(model).copied().unwrap_or(0);
        let centres = self.site.manifest.centres.len();
        for (index, spec) in self.site.manifest.models.iter().enumerate() {
            let own: Vec<usize> =
                (0..engines.len()).filter(|one| engines[*one].centre == index % centres).collect();
            let engine = &mut engines[own[random.next_below(own.len())]];
            let sample = random.next_unit();
            if sample < self.on_disk_share {
                engine.keep_on_disk(&spec.name, &self.site.speed, &size);
            }
            if sample < IN_MEMORY_SHARE {
                engine.keep_in_memory(&spec.name, &self.site.speed, &size);
            }
        }
    }
}

/// Finds idle periods by the time of each model's last request.
#[derive(Debug, Default)]
struct IdlePeriods {
    last: HashMap<ModelName, u64>,
    woken_at: HashMap<ModelName, u64>,
}

impl IdlePeriods {
    /// Whether an arrival ends an idle period of its model, or comes right after one that did.
    fn is_wake_up(&mut self, arrival: &TraceArrival) -> bool {
        let last = self.last.insert(arrival.model.clone(), arrival.at_ms);
        if last.is_none_or(|last| arrival.at_ms - last >= IDLE_PERIOD_MS) {
            self.woken_at.insert(arrival.model.clone(), arrival.at_ms);
        }
        let woken_at = self.woken_at.get(&arrival.model);
        woken_at.is_some_and(|woken_at| arrival.at_ms - woken_at <= WAKE_WINDOW_MS)
    }
}

fn placement_settings(site: &SitePlan) -> PlacementSettings {
    PlacementSettings {
        memory_share: site.speed.memory_share,
        disk_share: site.speed.disk_share,
        ..PlacementSettings::default()
    }
}

/// Loads as many models as fit before the trace starts, the most popular ones first.
fn preload(run: &mut ReplayRun<'_>) {
    let since = MonotonicTime::default();
    let specs = run.site.manifest.models.clone();
    for (index, spec) in specs.iter().enumerate() {
        let home = index % run.centres.len();
        let fits =
            |one: &&mut VirtualEngine| one.centre == home && one.view.free_mib() >= spec.memory_mib;
        if let Some(engine) = run.engines.iter_mut().find(fits) {
            engine.view.models.push(PlacedModel {
                model: spec.name.clone(),
                memory_mib: spec.memory_mib,
                since,
                ..PlacedModel::default()
            });
        }
    }
    for engine in 0..run.engines.len() {
        let models: Vec<ModelName> =
            run.engines[engine].view.models.iter().map(|one| one.model.clone()).collect();
        for model in models {
            run.announce(engine, &model);
        }
    }
}
