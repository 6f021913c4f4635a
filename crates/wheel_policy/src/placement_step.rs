//! One step of a placement plan.

use wheel_types::{AdapterName, ModelName, UpstreamName};

use crate::CheckpointSource;

/// An action at one engine, and its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementStep {
    /// The engine.
    pub upstream: UpstreamName,
    /// What to do.
    pub action: PlacementAction,
    /// Why to do it.
    pub reason: PlacementReason,
}

/// What to do at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementAction {
    /// Order the load of a model.
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
    /// Stop sending new requests to a replica; a later step unloads it.
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
    /// Order the unload of a drained replica that isn't in use.
    Unload {
        /// The model.
        model: ModelName,
        /// The version.
        version: u32,
    },
    /// Order the load of an adapter for a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Memory that it takes, in mebibytes.
        memory_mib: u64,
    },
    /// Order the unload of an adapter that isn't in use.
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
        /// Value of the waiting requests over the expected duration of the load, in worth per
        /// second.
        value_rate: f64,
    },
    /// The manifest requires a minimum number of replicas.
    MinReplicas,
    /// The loaded replicas can't keep up.
    Busy {
        /// Requests that wait in their queues.
        queued: u32,
    },
    /// The forecast expects requests.
    Forecast {
        /// Requests expected within the duration of a load.
        expected: f64,
    },
    /// A service that uses the requested model depends on it.
    NeededBy {
        /// The model that requests wait for.
        model: ModelName,
    },
    /// The manifest requires another version.
    Rollover,
    /// Its memory is needed for another model.
    MemoryFor {
        /// The model that gets the memory.
        model: ModelName,
    },
    /// Its checkpoint is brought nearer for the next request.
    Staged,
    /// Keeping it costs more than it saves.
    Idle,
    /// It is moved to empty an engine.
    Pack,
    /// The manifest no longer names it, or allows fewer replicas.
    NotWanted,
    /// Requests arrived while it drained.
    DemandReturned,
    /// It has drained and isn't in use.
    Drained,
}

impl PlacementAction {
    /// The model that the action concerns.
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
