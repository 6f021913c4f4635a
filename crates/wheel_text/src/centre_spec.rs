//! A data centre.

use serde::{Deserialize, Serialize};
use wheel_types::{CentreName, InstanceName, RegionName};

/// A data centre and who grants its lease.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreSpec {
    /// The data centre's name.
    pub name: CentreName,
    /// The region that it lies in.
    pub region: RegionName,
    /// The instances that grant its lease: one to five of its own.
    pub grantors: Vec<InstanceName>,
}
