//! Plans loads by the time at which waiting requests get their models.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wheel_types::ModelChange;

use crate::adapter_steps::plan_adapters;
use crate::fleet_planner::{
    DISPLACE_MARGIN, LIMITED_COST, LOAD_COST_PER_S, LoadOption, MIN_GAIN, WantedModel, free_mb,
    load_time, wanted_models,
};
use crate::ready_queue::{ReadyQueue, ReadyTime};
use crate::replica_value::ReplicaValue;
use crate::return_cost::ReturnCosts;
use crate::{FleetPlan, FleetPlanner, PlanEngine, PlanInput};

/// Cost of a second for which a request waits, in requests: callers that accept a load have
/// objectives of up to 5 s.
const WAIT_COST_PER_S: f64 = 0.2;
/// Expected time until the running requests of a model end.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Cost of unloading a model for each of its running requests, in requests: the engine executes no
/// other order until they end.
const RUNNING_COST: f64 = 0.5;

/// A model that requests wait for and that no engine has or loads.
struct WaitingModel {
    model: Arc<str>,
    /// Average weight of its requests.
    urgency: f64,
    waiting: u32,
    gain: f64,
}

/// An engine that can load a model.
struct ReadyOption {
    index: usize,
    victim: Option<Arc<str>>,
    time: ReadyTime,
    cost: f64,
}

impl FleetPlanner {
    /// Plans loads for waiting requests first, the most urgent ones before others, each at the engine
    /// where the model is ready first; then adapters, further replicas and copies.
    ///
    /// Addresses bursts of requests for rare models: their checkpoints are on the disks of engines
    /// that execute other orders, and a load behind a load from the store waits for that.
    pub(crate) fn plan_by_time(&mut self, input: &PlanInput<'_>) -> FleetPlan {
        self.expire_reservations(input);
        let mut values = self.replica_values(input);
        let mut taken = BTreeSet::new();
        let mut queue = ReadyQueue::new(input);
        let costs = ReturnCosts::new(input, &values);
        let mut plan = FleetPlan::default();
        let mut free_store_loads = queue.free_store_loads();
        plan.steps = self.load_reserved(input, &mut taken, &mut free_store_loads);
        for step in &plan.steps {
            // Reports don't show a load before the engine has answered its order.
            let index = input.engines.iter().position(|engine| engine.id == step.engine);
            if let (Some(index), ModelChange::LoadModel(model)) = (index, &step.change) {
                let time = self.assign_load(input, &mut queue, index, model);
                plan.backlog.extend(time.map(|time| (Arc::clone(model), time.ready)));
            }
        }
        self.queue_reserved(input, &mut queue, &mut plan);
        for wanted in waiting_models(input, &values, &costs) {
            self.place_waiting(&wanted, &mut values, &mut taken, &mut queue, &costs, &mut plan);
        }
        plan.steps.extend(plan_adapters(input, &mut taken));
        let mut free_store_loads = queue.free_store_loads();
        self.place_replicas(
            input,
            &mut values,
            &mut taken,
            &mut free_store_loads,
            &costs,
            &mut plan,
        );
        self.plan_copies(input, &mut values, &mut taken, free_store_loads, &costs, &mut plan);
        plan
    }

    fn assign_load(
        &self,
        input: &PlanInput<'_>,
        queue: &mut ReadyQueue,
        index: usize,
        model: &str,
    ) -> Option<ReadyTime> {
        let profile = input.profile.model(model)?;
        let time = queue.ready_time((index, &input.engines[index]), profile, None);
        queue.assign(index, &time);
        Some(time)
    }

    /// Queues the loads for which memory is being freed.
    fn queue_reserved(&self, input: &PlanInput<'_>, queue: &mut ReadyQueue, plan: &mut FleetPlan) {
        for (index, engine) in input.engines.iter().enumerate() {
            let Some(model) = self.awaited_model(engine, &plan.steps).cloned() else { continue };
            if let Some(time) = self.assign_load(input, queue, index, &model) {
                plan.backlog.push((model, time.ready));
            }
        }
    }

    fn place_waiting(
        &mut self,
        wanted: &WaitingModel,
        values: &mut BTreeMap<Arc<str>, ReplicaValue>,
        taken: &mut BTreeSet<usize>,
        queue: &mut ReadyQueue,
        costs: &ReturnCosts<'_>,
        plan: &mut FleetPlan,
    ) {
        let input = costs.input;
        let model = Arc::clone(&wanted.model);
        let Some(option) = ready_option(input, wanted, values, queue, costs) else {
            let Some(profile) = input.profile.model(&model) else { return };
            plan.backlog.push((model, profile.store_load_time.mul_f64(2.0)));
            return;
        };
        queue.assign(option.index, &option.time);
        plan.backlog.push((Arc::clone(&model), option.time.ready));
        if !option.time.begins_now {
            return;
        }
        taken.insert(option.index);
        let load = LoadOption {
            index: option.index,
            victim: option.victim,
            expected_duration: option.time.load,
            from_store: option.time.from_store,
            cost: option.cost,
        };
        plan.steps.push(self.option_step(input, values, model, load, wanted.gain));
    }

