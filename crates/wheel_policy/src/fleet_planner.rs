//! What the engines of a service should hold next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{EngineId, EngineProfile, ModelProfile};
use wheel_types::{ModelChange, MonotonicTime};

use crate::adapter_steps::plan_adapters;
use crate::model_demand::{ModelDemand, SPREAD_RATE};
use crate::{FleetPlan, PlanEngine, PlanInput, PlanStep};

/// Share of an engine's slots that a model's requests may fill before another replica is needed.
const TARGET_FILL: f64 = 0.4;
/// How much more a model must be worth than what it displaces, so that two don't displace each other.
const MARGIN: f64 = 1.3;
/// The least gain for which anything is displaced: about one request a minute.
const MIN_GAIN: f64 = 0.15;
/// Cost of a second of load time, in requests: others that need the store or the engine wait for it.
const LOAD_COST_PER_S: f64 = 0.1;
/// How long freed room is kept for the model that it was freed for.
const INTENT_LIFE: Duration = Duration::from_secs(4);

/// What a model is worth that nobody has asked for yet: less than any that was asked for lately, more than
/// what stands twice or has a copy on the disk and isn't asked for.
const PREFETCH_GAIN: f64 = 0.14;
/// Loss of a model that nobody asks for and that has a copy on its engine's disk.
const IDLE_LOSS: f64 = 0.05;
/// The same for a further copy of a model that nobody has asked for yet: copies show what used to be busy.
const SPARE_COPY_LOSS: f64 = 0.2;
/// Loss of a copy of a model that can be had only from the store afterwards.
const LAST_COPY_LOSS: f64 = 0.5;
/// Expected time of an unload: runs of the model end first.
const UNLOAD_TIME: Duration = Duration::from_millis(30);
/// Time until an engine is free to load a model from its memory or disk.
const TURN_TIME: Duration = Duration::from_millis(1_000);

/// Decides by the demand of a service what its engines load and unload, one order for each engine at a time.
///
/// First copies of models that are asked for go before further copies of busy ones, unless these are over
/// full; what is displaced is what is asked for least.
#[derive(Clone, Debug, Default)]
pub struct FleetPlanner {
    /// Room that is being freed for a model.
    intents: BTreeMap<EngineId, (Arc<str>, MonotonicTime)>,
}

/// A way to load a model.
struct LoadWay {
    place: usize,
    /// The model that makes way first.
    victim: Option<Arc<str>>,
    takes: Duration,
    from_store: bool,
    cost: f64,
}

