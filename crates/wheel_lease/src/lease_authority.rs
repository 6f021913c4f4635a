//! The right to order engines.

use wheel_types::{FencingNumber, MonotonicTime};

/// Proof that a [`LeaseHolder`](crate::LeaseHolder) holds the lease. It must be checked again
/// with [`LeaseAuthority::is_valid`] at the moment when an order leaves.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseAuthority {
    /// Carried by every order.
    pub number: FencingNumber,
    /// Since when this holder has held the lease without a break. Every earlier lease ended
    /// before.
    pub began: MonotonicTime,
    /// When the authority ends, unless renewed.
    pub ends: MonotonicTime,
    /// Epoch of the grantor set by which it was granted.
    pub epoch: u64,
}

impl LeaseAuthority {
    /// True until the authority ends.
    pub fn is_valid(&self, now: MonotonicTime) -> bool {
        now < self.ends
    }
}
