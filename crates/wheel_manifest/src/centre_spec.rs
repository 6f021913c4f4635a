//! A data centre.

use serde::{Deserialize, Serialize};
use wheel_types::{CentreName, InstanceName, RegionName};

/// A data centre and the instances that grant its lease.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreSpec {
    /// The data centre's name.
    pub name: CentreName,
    /// The region that it belongs to.
    pub region: RegionName,
    /// The instances that grant its lease: one to five instances of this data centre.
    pub grantors: Vec<InstanceName>,
}
