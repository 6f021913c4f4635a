//! Limits of what all data centres share.

use serde::{Deserialize, Serialize};

/// What the weight store and the adapter loader carry, for all data centres together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreLimits {
    /// Loads that may begin each second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once.
    pub full_speed_loads: u32,
    /// Adapter loads in flight before each of them slows down.
    pub adapter_loads: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { loads_per_second: 1.0, full_speed_loads: 4, adapter_loads: 32 }
    }
}
