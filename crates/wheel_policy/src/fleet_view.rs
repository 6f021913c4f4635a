//! Engines of one data centre and the models that they hold.

use wheel_types::{AdapterName, EngineRole, ModelName, ModelPhase, MonotonicTime, UpstreamName};

use crate::CheckpointSource;

/// The engines of one data centre and its share of the weight store, as known to the holder of its
/// lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// The data centre's engines.
    pub engines: Vec<EngineView>,
    /// Maximum number of loads from the store in flight for this data centre.
    pub store_loads: u32,
    /// Loads from the store that may start now under the store's rate limit.
    pub store_starts: u32,
    /// Maximum number of adapter loads in flight for this data centre.
    pub adapter_loads: u32,
}

/// One engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Its name.
    pub upstream: UpstreamName,
    /// Memory for models and adapters, in mebibytes.
    pub memory_mib: u64,
    /// Memory that orders with an unknown outcome may take beyond `models`, in mebibytes.
    pub reserved_mib: u64,
    /// Number of accelerators that it occupies.
    pub accelerators: u32,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Its role; only [`EngineRole::Serve`] gets models.
    pub role: EngineRole,
    /// True while it gets no new models: it is leaving, unreachable or ejected.
    pub leaving: bool,
    /// Models that take memory, including those of orders whose outcome is unknown.
    pub models: Vec<PlacedModel>,
    /// Checkpoints in its host's memory.
    pub memory_checkpoints: Vec<ModelName>,
    /// Checkpoints on its disk.
    pub disk_checkpoints: Vec<ModelName>,
}

/// A model on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedModel {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: u32,
    /// Its phase. An order whose outcome is unknown counts as in progress.
    pub phase: ModelPhase,
    /// Where a load comes from.
    pub source: CheckpointSource,
    /// Memory that it takes without its adapters, in mebibytes.
    pub memory_mib: u64,
    /// Adapters of the model.
    pub adapters: Vec<PlacedAdapter>,
    /// Requests that run, wait in the engine's queue or are on their way to it.
    pub in_use: u32,
    /// When it started to drain; `None` if it doesn't.
    pub draining: Option<MonotonicTime>,
    /// Whether its owner has reported it and accepts requests for it. Instances know a replica only
    /// from that report, which may come after the engine's own state was read.
    pub is_reported: bool,
    /// When its current phase started.
    pub since: MonotonicTime,
    /// When its last request ended.
    pub last_used: MonotonicTime,
}

/// An adapter of a model on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedAdapter {
    /// The adapter.
    pub adapter: AdapterName,
    /// Its phase.
    pub phase: ModelPhase,
    /// Memory that it takes, in mebibytes.
    pub memory_mib: u64,
    /// Requests that use it.
    pub in_use: u32,
    /// When its last request ended.
    pub last_used: MonotonicTime,
}

impl Default for EngineView {
    fn default() -> Self {
        Self {
            upstream: "".into(),
            memory_mib: 0,
            reserved_mib: 0,
            accelerators: 1,
            slots: 1,
            role: EngineRole::default(),
            leaving: false,
            models: Vec::new(),
            memory_checkpoints: Vec::new(),
            disk_checkpoints: Vec::new(),
        }
    }
}

impl EngineView {
    /// Memory that is certainly free, in mebibytes.
    pub fn free_mib(&self) -> u64 {
        let used: u64 = self.models.iter().map(PlacedModel::total_mib).sum();
        self.memory_mib.saturating_sub(used + self.reserved_mib)
    }

    /// The nearest source from which this engine can load `model`.
    pub fn source(&self, model: &ModelName) -> CheckpointSource {
        match self {
            engine if engine.memory_checkpoints.contains(model) => CheckpointSource::Memory,
            engine if engine.disk_checkpoints.contains(model) => CheckpointSource::Disk,
            _ => CheckpointSource::Store,
        }
    }
}

impl Default for PlacedModel {
    fn default() -> Self {
        Self {
            model: "".into(),
            version: 1,
            phase: ModelPhase::Loaded,
            source: CheckpointSource::Store,
            memory_mib: 0,
            adapters: Vec::new(),
            in_use: 0,
            draining: None,
            is_reported: true,
            since: MonotonicTime::default(),
            last_used: MonotonicTime::default(),
        }
    }
}

impl PlacedModel {
    /// Memory of the model and its adapters, in mebibytes.
    pub fn total_mib(&self) -> u64 {
        self.memory_mib + self.adapters.iter().map(|adapter| adapter.memory_mib).sum::<u64>()
    }

    /// Whether it accepts new requests.
    pub fn accepts_work(&self) -> bool {
        self.phase == ModelPhase::Loaded && self.draining.is_none()
    }
}
