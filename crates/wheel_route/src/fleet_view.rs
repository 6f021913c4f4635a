//! A snapshot of what is known about the upstreams.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{BarredPart, EngineInfo, EngineSpeed, OpenRequestCount, ServiceRates, UpstreamLimit};

/// The upstreams, and the number of requests that all instances have open at each.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetView {
    /// Age of the instance list when this snapshot was made, in milliseconds.
    pub age_ms: u64,
    /// The upstreams.
    pub engines: Vec<EngineInfo>,
    /// Open requests at each upstream, summed over all instances.
    pub open_requests: Vec<OpenRequestCount>,
    /// Number of ingress instances that have synced recently.
    pub ingress_count: u32,
    /// Models that are being loaded, with the milliseconds until they are available.
    pub loading: Vec<(Arc<str>, u64)>,
    /// Parts of prompts of which instances report when requests with them end well.
    pub watched_parts: Vec<u64>,
    /// Parts of prompts with which requests aren't sent.
    pub barred_parts: Vec<BarredPart>,
    /// Limits that upstreams have named.
    pub limits: Vec<UpstreamLimit>,
    /// Upstreams whose speed differs from the usual one of their service.
    pub speeds: Vec<EngineSpeed>,
    /// Usual durations at services, as far as they have been measured.
    pub rates: Vec<ServiceRates>,
}