impl FleetPlanner {
    /// What to do now, the most useful first.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> FleetPlan {
        self.drop_intents(input);
        let mut demand = self.model_demand(input);
        let mut taken = BTreeSet::new();
        let mut store_room = input.store_room;
        let mut steps = self.use_freed_room(input, &mut taken, &mut store_room);
        // Room at the store is promised to models for which room at an engine is being made.
        store_room = store_room.saturating_sub(self.store_intents(input));
        steps.extend(plan_adapters(input, &mut taken));
        let mut backlog = Vec::new();
        let mut wanted: Vec<(f64, Arc<str>)> =
            demand.iter().map(|(model, demand)| (demand.gain(), Arc::clone(model))).collect();
        wanted.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (gain, model) in wanted {
            if gain < MIN_GAIN {
                break;
            }
            let way = self.find_way(input, &model, &demand, &taken, gain, store_room);
            let Some(way) = way else {
                if demand.get(&model).is_some_and(|found| found.possible == 0) {
                    let eta = backlog_eta(input, &model, backlog.len(), store_room);
                    backlog.push((model, eta));
                }
                continue;
            };
            let engine = input.engines[way.place].id.clone();
            taken.insert(way.place);
            let (change, takes, from_store) = match way.victim {
                Some(victim) => {
                    let until = input.now + INTENT_LIFE;
                    self.intents.insert(engine.clone(), (Arc::clone(&model), until));
                    store_room -= usize::from(way.from_store);
                    if let Some(displaced) = demand.get_mut(&victim) {
                        displaced.usable = displaced.usable.saturating_sub(1);
                    }
                    (ModelChange::UnloadModel(victim), UNLOAD_TIME, false)
                }
                None => {
                    store_room -= usize::from(way.from_store);
                    (ModelChange::LoadModel(Arc::clone(&model)), way.takes, way.from_store)
                }
            };
            steps.push(PlanStep { engine, change, takes, from_store, gain });
        }
        if let Some(step) = self.plan_prefetch(input, &demand, &taken, store_room) {
            steps.push(step);
        }
        FleetPlan { steps, backlog }
    }

    /// Loads the models for which room was made.
    fn use_freed_room(
        &mut self,
        input: &PlanInput<'_>,
        taken: &mut BTreeSet<usize>,
        store_room: &mut usize,
    ) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        for (place, engine) in input.engines.iter().enumerate() {
            let Some((model, _)) = self.intents.get(&engine.id) else { continue };
            let Some(profile) = input.profile.model(model) else { continue };
            let (takes, from_store) = load_time(profile, engine);
            let has_room = free_mb(input.profile, engine) >= profile.weights_mb;
            if !engine.is_free || !has_room || (from_store && *store_room == 0) {
                continue;
            }
            *store_room -= usize::from(from_store);
            taken.insert(place);
            let change = ModelChange::LoadModel(Arc::clone(model));
            steps.push(PlanStep {
                engine: engine.id.clone(),
                change,
                takes,
                from_store,
                gain: 0.0,
            });
            self.intents.remove(&engine.id);
        }
        steps
    }

    /// Models that get their room from an unload and will then be loaded from the store.
    fn store_intents(&self, input: &PlanInput<'_>) -> usize {
        let needs_store = |engine: &&PlanEngine| {
            let intended = self.intents.get(&engine.id);
            intended.is_some_and(|(model, _)| !copies(engine, model))
        };
        input.engines.iter().filter(needs_store).count()
    }

    /// A model that stands nowhere, not even on a disk, is brought from the store while the store has nothing
    /// better to do: when it is asked for, a load from the disk takes a sixth of the time. The last place at
    /// the store stays free for what callers wait for.
    fn plan_prefetch(
        &mut self,
        input: &PlanInput<'_>,
        demand: &BTreeMap<Arc<str>, ModelDemand>,
        taken: &BTreeSet<usize>,
        store_room: usize,
    ) -> Option<PlanStep> {
        let is_asked = input.demand.values().any(|level| level.rate > 0.0);
        let all_read = input.engines.iter().all(|engine| engine.is_read || !engine.takes_work);
        if store_room <= usize::from(is_asked) || !all_read {
            return None;
        }
        let is_nowhere = |model: &&Arc<str>| {
            input.engines.iter().all(|engine| {
                let copies = engine.possible.iter().chain(&engine.in_memory).chain(&engine.on_disk);
                !copies.into_iter().any(|held| held == *model)
            }) && !self.intents.values().any(|(intended, _)| intended == *model)
        };
        let mut models = input.profile.models.iter().map(|model| &model.name);
        let model = models.find(is_nowhere).cloned()?;
        let way = self.find_way(input, &model, demand, taken, PREFETCH_GAIN, store_room)?;
        let engine = input.engines[way.place].id.clone();
        let (change, takes, from_store) = match way.victim {
            Some(victim) => {
                let until = input.now + INTENT_LIFE;
                self.intents.insert(engine.clone(), (Arc::clone(&model), until));
                (ModelChange::UnloadModel(victim), UNLOAD_TIME, false)
            }
            None => (ModelChange::LoadModel(model), way.takes, way.from_store),
        };
        Some(PlanStep { engine, change, takes, from_store, gain: PREFETCH_GAIN })
    }

    /// Forgets intents that are over: the model is there, or the room was long in coming.
    fn drop_intents(&mut self, input: &PlanInput<'_>) {
        self.intents.retain(|id, (model, until)| {
            let engine = input.engines.iter().find(|engine| engine.id == *id);
            input.now < *until && engine.is_some_and(|engine| !engine.possible.contains(model))
        });
    }

    fn model_demand(&self, input: &PlanInput<'_>) -> BTreeMap<Arc<str>, ModelDemand> {
        let mut demand: BTreeMap<Arc<str>, ModelDemand> = BTreeMap::new();
        for (key, level) in input.demand {
            let model = demand.entry(Arc::clone(&key.model)).or_default();
            model.rate += level.rate;
            model.miss_rate += level.miss_rate;
            model.waiting += level.waiting;
        }
        demand.retain(|model, _| input.profile.model(model).is_some());
        for engine in input.engines.iter().filter(|engine| engine.takes_work) {
            let intent = self.intents.get(&engine.id).map(|(model, _)| model);
            for model in engine.possible.iter().chain(intent) {
                demand.entry(Arc::clone(model)).or_default().possible += 1;
            }
            for model in &engine.usable {
                let found = demand.entry(Arc::clone(model)).or_default();
                found.usable += 1;
                *found.centres.entry(Arc::clone(&engine.centre)).or_default() += 1;
            }
        }
        let able = input.engines.iter().filter(|engine| engine.takes_work);
        let centres: BTreeSet<&Arc<str>> = able.map(|engine| &engine.centre).collect();
        for (model, found) in &mut demand {
            let covered: BTreeSet<&Arc<str>> = self.covered_centres(input, model);
            found.bare_centres = centres.len().saturating_sub(covered.len());
        }
        let room = f64::from(input.profile.slots.max(1)) * TARGET_FILL;
        for (model, active) in active_by_model(input, &demand) {
            if let Some(found) = demand.get_mut(&model) {
                found.needed = (active / room).ceil() as usize;
            }
        }
        demand
    }

    /// Data centres that have a copy of a model, or get one.
    fn covered_centres<'a>(
        &self,
        input: &'a PlanInput<'_>,
        model: &Arc<str>,
    ) -> BTreeSet<&'a Arc<str>> {
        let holds = |engine: &&PlanEngine| {
            let intended =
                self.intents.get(&engine.id).is_some_and(|(intended, _)| intended == model);
            engine.takes_work && (intended || engine.possible.contains(model))
        };
        input.engines.iter().filter(holds).map(|engine| &engine.centre).collect()
    }

    fn find_way(
        &self,
        input: &PlanInput<'_>,
        model: &Arc<str>,
        demand: &BTreeMap<Arc<str>, ModelDemand>,
        taken: &BTreeSet<usize>,
        gain: f64,
        store_room: usize,
    ) -> Option<LoadWay> {
        let profile = input.profile.model(model)?;
        let holding = self.covered_centres(input, model);
        let only_bare = demand
            .get(model)
            .is_some_and(|found| found.possible >= found.needed.max(2) && found.wants_spread());
        // An engine with a copy is worth a short wait: the store takes many times as long.
        let has_copy =
            input.engines.iter().any(|engine| engine.takes_work && copies(engine, model));
        let found = demand.get(model);
        // A further copy of a busy model is worth it where no disk in reach has one.
        let is_busy = found.is_some_and(|found| found.possible > 0 && found.rate >= SPREAD_RATE);
        let mut best: Option<LoadWay> = None;
        for (place, engine) in input.engines.iter().enumerate() {
            let is_able = engine.is_free && engine.takes_work && !taken.contains(&place);
            let is_kept = self.intents.contains_key(&engine.id);
            let is_covered = only_bare && holding.contains(&engine.centre);
            if !is_able || is_kept || is_covered || engine.possible.contains(model) {
                continue;
            }
            let (takes, from_store) = load_time(profile, engine);
            if from_store && (store_room == 0 || (has_copy && !is_busy)) {
                continue;
            }
            let free_mb = free_mb(input.profile, engine);
            let victim = match free_mb >= profile.weights_mb {
                true => None,
                false => {
                    let found = find_victim(input, engine, profile.weights_mb - free_mb, demand);
                    let Some((victim, loss)) = found else { continue };
                    if gain < loss * MARGIN {
                        continue;
                    }
                    Some((victim, loss))
                }
            };
            let loss = victim.as_ref().map_or(0.0, |(_, loss)| *loss);
            let crowd = f64::from(engine.active) / f64::from(input.profile.slots.max(1));
            let same_centre = if holding.contains(&engine.centre) { 0.3 } else { 0.0 };
            let time_cost = takes.as_secs_f64() * LOAD_COST_PER_S;
            let cost = loss + time_cost + same_centre + 0.2 * crowd;
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                let victim = victim.map(|(victim, _)| victim);
                best = Some(LoadWay { place, victim, takes, from_store, cost });
            }
        }
        best
    }
}

