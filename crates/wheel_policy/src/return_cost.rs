//! What it costs to bring a displaced model back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::PlanInput;
use crate::fleet_planner::{find_victim_by, load_time};
use crate::replica_value::{HORIZON_S, ReplicaValue};

/// Wait for a load that costs as much as a lost request: the longest objective of requests that wait
/// for loads, in seconds.
const LOST_WAIT_S: f64 = 5.0;
/// Bound on the cost of one return, in lost requests: a load from a slow store.
const MAX_RETURN_COST: f64 = 3.0;
/// Loss of unloading a model without requests, for each second of its return, in requests.
const IDLE_LOSS_PER_S: f64 = 0.05;

/// Where the copies of models are, for the cost of their return.
///
/// Addresses rare models at even odds: those that are displaced are requested again within seconds,
/// and one whose only copy is on an engine that loads from the store is out of reach meanwhile.
pub(crate) struct ReturnCosts<'a> {
    pub(crate) input: &'a PlanInput<'a>,
    /// Engines that accept work and have a copy, by model.
    copies: BTreeMap<&'a Arc<str>, Vec<usize>>,
    /// Weighted request rate of the models that aren't loaded and whose only copy an engine has.
    only_rates: Vec<f64>,
}

impl<'a> ReturnCosts<'a> {
    /// Looks up the copies of all models.
    pub(crate) fn new(input: &'a PlanInput<'a>, values: &BTreeMap<Arc<str>, ReplicaValue>) -> Self {
        let mut copies: BTreeMap<&Arc<str>, Vec<usize>> = BTreeMap::new();
        for (index, engine) in input.engines.iter().enumerate().filter(|(_, one)| one.accepts_work)
        {
            for model in engine.on_disk.iter().chain(&engine.in_memory) {
                let engines = copies.entry(model).or_default();
                if engines.last() != Some(&index) {
                    engines.push(index);
                }
            }
        }
        let mut only_rates = vec![0.0; input.engines.len()];
        for (model, value) in values.iter().filter(|(_, value)| value.possible == 0) {
            if let Some([index]) = copies.get(model).map(Vec::as_slice) {
                only_rates[*index] += value.miss_rate;
            }
        }
        Self { input, copies, only_rates }
    }

    /// Engines that accept work and have a copy of a model.
    pub(crate) fn copies(&self, model: &Arc<str>) -> &[usize] {
        self.copies.get(model).map_or(&[], Vec::as_slice)
    }

    /// Gain of one more replica, in requests: those that wait, and what those that are expected lose
    /// if the model has to be loaded when they come.
    pub(crate) fn gain(&self, model: &Arc<str>, value: &ReplicaValue) -> f64 {
        let Some(profile) = self.input.profile.model(model).filter(|_| value.possible == 0) else {
            return value.gain();
        };
        let times = self.copies(model).iter();
        let times = times.map(|engine| load_time(profile, &self.input.engines[*engine]).0);
        let nearest = times.min().unwrap_or(profile.store_load_time);
        f64::from(value.waiting) + value.miss_rate * HORIZON_S * return_weight(nearest)
    }

    /// The model that is displaced on an engine at the smallest loss, with that loss; `load` is the
    /// duration of what is loaded instead.
    pub(crate) fn find_victim(
        &self,
        index: usize,
        missing_mb: f64,
        load: Duration,
        values: &BTreeMap<Arc<str>, ReplicaValue>,
    ) -> Option<(Arc<str>, f64)> {
        let engine = &self.input.engines[index];
        let loss = |model: &Arc<str>| self.loss(index, model, load, values);
        find_victim_by(self.input, engine, missing_mb, loss)
    }

    /// Loss of keeping an engine from other orders for `load`: models whose only copy it has can't be
    /// loaded meanwhile.
    pub(crate) fn blocking_loss(&self, index: usize, load: Duration) -> f64 {
        self.only_rates[index] * load.as_secs_f64() * return_weight(load)
    }

    fn loss(
        &self,
        index: usize,
        model: &Arc<str>,
        load: Duration,
        values: &BTreeMap<Arc<str>, ReplicaValue>,
    ) -> f64 {
        let Some(value) = values.get(model) else { return 0.0 };
        let engine = &self.input.engines[index];
        let back = self.return_time(index, model, load);
        match value.usable {
            0 | 1 => {
                let requests = f64::from(value.waiting) + value.miss_rate * HORIZON_S;
                requests * return_weight(back) + IDLE_LOSS_PER_S * back.as_secs_f64()
            }
            // The other replicas serve meanwhile, and this one comes back if they don't suffice.
            _ => (value.loss() + value.centre_loss(&engine.centre)) * return_weight(back),
        }
    }

    /// Time until a model that is displaced at an engine now could be loaded again.
    fn return_time(&self, index: usize, model: &Arc<str>, load: Duration) -> Duration {
        let Some(profile) = self.input.profile.model(model) else { return Duration::ZERO };
        let at = |engine: &usize| {
            let (time, _) = load_time(profile, &self.input.engines[*engine]);
            if *engine == index { load + time } else { time }
        };
        let nearest = self.copies(model).iter().map(at).min();
        nearest.unwrap_or(profile.store_load_time).min(profile.store_load_time)
    }
}

/// Share of a request's worth that a wait costs.
pub(crate) fn return_weight(wait: Duration) -> f64 {
    (wait.as_secs_f64() / LOST_WAIT_S).min(MAX_RETURN_COST)
}
