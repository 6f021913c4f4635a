//! Timing settings of the lease.

use std::time::Duration;

/// Timing settings for [`LeaseGrantor`](crate::LeaseGrantor) and
/// [`LeaseHolder`](crate::LeaseHolder), the same at all instances of a data centre.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseSettings {
    /// Length of a lease.
    pub term: Duration,
    /// The longest lease that any instance may request, now or before the last change of settings.
    pub longest_term: Duration,
    /// Authority ends this long before the grantors' grants. It covers the clock drift over one
    /// term.
    pub margin: Duration,
    /// The longest time after sending at which an order can still reach an engine.
    pub order_life: Duration,
    /// A candidate's wait after a failed claim is random, from zero up to this.
    pub retry_spread: Duration,
    /// A holder that wasn't stepped for longer than this must renew before it acts.
    pub gap_limit: Duration,
}

impl LeaseSettings {
    /// How long a restarted grantor grants nothing: until every lease that it may have forgotten
    /// has ended and every order sent under one has arrived or is lost.
    pub fn restart_wait(&self) -> Duration {
        self.longest_term + self.order_life
    }

    /// Time between renewals.
    pub fn renew_interval(&self) -> Duration {
        self.term / 3
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_millis(3_000),
            longest_term: Duration::from_millis(3_000),
            margin: Duration::from_millis(300),
            order_life: Duration::from_millis(2_000),
            retry_spread: Duration::from_millis(300),
            gap_limit: Duration::from_millis(1_000),
        }
    }
}
