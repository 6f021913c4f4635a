//! Plans model and adapter loads and unloads for the engines of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{EngineId, EngineProfile, ModelProfile};
use wheel_types::{ModelChange, MonotonicTime};

use crate::adapter_steps::plan_adapters;
use crate::replica_value::{ReplicaValue, SPREAD_RATE};
use crate::return_cost::ReturnCosts;
use crate::{FleetPlan, PlanEngine, PlanInput, PlanStep};

/// Share of an engine's slots that a model's requests may fill before another replica is needed.
const TARGET_FILL: f64 = 0.4;
/// How much more a model must be worth than the one it displaces, so that two models don't keep
/// displacing each other.
pub(crate) const DISPLACE_MARGIN: f64 = 1.3;
/// Minimum gain for which a model is displaced: about one request a minute.
pub(crate) const MIN_GAIN: f64 = 0.15;
/// Cost of a second of load time, in requests: other loads wait for the store or the engine
/// meanwhile.
pub(crate) const LOAD_COST_PER_S: f64 = 0.1;
/// How long freed memory stays reserved for the model that it was freed for.
pub(crate) const RESERVATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Gain of loading a model that nobody has requested yet: less than that of any recently requested
/// model, more than the loss of an unrequested model with a second replica or a checkpoint on the
/// disk.
pub(crate) const PREFETCH_GAIN: f64 = 0.14;
/// Loss of unloading an unrequested model whose checkpoint is on its engine's disk.
pub(crate) const IDLE_LOSS: f64 = 0.05;
/// Loss of unloading a further replica of a model that nobody has requested yet: several replicas
/// show that the model used to be busy.
pub(crate) const SPARE_REPLICA_LOSS: f64 = 0.2;
/// Loss of unloading a replica of a model that afterwards can only be loaded from the store.
pub(crate) const LAST_REPLICA_LOSS: f64 = 0.5;
/// Cost of loading a model on an engine that takes only a limited number of requests, compared with
/// another one.
pub(crate) const LIMITED_COST: f64 = 5.0;
/// Expected duration of an unload: running requests of the model end first.
pub(crate) const UNLOAD_TIME: Duration = Duration::from_millis(30);
/// Expected time until an engine is free to load a model from its memory or disk.
pub(crate) const ENGINE_WAIT: Duration = Duration::from_millis(1_000);

/// Decides from the demand of a service what its engines load and unload, with at most one order
/// for each engine at a time.
///
/// First replicas of requested models go before further replicas of busy ones, unless these are
/// overloaded. The least requested models are displaced.
#[derive(Clone, Debug, Default)]
pub struct FleetPlanner {
    /// Engines on which memory is being freed for a model, with the model and the time until which
    /// the reservation holds. It lasts until the model is loaded: an engine refuses the load while
    /// its requests hold up the unload before it.
    pub(crate) reservations: BTreeMap<EngineId, (Arc<str>, MonotonicTime)>,
}

/// One engine on which a model can be loaded, with the cost of doing so.
pub(crate) struct LoadOption {
    pub(crate) index: usize,
    /// The model that has to be unloaded first.
    pub(crate) victim: Option<Arc<str>>,
    pub(crate) expected_duration: Duration,
    pub(crate) from_store: bool,
    pub(crate) cost: f64,
}

