//! Baseline of placement: models are loaded on demand and unloaded after a fixed idle time.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_manifest::{DeploymentManifest, ModelSpec};
use wheel_policy::{
    CheckpointSource, DemandView, EngineView, FleetView, ModelDemand, PlacedModel, PlacementAction,
    PlacementPlanner, PlacementReason, PlacementSettings, PlacementStep,
};
use wheel_types::{ModelName, ModelPhase, MonotonicTime};

use crate::ModelPlacer;

/// Time that a drained replica stays loaded for requests in transit.
const DRAIN_GRACE: Duration = Duration::from_millis(200);

/// Loads a model when a request waits for it, in order of arrival and from the nearest checkpoint,
/// evicts the least recently used models, and unloads models that were idle for `idle`, if given.
#[derive(Clone, Debug)]
pub struct OnDemandPlacer {
    idle: Option<Duration>,
    models: BTreeMap<ModelName, ModelSpec>,
    /// Records load times and estimates them; it plans nothing.
    estimator: PlacementPlanner,
}

impl OnDemandPlacer {
    /// Creates a placer for the models of `manifest`.
    pub fn open(
        manifest: &DeploymentManifest,
        settings: PlacementSettings,
        idle: Option<Duration>,
    ) -> Self {
        let models = manifest.models.iter().map(|model| (model.name.clone(), model.clone()));
        let estimator = PlacementPlanner::open(settings, manifest);
        Self { idle, models: models.collect(), estimator }
    }