/// Requests under way for each model: what is under way at an engine is shared out by the rates of the models
/// that it holds, each spread over its copies. An engine that is over full shows which of its models need
/// more copies, however long their requests take.
fn active_by_model(
    input: &PlanInput<'_>,
    demand: &BTreeMap<Arc<str>, ModelDemand>,
) -> BTreeMap<Arc<str>, f64> {
    let share = |model: &Arc<str>| {
        let found = demand.get(model);
        found.map_or(0.0, |found| found.rate / found.usable.max(1) as f64)
    };
    let mut active = BTreeMap::new();
    for engine in input.engines.iter().filter(|engine| engine.takes_work) {
        let all: f64 = engine.usable.iter().map(&share).sum();
        for model in engine.usable.iter().filter(|_| all > 0.0) {
            let part = f64::from(engine.active) * share(model) / all;
            *active.entry(Arc::clone(model)).or_insert(0.0) += part;
        }
    }
    active
}

/// Whether an engine has a copy of a model in its memory or on its disk.
fn copies(engine: &PlanEngine, model: &str) -> bool {
    engine.on_disk.iter().chain(&engine.in_memory).any(|held| &**held == model)
}

/// How long an engine loads a model, and whether that takes the weight store.
fn load_time(profile: &ModelProfile, engine: &PlanEngine) -> (Duration, bool) {
    match engine {
        engine if engine.in_memory.contains(&profile.name) => (profile.warm_load, false),
        engine if engine.on_disk.contains(&profile.name) => (profile.disk_load, false),
        _ => (profile.load, true),
    }
}

