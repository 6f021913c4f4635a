//! When engines and the weight store can begin further loads.

use std::time::Duration;

use wheel_route::ModelProfile;

use crate::fleet_planner::{ENGINE_WAIT, UNLOAD_TIME, load_time};
use crate::{PlanEngine, PlanInput};

/// Time until the first report of an engine, after which loads from the store may start.
const REPORT_WAIT: Duration = Duration::from_millis(500);

/// Times at which engines and slots of the store are free, counted from now and updated with each
/// load that a plan starts or puts off.
#[derive(Clone, Debug)]
pub(crate) struct ReadyQueue {
    engines: Vec<Duration>,
    /// In ascending order.
    store: Vec<Duration>,
    expected_store_wait: Duration,
}

/// A load at one engine, with its times from now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyTime {
    /// When the model is loaded.
    pub(crate) ready: Duration,
    /// Duration of the load alone.
    pub(crate) load: Duration,
    pub(crate) from_store: bool,
    /// Whether its order, or the unload before it, may be sent now.
    pub(crate) begins_now: bool,
    /// Whether the engine is free and only the store isn't.
    pub(crate) waits_for_store: bool,
}

impl ReadyQueue {
    /// Takes the state of the engines and the store from `input`.
    pub(crate) fn new(input: &PlanInput<'_>) -> Self {
        let free_in = |engine: &PlanEngine| match engine.free_in {
            _ if engine.accepts_orders => Duration::ZERO,
            Duration::ZERO => ENGINE_WAIT,
            wait => wait,
        };
        let mut store = input.store_waits.to_vec();
        // A full window keeps loads from starting although slots are free.
        let free = store.iter().filter(|wait| wait.is_zero()).count();
        store.drain(..free.saturating_sub(input.free_store_loads));
        // An engine that hasn't reported yet may have the model, loaded or on its disk. A new leader knows
        // all within the time limit of a report; one that doesn't answer no longer accepts work.
        let is_known =
            input.engines.iter().all(|engine| engine.contents_known || !engine.accepts_work);
        if !is_known {
            store.iter_mut().for_each(|wait| *wait = (*wait).max(REPORT_WAIT));
        }
        let longest = input.profile.models.iter().map(|model| model.store_load_time).max();
        Self {
            engines: input.engines.iter().map(free_in).collect(),
            store,
            expected_store_wait: longest.unwrap_or_default(),
        }
    }

    /// Loads from the store that may start now.
    pub(crate) fn free_store_loads(&self) -> usize {
        self.store.iter().filter(|wait| wait.is_zero()).count()
    }

    /// When an engine would have loaded a model after freeing memory for `drain`, if it has to.
    pub(crate) fn ready_time(
        &self,
        engine: (usize, &PlanEngine),
        profile: &ModelProfile,
        drain: Option<Duration>,
    ) -> ReadyTime {
        let (index, engine) = engine;
        let start = self.engines[index];
        let (load, from_store) = load_time(profile, engine);
        let freed = start + drain.map_or(Duration::ZERO, |drain| drain + UNLOAD_TIME);
        let store = self.store.first().copied().unwrap_or(self.expected_store_wait);
        let begin = if from_store { freed.max(store) } else { freed };
        let is_free = start.is_zero() && engine.accepts_orders;
        let (begins_now, waits_for_store) = (is_free && begin == freed, is_free && begin > freed);
        ReadyTime { ready: begin + load, load, from_store, begins_now, waits_for_store }
    }

    /// Counts a load at an engine.
    pub(crate) fn assign(&mut self, index: usize, time: &ReadyTime) {
        // Meanwhile the engine may load from its own disk.
        if !time.waits_for_store {
            self.engines[index] = time.ready;
        }
        if time.from_store && !self.store.is_empty() {
            self.store[0] = time.ready;
            self.store.sort();
        }
    }
}
