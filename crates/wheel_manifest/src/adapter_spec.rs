//! An adapter.

use serde::{Deserialize, Serialize};
use wheel_types::{AdapterName, ModelName};

/// An adapter of a model. Callers name it as `MODEL:ADAPTER` in the `model` field.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The adapter's name.
    pub name: AdapterName,
    /// The model that it adapts.
    pub model: ModelName,
    /// Memory that it needs, in mebibytes.
    pub memory_mib: u64,
}
