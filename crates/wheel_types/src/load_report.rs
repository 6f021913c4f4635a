//! An engine's load.

use serde::{Deserialize, Serialize};

use crate::IncarnationId;

/// The response body of `GET /engine/v1/load`. The figures lag, so readers must add the requests
/// that they have sent since.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadReport {
    /// The engine process's incarnation.
    pub incarnation: IncarnationId,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// KV cache in use, in thousandths of its size.
    pub kv_used_permille: u32,
    /// Age of these figures when they were sent, in milliseconds.
    pub age_ms: u64,
}
