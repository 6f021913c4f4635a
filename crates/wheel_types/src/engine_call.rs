//! The headers of a call to an engine.

use serde::{Deserialize, Serialize};

use crate::{RequestId, RequestRank};

/// The headers that accompany a generation request to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCall {
    /// The id of this call; the engine includes it in every event of the stream.
    pub request_id: RequestId,
    /// The rank, which the engine honours as a priority.
    pub rank: RequestRank,
    /// Number of tokens that the caller already has; the stream resumes after them.
    pub resume_from: u64,
}
