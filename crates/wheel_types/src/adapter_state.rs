//! One adapter on one engine.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelPhase};

/// An adapter that occupies engine memory in addition to its model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdapterState {
    /// The adapter.
    pub adapter: AdapterName,
    /// Its loading phase.
    pub phase: ModelPhase,
    /// Memory that it occupies, in mebibytes.
    pub memory_mib: u64,
}