    fn plan_unloads(&self, now: MonotonicTime, fleet: &FleetView, steps: &mut Vec<PlacementStep>) {
        for engine in &fleet.engines {
            for placed in engine.models.iter().filter(|one| one.phase == ModelPhase::Loaded) {
                let idle = now.since(placed.last_used.max(placed.since));
                let (model, version) = (placed.model.clone(), placed.version);
                match placed.draining {
                    Some(since) if placed.in_use == 0 && now.since(since) >= DRAIN_GRACE => {
                        let action = PlacementAction::Unload { model, version };
                        push_step(steps, engine, action, PlacementReason::Drained);
                    }
                    None if placed.in_use == 0 && self.idle.is_some_and(|limit| idle >= limit) => {
                        let action = PlacementAction::Drain { model, version };
                        push_step(steps, engine, action, PlacementReason::Idle);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Models that need a load, the one whose request waited longest first.
    fn missing_models<'a>(
        &self,
        fleet: &FleetView,
        demand: &'a DemandView,
    ) -> Vec<&'a ModelDemand> {
        let needs_load = |entry: &&ModelDemand| {
            let placed = || fleet.engines.iter().flat_map(|engine| &engine.models);
            let own = placed().filter(|one| one.model == entry.model);
            let replicas = own.clone().count() as u32;
            let loading = own.clone().any(|one| one.phase == ModelPhase::Loading);
            let ready = own.filter(|one| one.accepts_work()).count() as u32;
            let max = self.models.get(&entry.model).map_or(0, |spec| spec.max_replicas);
            let slots = fleet.engines.first().map_or(8, |engine| engine.slots);
            let busy = entry.queued > ready * slots;
            replicas < max
                && !loading
                && ((entry.waiting_count() > 0 && ready == 0) || (busy && ready > 0))
        };
        let has_demand = |entry: &&ModelDemand| entry.queued + entry.waiting_count() > 0;
        let mut missing: Vec<&ModelDemand> =
            demand.models.iter().filter(has_demand).filter(needs_load).collect();
        missing.sort_by_key(|entry| entry.waiting.iter().map(|rank| rank.oldest_arrival).min());
        missing
    }

    /// Loads a model on an engine with enough free memory, else drains the least recently used
    /// models for it.
    fn plan_load(
        &self,
        fleet: &mut FleetView,
        entry: &ModelDemand,
        budget: &mut u32,
        steps: &mut Vec<PlacementStep>,
    ) {
        let Some(spec) = self.models.get(&entry.model) else { return };
        let candidates = fleet.engines.iter().enumerate().filter(|(_, engine)| {
            !engine.leaving && !engine.models.iter().any(|one| one.model == entry.model)
        });
        let fits = candidates.clone().filter(|(_, engine)| engine.free_mib() >= spec.memory_mib);
        let target = fits.min_by_key(|(index, engine)| (engine.source(&entry.model), *index));
        match target.map(|(index, engine)| (index, engine.source(&entry.model))) {
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
                push_step(
                    steps,
                    engine,
                    action,
                    PlacementReason::Waiting { count, value_rate: 0.0 },
                );
            }
            None => {
                let will_fit = candidates.clone().any(|(_, engine)| {
                    let leaving = engine.models.iter().filter(|one| is_leaving(one));
                    engine.free_mib() + leaving.map(PlacedModel::total_mib).sum::<u64>()
                        >= spec.memory_mib
                });
                if !will_fit {
                    evict(candidates.map(|(_, engine)| engine), spec, is_idle, steps);
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
        self.plan_unloads(now, fleet, &mut steps);
        let in_flight = fleet.engines.iter().flat_map(|engine| &engine.models).filter(|one| {
            one.phase == ModelPhase::Loading && one.source == CheckpointSource::Store
        });
        let free_loads = fleet.store_loads.saturating_sub(in_flight.count() as u32);
        let mut budget = free_loads.min(fleet.store_starts);
        let mut copy = fleet.clone();
        for entry in self.missing_models(fleet, demand) {
            self.plan_load(&mut copy, entry, &mut budget, &mut steps);
        }
        steps
    }

    fn observe_load(&mut self, model: &ModelName, source: CheckpointSource, taken: Duration) {
        self.estimator.observe_load(model, source, taken);
    }

    fn expected_load(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        self.estimator.expected_load(model, source)
    }
}

/// Drains idle models, least recently used first, on the engine where the last used one of them was
/// used the longest ago.
fn evict<'a>(
    engines: impl Iterator<Item = &'a EngineView>,
    spec: &ModelSpec,
    is_evictable: impl Fn(&PlacedModel) -> bool,
    steps: &mut Vec<PlacementStep>,
) {
    let mut best: Option<(MonotonicTime, &EngineView, Vec<&PlacedModel>)> = None;
    for engine in engines {
        let mut idle: Vec<&PlacedModel> =
            engine.models.iter().filter(|one| is_evictable(one)).collect();
        idle.sort_by_key(|placed| placed.last_used.max(placed.since));
        let mut free_mib = engine.free_mib();
        let mut victims = Vec::new();
        for placed in idle {
            if free_mib < spec.memory_mib {
                free_mib += placed.total_mib();
                victims.push(placed);
            }
        }
        let newest = victims.last().map_or(MonotonicTime::default(), |one| one.last_used);
        let better = best.as_ref().is_none_or(|(other, ..)| newest < *other);
        if free_mib >= spec.memory_mib && better {
            best = Some((newest, engine, victims));
        }
    }
    let Some((_, engine, victims)) = best else { return };
    for victim in victims {
        let action =
            PlacementAction::Drain { model: victim.model.clone(), version: victim.version };
        push_step(steps, engine, action, PlacementReason::MemoryFor { model: spec.name.clone() });
    }
}

fn is_idle(placed: &PlacedModel) -> bool {
    placed.accepts_work() && placed.in_use == 0
}

fn is_leaving(placed: &PlacedModel) -> bool {
    placed.draining.is_some() || placed.phase == ModelPhase::Unloading
}

fn push_step(
    steps: &mut Vec<PlacementStep>,
    engine: &EngineView,
    action: PlacementAction,
    reason: PlacementReason,
) {
    steps.push(PlacementStep { upstream: engine.upstream.clone(), action, reason });
}
