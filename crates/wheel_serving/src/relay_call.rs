//! Metadata that an ingress instance sends to the owner with a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::{AdapterName, CallerName, ModelName, RequestId, RequestRank, UpstreamName};

/// The header `wheel-relay` of a call from an ingress instance to an owner.
///
/// Times are durations, because the clocks of two processes can't be compared.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RelayCall {
    /// The request's id.
    pub request_id: RequestId,
    /// The destination.
    pub upstream: UpstreamName,
    /// The caller that sent it.
    pub caller: CallerName,
    /// The caller's weight within its rank.
    pub weight: u32,
    /// Its rank.
    pub rank: RequestRank,
    /// The model, for generation.
    pub model: Option<ModelName>,
    /// The adapter, for generation.
    pub adapter: Option<AdapterName>,
    /// Whether the caller of a generation wants a stream.
    pub stream: bool,
    /// Tokens that the caller already has.
    pub resume_from: u64,
    /// Whether the call may be sent more than once.
    pub repeatable: bool,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Expected slot time, in milliseconds.
    pub cost_ms: u64,
}

impl RelayCall {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms)
    }
}
