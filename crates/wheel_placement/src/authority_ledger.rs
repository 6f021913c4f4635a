//! When the authority to send orders begins and ends.

use std::time::Duration;

use wheel_seams::is_planted;
use wheel_types::MonotonicTime;

/// The term of a group's first election. Its leader has no predecessor to wait for, and no other
/// leader ever has this term.
pub(crate) const FIRST_TERM: u64 = 1;

/// How long a confirmation is valid, and how long a new holder waits.
#[derive(Clone, Copy, Debug)]
pub struct AuthorityTimes {
    /// How long a confirmation by a majority is valid.
    pub validity: Duration,
    /// Minimum time between the last order of one holder and the first order of the next.
    pub pause: Duration,
}

/// Tracks the authority of one instance by the confirmations of its leadership. Times are passed
/// in, from a clock that keeps running while the machine is suspended.
///
/// A confirmation is valid for [`AuthorityTimes::validity`] from the moment it was requested. A
/// majority voted for a new leader after the old one's last confirmation, so the new leader alone
/// has the authority once the validity period and the pause have passed since its own first
/// confirmation. The fencing number is the term, which every durable vote raises.
#[derive(Clone, Copy, Debug)]
pub struct AuthorityLedger {
    times: AuthorityTimes,
    term: u64,
    /// When the first confirmation of this term was received.
    began: MonotonicTime,
    /// When the last confirmation was requested.
    confirmed: Option<MonotonicTime>,
}

impl AuthorityLedger {
    /// The state of an instance without authority.
    pub fn new(times: AuthorityTimes) -> Self {
        Self { times, term: 0, began: MonotonicTime::default(), confirmed: None }
    }

    /// How long a confirmation is valid.
    pub fn validity(&self) -> Duration {
        self.times.validity
    }

    /// Records a confirmation of `term` that was requested at `requested` and received at `now`.
    /// Returns true if it is the first one of the term.
    pub fn confirm(&mut self, term: u64, requested: MonotonicTime, now: MonotonicTime) -> bool {
        let begins = self.term != term || self.confirmed.is_none();
        if begins {
            self.term = term;
            self.began = now;
        }
        self.confirmed = Some(requested);
        begins
    }

    /// Gives up the authority.
    pub fn release(&mut self) {
        self.confirmed = None;
    }

    /// The term, while leadership is confirmed. Orders may not be allowed yet.
    pub fn leading_term(&self, now: MonotonicTime) -> Option<u64> {
        let confirmed = self.confirmed?;
        (now.since(confirmed) < self.times.validity).then_some(self.term)
    }

    /// The fencing number, while this instance may send orders.
    pub fn fencing(&self, now: MonotonicTime) -> Option<u64> {
        let term = self.leading_term(now)?;
        let has_waited = self.remaining(now).is_zero() || is_planted("order_without_pause");
        (has_waited || term == FIRST_TERM).then_some(term)
    }

    /// Time until orders are allowed, provided that this instance keeps leading.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        (self.times.validity + self.times.pause).saturating_sub(now.since(self.began))
    }
}
