//! What the configuration says of a service's engines.

use std::sync::Arc;
use std::time::Duration;

/// A model that an engine may hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelProfile {
    /// Its name.
    pub name: Arc<str>,
    /// Size of its weights, in megabytes.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a load from the engine's memory.
    pub warm_load: Duration,
    /// Time of a load from the engine's disk.
    pub disk_load: Duration,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// What one engine takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineProfile {
    /// Requests at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_tokens: u64,
    /// Megabytes for weights and adapters together.
    pub weights_mb: f64,
    /// Adapters at once.
    pub adapter_slots: usize,
    /// Loads that the weight store allows a second, over all engines.
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
