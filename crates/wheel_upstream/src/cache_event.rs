//! Events of an engine's KV cache.

use serde::{Deserialize, Serialize};

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// Its KV cache was stored.
    Stored,
    /// Its KV cache was dropped.
    Removed,
    /// The whole cache was dropped.
    Cleared,
}

/// One event. Events arrive late and with gaps, so they are only hints.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a larger step means that events are missing.
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
