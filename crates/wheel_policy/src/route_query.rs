//! What the router needs to know about a request.

use wheel_types::{AdapterName, ModelName, RequestRank, UpstreamName};

/// A request for which a replica is chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is requested.
    pub adapter: Option<AdapterName>,
    /// The rank.
    pub rank: RequestRank,
    /// Hash of the prompt's prefix, to prefer an engine that may have it cached.
    pub prefix: Option<u64>,
    /// Upstreams that have already failed for this request.
    pub tried: Vec<UpstreamName>,
}

impl Default for RouteQuery {
    fn default() -> Self {
        Self {
            model: "".into(),
            adapter: None,
            rank: RequestRank::default(),
            prefix: None,
            tried: Vec::new(),
        }
    }
}
