//! A call to an engine, apart from its body.

use serde::{Deserialize, Serialize};

use crate::{RequestId, RequestRank};

/// The headers that accompany a generation request to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCall {
    /// The id of this call; the engine repeats it in every event of the stream.
    pub request_id: RequestId,
    /// The rank, which the engine honours as a priority.
    pub rank: RequestRank,
    /// How many tokens the caller already has: the stream goes on after them.
    pub resume_from: u64,
}
