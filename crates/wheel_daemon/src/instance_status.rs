//! The state that instances report to each other for `wisteriactl status`.

use serde::{Deserialize, Serialize};
use wheel_types::{CentreName, InstanceName, ManifestRevision};

/// One instance's state.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// The revision in force at the instance.
    pub revision: ManifestRevision,
    /// Time since that revision came into force at the instance, in milliseconds.
    pub age_ms: u64,
    /// Whether it holds its data centre's lease.
    pub holds_lease: bool,
    /// Whether it is draining.
    pub draining: bool,
}
