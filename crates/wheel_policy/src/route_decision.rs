//! Result of routing a request.

use std::time::Duration;

use wheel_types::{CentreName, UpstreamName};

/// The result of [`crate::EngineRouter::choose`].
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDecision {
    /// Send the request to this replica.
    Engine {
        /// The engine.
        upstream: UpstreamName,
        /// Its data centre.
        centre: CentreName,
        /// Expected time until it gets a slot, network delay included.
        wait: Duration,
        /// Why this replica was chosen.
        reason: RouteReason,
    },
    /// No replica accepts requests: the model has to be loaded.
    Cold,
    /// Replicas exist, but this request failed on all of them.
    Exhausted,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// It is the only candidate.
    OnlyReplica,
    /// It probably has the prompt's prefix cached.
    CachedPrefix,
    /// It has the requested adapter loaded.
    LoadedAdapter,
    /// Its expected wait is the shortest.
    ShortestWait,
    /// It is ejected, and this request is its probe.
    Probe,
}
