//! What the planner of a fleet decides by, and what it decides.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{DemandKey, EngineId, EngineProfile};
use wheel_types::{ModelChange, MonotonicTime};

use crate::DemandLevel;

/// One engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanEngine {
    /// Which engine.
    pub id: EngineId,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether an order may be sent to it now.
    pub is_free: bool,
    /// Whether it takes requests.
    pub takes_work: bool,
    /// Whether it has said what it holds, copies included.
    pub is_read: bool,
    /// Models that are there or may come to be there; they count against its memory.
    pub possible: Vec<Arc<str>>,
    /// Models that requests may be sent for.
    pub usable: Vec<Arc<str>>,
    /// Models that were loaded a moment ago: they stay.
    pub fresh: Vec<Arc<str>>,
    /// Adapters that are there or may come to be there, with their models.
    pub adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Models with a copy in its memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models with a copy on its disk.
    pub on_disk: Vec<Arc<str>>,
    /// Requests under way there.
    pub active: u32,
}

/// One step of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanStep {
    /// The engine.
    pub engine: EngineId,
    /// The change.
    pub change: ModelChange,
    /// How long it should take.
    pub takes: Duration,
    /// Whether it takes a load from the weight store.
    pub from_store: bool,
    /// What it gains, in requests.
    pub gain: f64,
}

/// What the planner decides by.
pub struct PlanInput<'a> {
    /// The time.
    pub now: MonotonicTime,
    /// What the engines take.
    pub profile: &'a EngineProfile,
    /// The engines of one service.
    pub engines: &'a [PlanEngine],
    /// Demand for that service.
    pub demand: &'a BTreeMap<DemandKey, DemandLevel>,
    /// Loads from the store that may begin now.
    pub store_room: usize,
    /// Loads from the store that run at once at the most.
    pub store_limit: usize,
}

/// What to do now, and what has to wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPlan {
    /// The steps, at most one for each engine.
    pub steps: Vec<PlanStep>,
    /// Models that are asked for and wait for the store or an engine, with the time until they should be
    /// there.
    pub backlog: Vec<(Arc<str>, Duration)>,
}
