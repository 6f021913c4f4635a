//! Addresses of instances.

use wheel_peer::PeerAddress;
use wheel_types::InstanceName;

/// Finds the peer address of an instance.
pub trait AddressResolver: Send + Sync + 'static {
    /// The address of `instance`, if it is known.
    fn peer_address(&self, instance: &InstanceName) -> Option<PeerAddress>;
}
