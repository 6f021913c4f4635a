//! One adapter on one engine.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelPhase};

/// An adapter that takes memory beside its model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdapterState {
    /// The adapter.
    pub adapter: AdapterName,
    /// How far it is.
    pub phase: ModelPhase,
    /// Memory that it takes, in mebibytes.
    pub memory_mib: u64,
}
