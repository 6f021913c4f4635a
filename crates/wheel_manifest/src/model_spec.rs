//! A model.

use serde::{Deserialize, Serialize};
use wheel_types::ModelName;

/// A model, its size and its bounds on replicas.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The model's name, as callers send it.
    pub name: ModelName,
    /// The version to serve; changing it starts a rolling replacement of the replicas.
    #[serde(default = "default_version")]
    pub version: u32,
    /// Memory that a replica needs, in mebibytes.
    pub memory_mib: u64,
    /// Expected time to load the model from the store at full speed, in milliseconds.
    pub load_ms: u64,
    /// Number of replicas that are always loaded in each data centre.
    #[serde(default)]
    pub min_replicas: u32,
    /// Largest number of replicas in one data centre.
    #[serde(default = "default_max_replicas")]
    pub max_replicas: u32,
}

const DEFAULT_VERSION: u32 = 1;
const DEFAULT_MAX_REPLICAS: u32 = 2;

fn default_version() -> u32 {
    DEFAULT_VERSION
}

fn default_max_replicas() -> u32 {
    DEFAULT_MAX_REPLICAS
}
