//! What the router needs to know of a request.

use wheel_types::{AdapterName, ModelName, RequestRank, UpstreamName};

/// A request that looks for a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteQuery {
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
    /// The rank.
    pub rank: RequestRank,
    /// Hash of the prompt's prefix; a hint for engines that may have it cached.
    pub prefix: Option<u64>,
    /// Upstreams that failed for this request already.
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
