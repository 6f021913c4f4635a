//! One model on one engine.

use serde::{Deserialize, Serialize};

use crate::{AdapterState, ModelName};

/// The loading phase of a model on an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ModelPhase {
    /// The engine is loading it; its memory is already allocated.
    Loading,
    /// It can serve requests.
    Loaded,
    /// The engine is unloading it; its memory isn't released yet.
    Unloading,
}

/// A model that occupies memory on an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ModelState {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: u32,
    /// Its loading phase.
    pub phase: ModelPhase,
    /// Memory that it occupies, in mebibytes.
    pub memory_mib: u64,
    /// Its adapters on this engine.
    pub adapters: Vec<AdapterState>,
}
