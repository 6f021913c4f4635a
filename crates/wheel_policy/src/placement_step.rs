//! One step of a placement plan.

use wheel_types::{AdapterName, ModelName, UpstreamName};

use crate::CheckpointSource;

/// What to do at one engine, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementStep {
    /// The engine.
    pub upstream: UpstreamName,
    /// What to do.
    pub action: PlacementAction,
    /// Why.
    pub reason: PlacementReason,
}

/// What to do at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementAction {
    /// Order a load.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: u32,
        /// Memory that it takes, in mebibytes.
        memory_mib: u64,
        /// Where it comes from.
        source: CheckpointSource,
    },
    /// Stop sending new requests to a replica; it is unloaded by a later step.
    Drain {
        /// The model.
        model: ModelName,
        /// The version.
        version: u32,
    },
    /// Send requests to a draining replica again.
    Resume {
        /// The model.
        model: ModelName,
        /// The version.
        version: u32,
    },
    /// Order an unload of a drained replica that nothing uses.
    Unload {
        /// The model.
        model: ModelName,
        /// The version.
        version: u32,
    },
    /// Order a load of an adapter beside its loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Memory that it takes, in mebibytes.
        memory_mib: u64,
    },
    /// Order an unload of an adapter that nothing uses.
    UnloadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
}

/// Why a step is taken.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementReason {
    /// Requests wait for the model.
    Waiting {
        /// How many.
        count: u32,
        /// Worth of what waits over the expected time of the load, in units of worth a second.
        value_rate: f64,
    },
    /// The text wants replicas that are always loaded.
    MinReplicas,
    /// The loaded replicas can't keep up.
    Busy {
        /// Requests that wait in their queues.
        queued: u32,
    },
    /// The forecast expects requests.
    Forecast {
        /// Requests expected within the time of a load.
        expected: f64,
    },
    /// A service that is asked for needs it too.
    NeededBy {
        /// The model that requests wait for.
        model: ModelName,
    },
    /// Another version is wanted.
    Rollover,
    /// Its memory is needed.
    MemoryFor {
        /// The model that gets the memory.
        model: ModelName,
    },
    /// Holding it costs more than it saves.
    Idle,
    /// It moves so that a whole engine stands empty.
    Pack,
    /// The text doesn't name it any more, or allows fewer replicas.
    NotWanted,
    /// Requests came while it drained.
    DemandReturned,
    /// It has drained and nothing uses it.
    Drained,
}

impl PlacementAction {
    /// The model that the step is about.
    pub fn model(&self) -> &ModelName {
        match self {
            Self::Load { model, .. }
            | Self::Drain { model, .. }
            | Self::Resume { model, .. }
            | Self::Unload { model, .. }
            | Self::LoadAdapter { model, .. }
            | Self::UnloadAdapter { model, .. } => model,
        }
    }
}
