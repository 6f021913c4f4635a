//! The life cycle of a lease holder.

use std::collections::BTreeSet;

use wheel_types::{FencingNumber, InstanceName, MonotonicTime};

/// Where a [`LeaseHolder`](crate::LeaseHolder) stands.
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
    Holding(LeaseTenure),
    /// Has given up for good.
    Released,
}

/// One round of requests to all grantors.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimRound {
    /// The number that is claimed or renewed.
    pub number: FencingNumber,
    /// When the requests were sent. Grants are counted from here, before any grantor's count.
    pub sent: MonotonicTime,
    /// Who granted.
    pub granted: BTreeSet<InstanceName>,
    /// Who refused.
    pub refused: BTreeSet<InstanceName>,
    /// True if a grantor refused and knows an equal or higher number.
    pub outbid: bool,
    /// When the obstacles named by grantors are over.
    pub retry_at: MonotonicTime,
}

/// An unbroken hold of the lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTenure {
    /// The current number.
    pub number: FencingNumber,
    /// When it began.
    pub began: MonotonicTime,
    /// When authority ends.
    pub ends: MonotonicTime,
    /// Epoch of the grantor set of the last majority.
    pub epoch: u64,
    /// The renewal that is under way.
    pub renewal: Option<ClaimRound>,
    /// When the next renewal starts.
    pub renew_at: MonotonicTime,
    /// Grants older than this don't count: the holder wasn't stepped for a while before it.
    pub checked_from: MonotonicTime,
    /// When the requests of the last successful round were sent.
    pub confirmed: MonotonicTime,
}