impl FleetPlanner {
    /// Plans the next steps, the most useful first.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> FleetPlan {
        if input.controls_load {
            return self.plan_by_time(input);
        }
        self.expire_reservations(input);
        let mut values = self.replica_values(input);
        let mut taken = BTreeSet::new();
        let mut free_store_loads = input.free_store_loads;
        let mut steps = self.load_reserved(input, &mut taken, &mut free_store_loads);
        // Loads from the store for which memory is being freed count as started.
        free_store_loads =
            free_store_loads.saturating_sub(self.reserved_store_loads(input, &steps));
        steps.extend(plan_adapters(input, &mut taken));
        let mut backlog = Vec::new();
        let mut waiting_for_store = 0;
        for WantedModel { gain, model, needs_store } in wanted_models(input, &values) {
            let option =
                self.find_option(input, &model, &values, gain, (&taken, free_store_loads), None);
            let Some(option) = option else {
                if values.get(&model).is_some_and(|value| value.possible == 0) {
                    let eta = backlog_eta(input, &model, waiting_for_store, free_store_loads);
                    waiting_for_store += usize::from(needs_store);
                    backlog.push((model, eta));
                }
                continue;
            };
            taken.insert(option.index);
            free_store_loads -= usize::from(option.from_store);
            steps.push(self.option_step(input, &mut values, model, option, gain));
        }
        if let Some(step) = self.plan_prefetch(input, &values, &taken, free_store_loads, &steps) {
            steps.push(step);
        }
        backlog.extend(self.reserved_loads(input, &steps));
        FleetPlan { steps, backlog }
    }

    /// The first order of a load: the load itself, or an unload that frees memory for it.
    pub(crate) fn option_step(
        &mut self,
        input: &PlanInput<'_>,
        values: &mut BTreeMap<Arc<str>, ReplicaValue>,
        model: Arc<str>,
        option: LoadOption,
        gain: f64,
    ) -> PlanStep {
        let engine = input.engines[option.index].id.clone();
        let (change, expected_duration, from_store) = match option.victim {
            Some(victim) => {
                let until = input.now + RESERVATION_TIMEOUT;
                self.reservations.insert(engine.clone(), (model, until));
                if let Some(displaced) = values.get_mut(&victim) {
                    displaced.usable = displaced.usable.saturating_sub(1);
                }
                (ModelChange::UnloadModel(victim), UNLOAD_TIME, false)
            }
            None => (ModelChange::LoadModel(model), option.expected_duration, option.from_store),
        };
        PlanStep { engine, change, expected_duration, from_store, gain }
    }

    /// The models for which memory is being freed, with the expected time until they are loaded.
    fn reserved_loads(
        &self,
        input: &PlanInput<'_>,
        steps: &[PlanStep],
    ) -> Vec<(Arc<str>, Duration)> {
        let load = |engine: &PlanEngine| {
            let model = self.awaited_model(engine, steps)?;
            let (load, _) = load_time(input.profile.model(model)?, engine);
            Some((Arc::clone(model), UNLOAD_TIME + load))
        };
        input.engines.iter().filter_map(load).collect()
    }

    /// The model for which memory is being freed on an engine, unless one of `steps` loads it.
    pub(crate) fn awaited_model(
        &self,
        engine: &PlanEngine,
        steps: &[PlanStep],
    ) -> Option<&Arc<str>> {
        let (model, _) = self.reservations.get(&engine.id)?;
        let loads = |step: &PlanStep| {
            step.engine == engine.id && matches!(step.change, ModelChange::LoadModel(_))
        };
        let is_loading = engine.possible.contains(model) || steps.iter().any(loads);
        (!is_loading).then_some(model)
    }

    /// Loads the models for which memory was freed.
    pub(crate) fn load_reserved(
        &mut self,
        input: &PlanInput<'_>,
        taken: &mut BTreeSet<usize>,
        free_store_loads: &mut usize,
    ) -> Vec<PlanStep> {
        let mut steps = Vec::new();
        for (index, engine) in input.engines.iter().enumerate() {
            let Some(model) = self.awaited_model(engine, &[]) else { continue };
            let Some(profile) = input.profile.model(model) else { continue };
            let (expected_duration, from_store) = load_time(profile, engine);
            let has_memory = free_mb(input.profile, engine) >= profile.weights_mb;
            if !engine.accepts_orders || !has_memory || (from_store && *free_store_loads == 0) {
                continue;
            }
            *free_store_loads -= usize::from(from_store);
            taken.insert(index);
            let change = ModelChange::LoadModel(Arc::clone(model));
            steps.push(PlanStep {
                engine: engine.id.clone(),
                change,
                expected_duration,
                from_store,
                gain: 0.0,
            });
        }
        steps
    }

    /// Number of reserved loads that will come from the store once their memory is free.
    fn reserved_store_loads(&self, input: &PlanInput<'_>, steps: &[PlanStep]) -> usize {
        let needs_store = |engine: &&PlanEngine| {
            let reserved = self.awaited_model(engine, steps);
            reserved.is_some_and(|model| !has_checkpoint(engine, model))
        };
        input.engines.iter().filter(needs_store).count()
    }

    /// Loads a model that no engine holds, not even on its disk, while the store is otherwise idle:
    /// when it is requested later, a load from the disk takes a sixth of the time. While there is
    /// any demand, the last slot of the store stays free for loads that callers wait for.
    pub(crate) fn plan_prefetch(
        &mut self,
        input: &PlanInput<'_>,
        values: &BTreeMap<Arc<str>, ReplicaValue>,
        taken: &BTreeSet<usize>,
        free_store_loads: usize,
        steps: &[PlanStep],
    ) -> Option<PlanStep> {
        let has_demand = input.demand.values().any(|level| level.rate > 0.0);
        let all_known =
            input.engines.iter().all(|engine| engine.contents_known || !engine.accepts_work);
        if free_store_loads <= usize::from(has_demand) || !all_known {
            return None;
        }
        let is_missing = |model: &&Arc<str>| {
            input.engines.iter().all(|engine| {
                let held = engine.possible.iter().chain(&engine.in_memory).chain(&engine.on_disk);
                !held.into_iter().any(|held| held == *model)
            }) && !self.reservations.values().any(|(reserved, _)| reserved == *model)
                && !steps
                    .iter()
                    .any(|step| step.change == ModelChange::LoadModel(Arc::clone(model)))
        };
        let mut models = input.profile.models.iter().map(|model| &model.name);
        let model = models.find(is_missing).cloned()?;
        let option = self.find_option(
            input,
            &model,
            values,
            PREFETCH_GAIN,
            (taken, free_store_loads),
            None,
        )?;
        let engine = input.engines[option.index].id.clone();
        let (change, expected_duration, from_store) = match option.victim {
            Some(victim) => {
                let until = input.now + RESERVATION_TIMEOUT;
                self.reservations.insert(engine.clone(), (Arc::clone(&model), until));
                (ModelChange::UnloadModel(victim), UNLOAD_TIME, false)
            }
            None => (ModelChange::LoadModel(model), option.expected_duration, option.from_store),
        };
        Some(PlanStep { engine, change, expected_duration, from_store, gain: PREFETCH_GAIN })
    }

    /// Drops reservations whose model is loaded, and those that have timed out.
    pub(crate) fn expire_reservations(&mut self, input: &PlanInput<'_>) {
        self.reservations.retain(|id, (model, until)| {
            let engine = input.engines.iter().find(|engine| engine.id == *id);
            input.now < *until && engine.is_some_and(|engine| !engine.usable.contains(model))
        });
    }

    pub(crate) fn replica_values(&self, input: &PlanInput<'_>) -> BTreeMap<Arc<str>, ReplicaValue> {
        let mut values: BTreeMap<Arc<str>, ReplicaValue> = BTreeMap::new();
        for (key, level) in input.demand {
            let model = values.entry(Arc::clone(&key.model)).or_default();
            model.rate += level.rate;
            model.miss_rate += level.miss_rate;
            model.waiting += level.waiting;
            model.recent_rate += level.recent_rate;
        }
        values.retain(|model, _| input.profile.model(model).is_some());
        for engine in input.engines.iter().filter(|engine| engine.accepts_work) {
            let reserved = self.awaited_model(engine, &[]);
            // Replicas on an engine with a limit serve few requests, so that they don't count.
            let has_room = usize::from(!engine.is_limited);
            for model in engine.possible.iter().chain(reserved) {
                values.entry(Arc::clone(model)).or_default().possible += has_room;
            }
            for model in engine.usable.iter().filter(|_| !engine.is_limited) {
                let value = values.entry(Arc::clone(model)).or_default();
                value.usable += 1;
                *value.centres.entry(Arc::clone(&engine.centre)).or_default() += 1;
            }
        }
        let able = input.engines.iter().filter(|engine| engine.accepts_work);
        let centres: BTreeSet<&Arc<str>> = able.map(|engine| &engine.centre).collect();
        for (model, value) in &mut values {
            let covered: BTreeSet<&Arc<str>> = self.covered_centres(input, model);
            value.uncovered_centres = centres.len().saturating_sub(covered.len());
        }
        let target_active = f64::from(input.profile.slots.max(1)) * TARGET_FILL;
        for (model, active) in active_by_model(input, &values) {
            if let Some(value) = values.get_mut(&model) {
                let growth = if input.controls_load { value.growth() } else { 1.0 };
                value.needed = (active * growth / target_active).ceil() as usize;
            }
        }
        values
    }

    /// Data centres that have a replica of a model, or will get one.
    fn covered_centres<'a>(
        &self,
        input: &'a PlanInput<'_>,
        model: &Arc<str>,
    ) -> BTreeSet<&'a Arc<str>> {
        let holds = |engine: &&PlanEngine| {
            let reserved =
                self.reservations.get(&engine.id).is_some_and(|(reserved, _)| reserved == model);
            let has_room = engine.accepts_work && !engine.is_limited;
            has_room && (reserved || engine.possible.contains(model))
        };
        input.engines.iter().filter(holds).map(|engine| &engine.centre).collect()
    }

    pub(crate) fn find_option(
        &self,
        input: &PlanInput<'_>,
        model: &Arc<str>,
        values: &BTreeMap<Arc<str>, ReplicaValue>,
        gain: f64,
        (taken, free_store_loads): (&BTreeSet<usize>, usize),
        costs: Option<&ReturnCosts<'_>>,
    ) -> Option<LoadOption> {
        let profile = input.profile.model(model)?;
        let holding = self.covered_centres(input, model);
        let only_uncovered = values
            .get(model)
            .is_some_and(|value| value.possible >= value.needed.max(2) && value.wants_spread());
        // Waiting briefly for an engine with a checkpoint pays: the store takes many times as long.
        let has_room = |engine: &PlanEngine| engine.accepts_work && !engine.is_limited;
        let any_checkpoint =
            input.engines.iter().any(|engine| has_room(engine) && has_checkpoint(engine, model));
        let value = values.get(model);
        // A further replica of a busy model is loaded from the store even where another engine has
        // a checkpoint.
        let is_busy = value.is_some_and(|value| value.possible > 0 && value.rate >= SPREAD_RATE);
        let mut best: Option<LoadOption> = None;
        for (index, engine) in input.engines.iter().enumerate() {
            let is_able = engine.accepts_orders && engine.accepts_work && !taken.contains(&index);
            let is_reserved = self.reservations.contains_key(&engine.id);
            let is_covered = only_uncovered && holding.contains(&engine.centre);
            if !is_able || is_reserved || is_covered || engine.possible.contains(model) {
                continue;
            }
            let (expected_duration, from_store) = load_time(profile, engine);
            if from_store && (free_store_loads == 0 || (any_checkpoint && !is_busy)) {
                continue;
            }
            let free_mb = free_mb(input.profile, engine);
            let victim = match free_mb >= profile.weights_mb {
                true => None,
                false => {
                    let missing_mb = profile.weights_mb - free_mb;
                    let found = match costs {
                        Some(costs) => {
                            costs.find_victim(index, missing_mb, expected_duration, values)
                        }
                        None => find_victim(input, engine, missing_mb, values),
                    };
                    let Some((victim, loss)) = found else { continue };
                    if gain < loss * DISPLACE_MARGIN {
                        continue;
                    }
                    Some((victim, loss))
                }
            };
            let loss = victim.as_ref().map_or(0.0, |(_, loss)| *loss);
            let fill = f64::from(engine.active) / f64::from(input.profile.slots.max(1));
            let same_centre = if holding.contains(&engine.centre) { 0.3 } else { 0.0 };
            let time_cost = expected_duration.as_secs_f64() * LOAD_COST_PER_S;
            let limited = if engine.is_limited { LIMITED_COST } else { 0.0 };
            let blocking = costs.map_or(0.0, |costs| costs.blocking_loss(index, expected_duration));
            // Another load that requests wait for may need the store meanwhile.
            let store = if from_store { time_cost } else { 0.0 };
            if costs.is_some() && gain < (loss + blocking) * DISPLACE_MARGIN + store {
                continue;
            }
            let cost = loss + time_cost + same_centre + limited + 0.2 * fill + blocking;
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                let victim = victim.map(|(victim, _)| victim);
                best = Some(LoadOption { index, victim, expected_duration, from_store, cost });
            }
        }
        best
    }
}

