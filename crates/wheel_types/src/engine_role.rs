//! What an engine is used for.

use serde::{Deserialize, Serialize};

/// The part that an engine plays, changed by an order.
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
    /// Holds checkpoints ready and serves nothing.
    Reserve,
}
