//! Capacity of a service's engines, as configured.

use std::sync::Arc;
use std::time::Duration;

/// A model that an engine may load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelProfile {
    /// Its name.
    pub name: Arc<str>,
    /// Size of its weights, in megabytes.
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub store_load_time: Duration,
    /// Duration of a load from the engine's memory.
    pub memory_load_time: Duration,
    /// Duration of a load from the engine's disk.
    pub disk_load_time: Duration,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// Capacity of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineProfile {
    /// Concurrent requests.
    pub slots: u32,
    /// Tokens that its KV cache holds.
    pub kv_tokens: u64,
    /// Memory for weights and adapters together, in megabytes.
    pub memory_mb: f64,
    /// Adapters that may be loaded at once.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<ModelProfile>,
}

impl EngineProfile {
    /// The profile of a model.
    pub fn model(&self, name: &str) -> Option<&ModelProfile> {
        self.models.iter().find(|model| &*model.name == name)
    }
}