/// A model of which another replica is wanted.
pub(crate) struct WantedModel {
    pub(crate) gain: f64,
    pub(crate) model: Arc<str>,
    /// Whether it can only be loaded from the store.
    pub(crate) needs_store: bool,
}

/// The models of which another replica is worth a load. Those that only the store can provide come
/// first: it loads few at once, and a further replica of a busy model would keep them from being
/// served at all for as long as the model stays busy. The others follow by their gain.
pub(crate) fn wanted_models(
    input: &PlanInput<'_>,
    values: &BTreeMap<Arc<str>, ReplicaValue>,
) -> Vec<WantedModel> {
    let able = |engine: &&PlanEngine| engine.accepts_work;
    let checkpoints: BTreeSet<&Arc<str>> = input
        .engines
        .iter()
        .filter(able)
        .flat_map(|engine| engine.on_disk.iter().chain(&engine.in_memory))
        .collect();
    let wanted = values.iter().map(|(model, value)| WantedModel {
        gain: value.gain(),
        model: Arc::clone(model),
        needs_store: value.possible == 0 && !checkpoints.contains(model),
    });
    let mut wanted: Vec<WantedModel> = wanted.filter(|wanted| wanted.gain >= MIN_GAIN).collect();
    wanted.sort_by(|left, right| {
        let by_gain = right.gain.total_cmp(&left.gain);
        right.needs_store.cmp(&left.needs_store).then(by_gain)
    });
    wanted
}

