//! Addresses of an instance.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wheel_types::{CentreName, InstanceName};

/// An instance's name, data centre and addresses.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct InstanceAddress {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Where it accepts calls between instances.
    pub peer: SocketAddr,
    /// Where it accepts requests relayed by other instances.
    pub relay: SocketAddr,
}
