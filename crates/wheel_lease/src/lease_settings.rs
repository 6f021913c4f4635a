//! The times of the lease.

use std::time::Duration;

/// Times that all instances of a data centre share, for [`LeaseGrantor`](crate::LeaseGrantor) and
/// [`LeaseHolder`](crate::LeaseHolder).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseSettings {
    /// Length of a lease.
    pub term: Duration,
    /// The longest lease that any instance may ask for, now or before the last change of settings.
    pub longest_term: Duration,
    /// Authority ends this long before the grantors' grants. It covers the difference of the
    /// clocks' rates over one term.
    pub margin: Duration,
    /// The longest time after which an order that was sent can still reach an engine.
    pub order_life: Duration,
    /// A candidate's wait after a failed claim is drawn from zero to this.
    pub retry_spread: Duration,
    /// A holder that wasn't stepped for longer than this renews before it acts.
    pub gap_limit: Duration,
}

impl LeaseSettings {
    /// How long a restarted grantor grants nothing: until every lease that it may have forgotten
    /// has ended and every order given under one has arrived or is lost.
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
