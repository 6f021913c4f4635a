//! The life cycle of a lease holder.

use std::collections::BTreeSet;

use wheel_types::{FencingNumber, InstanceName, MonotonicTime};

/// The phase of a [`LeaseHolder`](crate::LeaseHolder).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum HolderPhase {
    /// Waits before the next claim.
    Waiting {
        /// When to claim.
        until: MonotonicTime,
    },
    /// Has sent claims and counts the answers.
    Claiming(ClaimRound),
    /// Holds the lease.
    Holding(HeldLease),
    /// Has released the lease and claims no other.
    Released,
}

/// One round of requests to all grantors.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimRound {
    /// The number that is claimed or renewed.
    pub number: FencingNumber,
    /// When the requests were sent. The holder measures grants from here, earlier than any grantor.
    pub sent: MonotonicTime,
    /// The grantors that granted.
    pub granted: BTreeSet<InstanceName>,
    /// The grantors that refused.
    pub refused: BTreeSet<InstanceName>,
    /// True if a grantor refused and knows an equal or higher number.
    pub superseded: bool,
    /// When the obstacles reported by the grantors have passed.
    pub retry_at: MonotonicTime,
}

/// One uninterrupted holding period of the lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HeldLease {
    /// The current number.
    pub number: FencingNumber,
    /// When it began.
    pub began: MonotonicTime,
    /// When the authority ends.
    pub ends: MonotonicTime,
    /// Epoch of the grantor set whose majority granted last.
    pub epoch: u64,
    /// The renewal in progress.
    pub renewal: Option<ClaimRound>,
    /// When the next renewal starts.
    pub renew_at: MonotonicTime,
    /// Grants older than this don't count, because the holder wasn't stepped for longer than the
    /// gap limit before it.
    pub checked_from: MonotonicTime,
    /// When the requests of the last successful round were sent.
    pub confirmed: MonotonicTime,
}
