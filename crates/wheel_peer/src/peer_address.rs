//! The address at which an instance accepts calls from others.

use std::fmt;
use std::net::SocketAddr;

use wheel_types::InstanceName;

/// An instance and its peer address. A call fails if another instance answers there.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PeerAddress {
    /// The instance that should answer.
    pub instance: InstanceName,
    /// Its peer address.
    pub address: SocketAddr,
}

impl PeerAddress {
    /// An instance at an address.
    pub fn new(instance: InstanceName, address: SocketAddr) -> Self {
        Self { instance, address }
    }
}

impl fmt::Display for PeerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.address)
    }
}
