//! What has changed in the fleet's view since another one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    BarredPart, EngineId, EngineInfo, HeldModel, OpenRequestCount, ServiceRates, UpstreamLimit,
};

/// Identifies a view among all that one instance has published.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ViewStamp {
    /// The start of the publishing instance; drawn at random.
    pub source: u64,
    /// Grows with each change.
    pub revision: u64,
}

/// Open requests at one upstream, named by its position among all in the order of their ids.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacedCount {
    /// Position of the upstream.
    pub position: u32,
    /// Open requests.
    pub active: u32,
    /// Prompt tokens of these requests.
    pub tokens: u64,
}

/// The measured speed of one upstream, named by its position among all in the order of their ids.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacedSpeed {
    /// Position of the upstream.
    pub position: u32,
    /// Its speed, in percent of the usual speed of its service.
    pub percent: u16,
}

/// The changes that lead from one view to a later one of the same instance.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ViewUpdate {
    /// The later view.
    pub stamp: ViewStamp,
    /// The revision that it builds on; 0 for the empty view.
    pub base: u64,
    /// Age of the instance list, in milliseconds.
    pub age_ms: u64,
    /// Number of ingress instances that have synced recently.
    pub ingress_count: u32,
    /// Upstreams that are gone.
    pub removed: Vec<EngineId>,
    /// Upstreams that are new, or of which more than the loaded models has changed.
    pub engines: Vec<EngineInfo>,
    /// Changed lists of loaded models, by the upstream's position after the changes above.
    pub models: Vec<(u32, Vec<HeldModel>)>,
    /// Changed counts of open requests.
    pub open_requests: Vec<PlacedCount>,
    /// Open requests at upstreams that aren't listed any more.
    pub unlisted_requests: Vec<OpenRequestCount>,
    /// Models that are being loaded, with the milliseconds until they are available.
    pub loading: Vec<(Arc<str>, u64)>,
    /// Parts of prompts of which instances report when requests with them end well.
    pub watched_parts: Vec<u64>,
    /// Parts of prompts with which requests aren't sent.
    pub barred_parts: Vec<BarredPart>,
    /// Limits that upstreams have named.
    pub limits: Vec<UpstreamLimit>,
    /// Changed speeds.
    pub speeds: Vec<PlacedSpeed>,
    /// Usual durations at services, as far as they have been measured.
    pub rates: Vec<ServiceRates>,
}
