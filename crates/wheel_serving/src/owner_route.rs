//! The route to an upstream through its owner.

use std::net::SocketAddr;

use wheel_types::{InstanceName, UpstreamName};

/// The instance that owns an upstream, and the address where it accepts relayed requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerRoute {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its owner.
    pub owner: InstanceName,
    /// The owner's relay address.
    pub relay: SocketAddr,
}
