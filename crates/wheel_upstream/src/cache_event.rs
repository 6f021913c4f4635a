//! Events of an engine's KV cache.

use serde::{Deserialize, Serialize};

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// Its KV cache is held.
    Stored,
    /// Its KV cache was dropped.
    Removed,
    /// Everything was dropped.
    Cleared,
}

/// One event. Events come late and with gaps: they are hints.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a jump is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The prefix.
    pub prefix_hash: String,
}

/// The body of `GET /engine/v1/cache-events`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<CacheEvent>,
}
