//! How many requests upstreams take, and who may send them.

use serde::{Deserialize, Serialize};

use crate::EngineId;

/// What an upstream said in an answer of the requests that it takes from all instances together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitReport {
    /// The upstream.
    pub engine: EngineId,
    /// Requests per second; `None` if the answer names no limit.
    pub rate: Option<f64>,
    /// Milliseconds since the request of that answer was sent.
    pub sent_age_ms: u64,
    /// Milliseconds since the answer was received.
    pub received_age_ms: u64,
}

/// Requests of an instance that want to be sent to an upstream with a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitDemand {
    /// The upstream.
    pub engine: EngineId,
    /// The rank of the requests; [`LimitDemand::SPARE_RANK`] for those that went elsewhere.
    pub rank: u8,
    /// The number of requests.
    pub count: u32,
}

impl LimitDemand {
    /// The rank of requests that are served elsewhere as well.
    pub const SPARE_RANK: u8 = u8::MAX;
}

/// Permit for an instance to send requests to an upstream with a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitGrant {
    /// The upstream.
    pub engine: EngineId,
    /// The number of requests.
    pub count: u32,
    /// Milliseconds after which it lapses.
    pub life_ms: u64,
}

/// An upstream's limit, and how many requests of the fleet wait for a permit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamLimit {
    /// What the upstream said last.
    pub report: LimitReport,
    /// Requests that no other upstream can serve, by rank.
    pub waiting: Vec<(u8, u32)>,
}