/// Running requests of each model, estimated: those of an engine are divided among its models in
/// proportion to the request rate of each replica. An overloaded engine thus shows which of its
/// models need more replicas, however long their requests take.
fn active_by_model(
    input: &PlanInput<'_>,
    values: &BTreeMap<Arc<str>, ReplicaValue>,
) -> BTreeMap<Arc<str>, f64> {
    let share = |model: &Arc<str>| {
        let value = values.get(model);
        value.map_or(0.0, |value| value.rate / value.usable.max(1) as f64)
    };
    let mut active = BTreeMap::new();
    for engine in input.engines.iter().filter(|engine| engine.accepts_work) {
        let all: f64 = engine.usable.iter().map(&share).sum();
        for model in engine.usable.iter().filter(|_| all > 0.0) {
            let part = f64::from(engine.active) * share(model) / all;
            *active.entry(Arc::clone(model)).or_insert(0.0) += part;
        }
    }
    active
}

/// Whether an engine has a checkpoint of a model in its memory or on its disk.
pub(crate) fn has_checkpoint(engine: &PlanEngine, model: &str) -> bool {
    engine.on_disk.iter().chain(&engine.in_memory).any(|held| &**held == model)
}

/// Expected duration of a load, and whether it comes from the weight store.
pub(crate) fn load_time(profile: &ModelProfile, engine: &PlanEngine) -> (Duration, bool) {
    match engine {
        engine if engine.in_memory.contains(&profile.name) => (profile.memory_load_time, false),
        engine if engine.on_disk.contains(&profile.name) => (profile.disk_load_time, false),
        _ => (profile.store_load_time, true),
    }
}

