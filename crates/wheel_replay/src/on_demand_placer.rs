//! The baseline of placement: load on demand, unload after a fixed idle time.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_manifest::{DeploymentManifest, ModelSpec};
use wheel_policy::{
    CheckpointSource, DemandView, EngineView, FleetView, ModelDemand, PlacedModel, PlacementAction,
    PlacementPlanner, PlacementReason, PlacementSettings, PlacementStep,
};
use wheel_types::{ModelName, ModelPhase, MonotonicTime};

use crate::ModelPlacer;

/// How long a drained replica waits for requests on their way.
const DRAIN_GRACE: Duration = Duration::from_millis(200);

/// Loads a model when a request waits for it, first come first served and nearest checkpoint first,
/// evicts the least recently used, and unloads what was idle for `idle`, if that is given.
#[derive(Clone, Debug)]
pub struct OnDemandPlacer {
    idle: Option<Duration>,
    models: BTreeMap<ModelName, ModelSpec>,
    expectations: PlacementPlanner,
}

impl OnDemandPlacer {
    /// Makes a placer for the models of `text`.
    pub fn open(
        text: &DeploymentManifest,
        settings: PlacementSettings,
        idle: Option<Duration>,
    ) -> Self {
        let models = text.models.iter().map(|model| (model.name.clone(), model.clone()));
        let expectations = PlacementPlanner::open(settings, text);
        Self { idle, models: models.collect(), expectations }
    }

