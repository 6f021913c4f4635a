//! The role of an engine.

use serde::{Deserialize, Serialize};

/// What an engine is used for; an order changes it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Serves whole requests.
    #[default]
    Serve,
    /// Computes prompts only and exports their KV cache.
    Prefill,
    /// Continues from imported KV cache.
    Decode,
    /// Keeps checkpoints ready and serves no requests.
    Reserve,
}
