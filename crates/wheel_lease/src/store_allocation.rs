//! Messages between a data centre and the allocator of the weight store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::CentreName;

use crate::StoreShare;

/// A request for an allocation; answered by a [`StoreAllocation`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllocationRequest {
    /// The data centre that requests it.
    pub centre: CentreName,
    /// Distinguishes the answer from those to earlier requests.
    pub round: u64,
    /// The share that it could use beyond its safe share.
    pub wanted: StoreShare,
}

/// A share that is allocated for a limited time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreAllocation {
    /// The round of the request.
    pub round: u64,
    /// The allocated share; it replaces the earlier allocation.
    pub share: StoreShare,
    /// Length of the allocation, measured by the data centre from when it sent the request.
    pub term: Duration,
}
