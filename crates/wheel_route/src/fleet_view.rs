//! What is known of the upstreams at one moment.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{EngineCard, LoadCount};

/// The upstreams, and how much all instances have under way at each.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetView {
    /// Milliseconds since the list was last read, when this was made.
    pub age_ms: u64,
    /// The upstreams.
    pub engines: Vec<EngineCard>,
    /// What is under way at each, summed over all instances.
    pub loads: Vec<LoadCount>,
    /// Entry instances that were heard lately.
    pub entries: u32,
    /// Models that are being loaded, with the milliseconds until they are there.
    pub loading: Vec<(Arc<str>, u64)>,
}