    /// Places further replicas, and models that are requested but not waited for.
    fn place_replicas(
        &mut self,
        input: &PlanInput<'_>,
        values: &mut BTreeMap<Arc<str>, ReplicaValue>,
        taken: &mut BTreeSet<usize>,
        free_store_loads: &mut usize,
        costs: &ReturnCosts<'_>,
        plan: &mut FleetPlan,
    ) {
        for WantedModel { model, .. } in wanted_models(input, values) {
            let Some(value) = values.get(&model) else { continue };
            let gain = costs.gain(&model, value);
            if gain < MIN_GAIN || (value.possible == 0 && value.waiting > 0) {
                continue;
            }
            let option = self.find_option(
                input,
                &model,
                values,
                gain,
                (taken, *free_store_loads),
                Some(costs),
            );
            let Some(option) = option else { continue };
            taken.insert(option.index);
            *free_store_loads -= usize::from(option.from_store);
            plan.steps.push(self.option_step(input, values, model, option, gain));
        }
    }
}

/// The engine at which a load costs least, counting the time until the model is ready there and
/// the loss of what it displaces. It may execute another order now.
fn ready_option(
    input: &PlanInput<'_>,
    wanted: &WaitingModel,
    values: &BTreeMap<Arc<str>, ReplicaValue>,
    queue: &ReadyQueue,
    costs: &ReturnCosts<'_>,
) -> Option<ReadyOption> {
    let profile = input.profile.model(&wanted.model)?;
    let engines = input.engines.iter().enumerate().filter(|(_, engine)| {
        engine.accepts_work && engine.contents_known && !engine.possible.contains(&wanted.model)
    });
    let options = engines.filter_map(|(index, engine)| {
        let free_mb = free_mb(input.profile, engine);
        let missing_mb = profile.weights_mb - free_mb;
        let (load, _) = load_time(profile, engine);
        let victim = match missing_mb > 0.0 {
            true => Some(costs.find_victim(index, missing_mb, load, values)?),
            false => None,
        };
        let loss = victim.as_ref().map_or(0.0, |(_, loss)| *loss);
        let loss = loss + costs.blocking_loss(index, load);
        if wanted.gain < loss * DISPLACE_MARGIN {
            return None;
        }
        let running = victim.as_ref().map_or(0.0, |(victim, _)| running_of(engine, victim, values));
        let drain = victim.as_ref().map(|_| DRAIN_TIME.mul_f64(running.min(1.0)));
        let time = queue.ready_time((index, engine), profile, drain);
        let value = f64::from(wanted.waiting) * wanted.urgency;
        let fill = f64::from(engine.active) / f64::from(input.profile.slots.max(1));
        let limited = if engine.is_limited { LIMITED_COST } else { 0.0 };
        let cost = time.ready.as_secs_f64() * value * WAIT_COST_PER_S
            + time.load.as_secs_f64() * LOAD_COST_PER_S
            + loss
            + running * RUNNING_COST
            + limited
            + 0.2 * fill;
        Some(ReadyOption { index, victim: victim.map(|(victim, _)| victim), time, cost })
    });
    options.min_by(|left, right| left.cost.total_cmp(&right.cost))
}

/// Models that requests wait for and that no engine has or loads, the most urgent first. Among
/// equally urgent ones, those with most waiting requests come first.
fn waiting_models(
    input: &PlanInput<'_>,
    values: &BTreeMap<Arc<str>, ReplicaValue>,
    costs: &ReturnCosts<'_>,
) -> Vec<WaitingModel> {
    let waiting = values.iter().filter(|(_, value)| value.waiting > 0 && value.possible == 0);
    let waiting = waiting.filter(|(model, _)| input.profile.model(model).is_some());
    let mut models: Vec<WaitingModel> = waiting
        .map(|(model, value)| WaitingModel {
            model: Arc::clone(model),
            urgency: if value.rate > 0.0 { value.miss_rate / value.rate } else { 1.0 },
            waiting: value.waiting,
            gain: costs.gain(model, value),
        })
        .collect();
    models.sort_by(|left, right| {
        let by_urgency = right.urgency.total_cmp(&left.urgency);
        by_urgency.then(right.gain.total_cmp(&left.gain))
    });
    models
}

/// Expected number of an engine's running requests that are for `model`: in proportion to the rate
/// of each of its replicas.
pub(crate) fn running_of(
    engine: &PlanEngine,
    model: &Arc<str>,
    values: &BTreeMap<Arc<str>, ReplicaValue>,
) -> f64 {
    let share = |model: &Arc<str>| {
        values.get(model).map_or(0.0, |value| value.rate / value.usable.max(1) as f64)
    };
    let all: f64 = engine.usable.iter().map(share).sum();
    match all > 0.0 {
        true => f64::from(engine.active) * share(model) / all,
        false => 0.0,
    }
}