/// Expected time until a model that has to wait is loaded: after the `before` models ahead of it that
/// wait for the store, too, or once an engine that has a checkpoint is free.
fn backlog_eta(
    input: &PlanInput<'_>,
    model: &Arc<str>,
    before: usize,
    free_store_loads: usize,
) -> Duration {
    let Some(profile) = input.profile.model(model) else { return Duration::MAX };
    match input.engines.iter().any(|engine| engine.accepts_work && has_checkpoint(engine, model)) {
        true => profile.disk_load_time + ENGINE_WAIT,
        false if free_store_loads > 0 => profile.store_load_time + ENGINE_WAIT,
        false => {
            let turns = (before + 1) as f64 / input.store_limit.max(1) as f64;
            profile.store_load_time.mul_f64(1.0 + turns)
        }
    }
}

/// Memory that is free whatever the outcome of pending orders, in megabytes.
pub(crate) fn free_mb(profile: &EngineProfile, engine: &PlanEngine) -> f64 {
    let size =
        |model: &str| profile.model(model).map_or(profile.memory_mb, |found| found.weights_mb);
    let adapter = |model: &str| profile.model(model).map_or(0.0, |found| found.adapter_mb);
    let models: f64 = engine.possible.iter().map(|model| size(model)).sum();
    let adapters: f64 = engine.adapters.iter().map(|(model, _)| adapter(model)).sum();
    profile.memory_mb - models - adapters
}

/// The model with the smallest loss among those that free `missing_mb` by themselves, with its
/// loss.
fn find_victim(
    input: &PlanInput<'_>,
    engine: &PlanEngine,
    missing_mb: f64,
    values: &BTreeMap<Arc<str>, ReplicaValue>,
) -> Option<(Arc<str>, f64)> {
    let loss = |model: &Arc<str>| {
        let Some(value) = values.get(model) else { return 0.0 };
        let idle = match value.usable {
            0 | 1 if engine.on_disk.contains(model) => IDLE_LOSS,
            0 | 1 => LAST_REPLICA_LOSS,
            _ if value.rate > 0.0 => 0.0,
            _ => SPARE_REPLICA_LOSS,
        };
        value.loss() + value.centre_loss(&engine.centre) + idle
    };
    find_victim_by(input, engine, missing_mb, loss)
}

/// The same with another loss.
pub(crate) fn find_victim_by(
    input: &PlanInput<'_>,
    engine: &PlanEngine,
    missing_mb: f64,
    loss: impl Fn(&Arc<str>) -> f64,
) -> Option<(Arc<str>, f64)> {
    let frees = |model: &Arc<str>| {
        let profile = input.profile.model(model);
        let adapters = engine.adapters.iter().filter(|(held, _)| held == model).count() as f64;
        profile.is_some_and(|found| found.weights_mb + adapters * found.adapter_mb >= missing_mb)
    };
    let candidates = engine
        .usable
        .iter()
        .filter(|model| !engine.recently_loaded.contains(model) && frees(model));
    let losses = candidates.map(|model| (model, loss(model)));
    let (least, loss) = losses.min_by(|left, right| left.1.total_cmp(&right.1))?;
    Some((Arc::clone(least), loss))
}
