//! The order authority that comes with the lease.

use wheel_types::{FencingNumber, MonotonicTime};

/// Proof that a [`LeaseHolder`](crate::LeaseHolder) holds the lease. It must be checked again
/// with [`LeaseAuthority::is_valid`] at the moment an order is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseAuthority {
    /// The fencing number that every order carries.
    pub number: FencingNumber,
    /// Start of this uninterrupted holding period. Every earlier lease ended before it.
    pub began: MonotonicTime,
    /// When the authority ends, unless renewed.
    pub ends: MonotonicTime,
    /// Epoch of the grantor set that granted it.
    pub epoch: u64,
}

impl LeaseAuthority {
    /// True until the authority ends.
    pub fn is_valid(&self, now: MonotonicTime) -> bool {
        now < self.ends
    }
}
