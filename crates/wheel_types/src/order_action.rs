//! The action that an order requests from an engine.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, EngineRole, ModelName};

/// One change to an engine's state.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum OrderAction {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: u32,
        /// Memory that it needs, in mebibytes.
        memory_mib: u64,
    },
    /// Unload a model with its adapters.
    UnloadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: u32,
    },
    /// Load an adapter of a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Memory that it needs, in mebibytes.
        memory_mib: u64,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
    /// Change the engine's role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

impl OrderAction {
    /// Memory that the action needs, in mebibytes; 0 for actions that load nothing.
    pub fn required_mib(&self) -> u64 {
        match self {
            Self::LoadModel { memory_mib, .. } | Self::LoadAdapter { memory_mib, .. } => {
                *memory_mib
            }
            Self::UnloadModel { .. } | Self::UnloadAdapter { .. } | Self::SetRole { .. } => 0,
        }
    }
}