/// When a model that has to wait should be there: after those before it in the store's queue, or after a turn
/// of an engine that has a copy.
fn backlog_eta(
    input: &PlanInput<'_>,
    model: &Arc<str>,
    before: usize,
    store_room: usize,
) -> Duration {
    let Some(profile) = input.profile.model(model) else { return Duration::MAX };
    match input.engines.iter().any(|engine| engine.takes_work && copies(engine, model)) {
        true => profile.disk_load + TURN_TIME,
        false if store_room > 0 => profile.load + TURN_TIME,
        false => {
            let turns = (before + 1) as f64 / input.store_limit.max(1) as f64;
            profile.load.mul_f64(1.0 + turns)
        }
    }
}

/// Megabytes that are certainly free.
pub(crate) fn free_mb(profile: &EngineProfile, engine: &PlanEngine) -> f64 {
    let size =
        |model: &str| profile.model(model).map_or(profile.weights_mb, |found| found.weights_mb);
    let adapter = |model: &str| profile.model(model).map_or(0.0, |found| found.adapter_mb);
    let models: f64 = engine.possible.iter().map(|model| size(model)).sum();
    let adapters: f64 = engine.adapters.iter().map(|(model, _)| adapter(model)).sum();
    profile.weights_mb - models - adapters
}

/// The model whose loss costs the least among those that make room enough by themselves.
fn find_victim(
    input: &PlanInput<'_>,
    engine: &PlanEngine,
    missing_mb: f64,
    demand: &BTreeMap<Arc<str>, ModelDemand>,
) -> Option<(Arc<str>, f64)> {
    let frees = |model: &Arc<str>| {
        let profile = input.profile.model(model);
        let adapters = engine.adapters.iter().filter(|(held, _)| held == model).count() as f64;
        profile.is_some_and(|found| found.weights_mb + adapters * found.adapter_mb >= missing_mb)
    };
    let loss = |model: &Arc<str>| {
        let Some(found) = demand.get(model) else { return 0.0 };
        let idle = match found.usable {
            0 | 1 if engine.on_disk.contains(model) => IDLE_LOSS,
            0 | 1 => LAST_COPY_LOSS,
            _ if found.rate > 0.0 => 0.0,
            _ => SPARE_COPY_LOSS,
        };
        found.loss() + found.centre_loss(&engine.centre) + idle
    };
    let candidates =
        engine.usable.iter().filter(|model| !engine.fresh.contains(model) && frees(model));
    let least = candidates.min_by(|left, right| loss(left).total_cmp(&loss(right)))?;
    Some((Arc::clone(least), loss(least)))
}
