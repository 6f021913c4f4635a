//! A request in a queue.

use std::time::Duration;

use wheel_types::{AdapterName, CallerName, ModelName, MonotonicTime, RequestId, RequestRank};

/// A request that waits for a slot of an engine.
///
/// A request that is queued again after a fault keeps its first `arrival` and its `deadline`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// The request's id, unique in its queue.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerName,
    /// The caller's weight among the callers of its rank; 0 counts as 1.
    pub weight: u32,
    /// Its rank.
    pub rank: RequestRank,
    /// The requested model.
    pub model: ModelName,
    /// The requested adapter.
    pub adapter: Option<AdapterName>,
    /// When it first arrived at any instance.
    pub arrival: MonotonicTime,
    /// When the first byte of its answer is due.
    pub deadline: MonotonicTime,
    /// Expected time in a slot, from its prompt and its token limit.
    pub cost: Duration,
    /// KV cache that it may need, in tokens; 0 if unknown.
    pub kv_tokens: u64,
}

impl Default for QueuedRequest {
    fn default() -> Self {
        Self {
            id: RequestId::new(""),
            caller: "".into(),
            weight: 1,
            rank: RequestRank::default(),
            model: "".into(),
            adapter: None,
            arrival: MonotonicTime::default(),
            deadline: MonotonicTime::default(),
            cost: Duration::from_secs(1),
            kv_tokens: 0,
        }
    }
}
