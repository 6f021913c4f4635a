//! Limits on resources that all data centres share.

use serde::{Deserialize, Serialize};

/// Capacity of the weight store and the adapter loader, shared by all data centres.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreLimits {
    /// Loads that may start per second.
    pub loads_per_second: f64,
    /// Concurrent loads that run at full speed.
    pub full_speed_loads: u32,
    /// Concurrent adapter loads above which all of them slow down.
    pub adapter_loads: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { loads_per_second: 1.0, full_speed_loads: 4, adapter_loads: 32 }
    }
}
