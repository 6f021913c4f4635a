//! One model on one engine.

use serde::{Deserialize, Serialize};

use crate::{AdapterState, ModelName};

/// How far a model on an engine is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelPhase {
    /// The engine is loading it; its memory is taken already.
    Loading,
    /// It answers requests.
    Loaded,
    /// The engine is unloading it; its memory isn't free yet.
    Unloading,
}

/// A model that takes memory on an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ModelState {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: u32,
    /// How far it is.
    pub phase: ModelPhase,
    /// Memory that it takes, in mebibytes.
    pub memory_mib: u64,
    /// Its adapters on this engine.
    pub adapters: Vec<AdapterState>,
}