    fn unloads(&self, now: MonotonicTime, fleet: &FleetView, steps: &mut Vec<PlacementStep>) {
        for engine in &fleet.engines {
            for placed in engine.models.iter().filter(|one| one.phase == ModelPhase::Loaded) {
                let idle = now.since(placed.last_used.max(placed.since));
                let (model, version) = (placed.model.clone(), placed.version);
                match placed.draining {
                    Some(since) if placed.in_use == 0 && now.since(since) >= DRAIN_GRACE => {
                        let action = PlacementAction::Unload { model, version };
                        push(steps, engine, action, PlacementReason::Drained);
                    }
                    None if placed.in_use == 0 && self.idle.is_some_and(|limit| idle >= limit) => {
                        let action = PlacementAction::Drain { model, version };
                        push(steps, engine, action, PlacementReason::Idle);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Models that need a load, the one that waited longest first.
    fn wanted<'a>(&self, fleet: &FleetView, demand: &'a DemandView) -> Vec<&'a ModelDemand> {
        let needs = |entry: &&ModelDemand| {
            let placed = || fleet.engines.iter().flat_map(|engine| &engine.models);
            let own = placed().filter(|one| one.model == entry.model);
            let held = own.clone().count() as u32;
            let loading = own.clone().any(|one| one.phase == ModelPhase::Loading);
            let ready = own.filter(|one| one.accepts_work()).count() as u32;
            let max = self.models.get(&entry.model).map_or(0, |spec| spec.max_replicas);
            let slots = fleet.engines.first().map_or(8, |engine| engine.slots);
            let busy = entry.queued > ready * slots;
            held < max
                && !loading
                && ((entry.waiting_count() > 0 && ready == 0) || (busy && ready > 0))
        };
        let asked = |entry: &&ModelDemand| entry.queued + entry.waiting_count() > 0;
        let mut wanted: Vec<&ModelDemand> =
            demand.models.iter().filter(asked).filter(needs).collect();
        wanted.sort_by_key(|entry| entry.waiting.iter().map(|rank| rank.oldest_arrival).min());
        wanted
    }

    /// Loads one model where it fits, or drains the least recently used for it.
    fn load(
        &self,
        fleet: &mut FleetView,
        entry: &ModelDemand,
        budget: &mut u32,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(spec) = self.models.get(&entry.model) else { return };
        let able = fleet.engines.iter().enumerate().filter(|(_, engine)| {
            !engine.leaving && !engine.models.iter().any(|one| one.model == entry.model)
        });
        let fits = able.clone().filter(|(_, engine)| engine.free_mib() >= spec.memory_mib);
        let place = fits.min_by_key(|(index, engine)| (engine.source(&entry.model), *index));
        match place.map(|(index, engine)| (index, engine.source(&entry.model))) {
            Some((_, CheckpointSource::Store)) if *budget == 0 => {}
            Some((index, source)) => {
                *budget -= u32::from(source == CheckpointSource::Store);
                let engine = &mut fleet.engines[index];
                engine.reserved_mib += spec.memory_mib;
                let action = PlacementAction::Load {
                    model: entry.model.clone(),
                    version: spec.version,
                    memory_mib: spec.memory_mib,
                    source,
                };
                let count = entry.waiting_count();
                push(steps, engine, action, PlacementReason::Waiting { count, value_rate: 0.0 });
            }
            None => {
                let about_to_fit = able.clone().any(|(_, engine)| {
                    let goes = engine.models.iter().filter(|one| goes(one));
                    engine.free_mib() + goes.map(PlacedModel::total_mib).sum::<u64>()
                        >= spec.memory_mib
                });
                if !about_to_fit {
                    evict(able.map(|(_, engine)| engine), spec, demand_idle, steps);
                }
            }
        }
    }
}

impl ModelPlacer for OnDemandPlacer {
    fn plan(
        &mut self,
        now: MonotonicTime,
        fleet: &FleetView,
        demand: &DemandView,
    ) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        self.unloads(now, fleet, &mut steps);
        let in_flight = fleet.engines.iter().flat_map(|engine| &engine.models).filter(|one| {
            one.phase == ModelPhase::Loading && one.source == CheckpointSource::Store
        });
        let left = fleet.store_loads.saturating_sub(in_flight.count() as u32);
        let mut budget = left.min(fleet.store_starts);
        let mut copy = fleet.clone();
        for entry in self.wanted(fleet, demand) {
            self.load(&mut copy, entry, &mut budget, &mut steps);
        }
        steps
    }

    fn observe_load(&mut self, model: &ModelName, source: CheckpointSource, taken: Duration) {
        self.expectations.observe_load(model, source, taken);
    }

    fn expected_load(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        self.expectations.expected_load(model, source)
    }
}

/// Drains idle models, least recently used first, on the engine where that costs the least.
fn evict<'a>(
    engines: impl Iterator<Item = &'a EngineView>,
    spec: &ModelSpec,
    may_go: impl Fn(&PlacedModel) -> bool,
    steps: &mut Vec<PlacementStep>,
) {
    let mut best: Option<(MonotonicTime, &EngineView, Vec<&PlacedModel>)> = None;
    for engine in engines {
        let mut idle: Vec<&PlacedModel> = engine.models.iter().filter(|one| may_go(one)).collect();
        idle.sort_by_key(|placed| placed.last_used.max(placed.since));
        let mut room_mib = engine.free_mib();
        let mut victims = Vec::new();
        for placed in idle {
            if room_mib < spec.memory_mib {
                room_mib += placed.total_mib();
                victims.push(placed);
            }
        }
        let newest = victims.last().map_or(MonotonicTime::default(), |one| one.last_used);
        let better = best.as_ref().is_none_or(|(other, ..)| newest < *other);
        if room_mib >= spec.memory_mib && better {
            best = Some((newest, engine, victims));
        }
    }
    let Some((_, engine, victims)) = best else { return };
    for victim in victims {
        let action =
            PlacementAction::Drain { model: victim.model.clone(), version: victim.version };
        push(steps, engine, action, PlacementReason::MemoryFor { model: spec.name.clone() });
    }
}

fn demand_idle(placed: &PlacedModel) -> bool {
    placed.accepts_work() && placed.in_use == 0
}

fn goes(placed: &PlacedModel) -> bool {
    placed.draining.is_some() || placed.phase == ModelPhase::Unloading
}

fn push(
    steps: &mut Vec<PlacementStep>,
    engine: &EngineView,
    action: PlacementAction,
    reason: PlacementReason,
) {
    steps.push(PlacementStep { upstream: engine.upstream.clone(), action, reason });
}
