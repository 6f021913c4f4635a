//! Where a request goes.

use std::time::Duration;

use wheel_types::{CentreName, UpstreamName};

/// The answer of [`crate::EngineRouter::choose`].
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAnswer {
    /// Send it to this replica.
    Engine {
        /// The engine.
        upstream: UpstreamName,
        /// Its data centre.
        centre: CentreName,
        /// Expected time until a slot, with the way there.
        wait: Duration,
        /// What decided.
        reason: RouteReason,
    },
    /// No replica takes work: ask for the model to be loaded.
    Cold,
    /// Replicas exist, but this request failed on all of them.
    Exhausted,
}

/// What made a replica the best one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// It is the only one that takes work.
    OnlyReplica,
    /// It probably has the prompt's prefix cached.
    CachedPrefix,
    /// It has the adapter.
    LoadedAdapter,
    /// Its expected wait is the shortest.
    ShortestWait,
    /// It is ejected and gets this request as a probe.
    Probe,
}
