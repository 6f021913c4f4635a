//! Input and output of [`crate::FleetPlanner`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{DemandKey, EngineId, EngineProfile};
use wheel_types::{ModelChange, MonotonicTime};

use crate::DemandLevel;

/// One engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanEngine {
    /// Identity of the engine.
    pub id: EngineId,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether an order may be sent to it now.
    pub accepts_orders: bool,
    /// Expected time until it has finished the order in progress; zero without one.
    pub free_in: Duration,
    /// Whether it accepts requests.
    pub accepts_work: bool,
    /// Whether it has reported its models and checkpoints.
    pub contents_known: bool,
    /// Models that are loaded or that an order may still load; they count against its memory.
    pub possible: Vec<Arc<str>>,
    /// Models for which it accepts requests.
    pub usable: Vec<Arc<str>>,
    /// Models that were loaded recently and are not unloaded yet.
    pub recently_loaded: Vec<Arc<str>>,
    /// Pairs of model and adapter that are loaded or that an order may still load.
    pub adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Models with a checkpoint in its host's memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models with a checkpoint on its disk.
    pub on_disk: Vec<Arc<str>>,
    /// Requests in progress.
    pub active: u32,
    /// Whether it takes only a limited number of requests per second.
    pub is_limited: bool,
}

/// One step of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    /// The engine.
    pub engine: EngineId,
    /// The change.
    pub change: ModelChange,
    /// Expected duration.
    pub expected_duration: Duration,
    /// Whether it loads from the weight store.
    pub from_store: bool,
    /// Expected gain, in requests.
    pub gain: f64,
}

/// Input of one call of [`crate::FleetPlanner::plan`].
pub struct PlanInput<'a> {
    /// The time.
    pub now: MonotonicTime,
    /// Capacity of an engine and size and load times of each model.
    pub profile: &'a EngineProfile,
    /// The engines of one service.
    pub engines: &'a [PlanEngine],
    /// Demand for that service.
    pub demand: &'a BTreeMap<DemandKey, DemandLevel>,
    /// Loads from the store that may start now.
    pub free_store_loads: usize,
    /// Maximum number of concurrent loads from the store.
    pub store_limit: usize,
    /// Expected time until each of these may start, in ascending order.
    pub store_waits: &'a [Duration],
    /// Whether models are placed by the time at which requests get them.
    pub controls_load: bool,
}

/// Steps to take now, and models that have to wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPlan {
    /// The steps, at most one for each engine.
    pub steps: Vec<PlanStep>,
    /// Models that wait for the store, an engine or memory, with the expected time until they are
    /// loaded.
    pub backlog: Vec<(Arc<str>, Duration)>,
}
