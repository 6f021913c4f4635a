//! Messages that instances exchange several times a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    DemandCount, EngineId, FleetView, LimitDemand, LimitGrant, LimitReport, RateReport, SoundPart,
    SpeedReport, UpstreamCrash, ViewStamp, ViewUpdate,
};

/// Open requests at one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OpenRequestCount {
    /// The upstream.
    pub engine: EngineId,
    /// Open requests.
    pub active: u32,
    /// Prompt tokens of these requests.
    pub tokens: u64,
}

/// The endpoint of a control instance for other instances.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ControlEndpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
}

/// Reports the state of an instance to its parent, a control instance.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SyncRequest {
    /// The reporting instance.
    pub instance: Arc<str>,
    /// Whether it accepts callers' requests.
    pub is_ingress: bool,
    /// The configuration version in force there.
    pub version: u64,
    /// Its own endpoint, if it is a control instance.
    pub control: Option<ControlEndpoint>,
    /// Requests that it has open at each upstream.
    pub open_requests: Vec<OpenRequestCount>,
    /// Demand since the last call.
    pub demand: Vec<DemandCount>,
    /// Upstreams that refused requests because they are shutting down.
    pub leaving: Vec<EngineId>,
    /// Engines whose reported state may be out of date: they refused requests for models that they
    /// were reported to hold, or couldn't be reached.
    pub stale_engines: Vec<EngineId>,
    /// Number of ingress instances below it, itself included.
    pub ingress_count: u32,
    /// Upstreams that ended under requests in the last seconds.
    pub crashes: Vec<UpstreamCrash>,
    /// Watched parts of prompts with which requests ended well.
    pub sound_parts: Vec<SoundPart>,
    /// Barred parts with which requests came since the last sync.
    pub barred_requests: Vec<u64>,
    /// Limits that upstreams have named.
    pub limits: Vec<LimitReport>,
    /// Requests for which permits to send to upstreams with limits are asked.
    pub limit_demand: Vec<LimitDemand>,
    /// What was measured at upstreams since the last sync.
    pub speeds: Vec<SpeedReport>,
    /// What was measured at services since the last sync.
    pub rates: Vec<RateReport>,
    /// The view last received from the instance that is called; the reply builds on it.
    pub held_view: Option<ViewStamp>,
    /// How long the reply may be delayed until engines' loaded models change, in milliseconds.
    pub hold_ms: u32,
}

/// The control instance's reply as it is sent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SyncAnswer {
    /// The reply without the fleet.
    pub reply: SyncReply,
    /// The fleet; `None` if nothing is known yet.
    pub view: Option<ViewUpdate>,
}

/// The control instance's reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SyncReply {
    /// The version that the replying instance holds; 0 without a configuration. Its document, which
    /// may be large, is requested apart from this (see [`DocumentRequest`](crate::DocumentRequest)).
    pub version: u64,
    /// The fleet; `None` if nothing is known yet. It is sent as [`SyncAnswer::view`].
    #[serde(skip)]
    pub fleet: Option<FleetView>,
    /// The known control instances.
    pub control: Vec<ControlEndpoint>,
    /// Permits to send to upstreams with limits.
    pub limit_grants: Vec<LimitGrant>,
    /// Milliseconds since the last moment for which it is proven that `version` was the newest
    /// configuration; `None` without a proof.
    pub proof_age_ms: Option<u64>,
}

impl SyncReply {
    /// The time since the last moment for which it is proven that [`SyncReply::version`] was the
    /// newest configuration; `None` without a proof.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof_age_ms.map(Duration::from_millis)
    }
}
