//! When the right to order engines begins and ends.

use std::time::Duration;

use wheel_seams::is_planted;
use wheel_types::MonotonicTime;

/// The term of a group's first election: its leader has no predecessor to wait for, and no other leader ever
/// has this term.
pub(crate) const FIRST_TERM: u64 = 1;

/// How long the right lasts and what a new holder waits for.
#[derive(Clone, Copy, Debug)]
pub struct RightTimes {
    /// How long a confirmation by a majority carries.
    pub span: Duration,
    /// Time between the last order of one holder and the first of the next.
    pub pause: Duration,
}

/// The right of one instance, from the confirmations of its leadership; times are passed in, from a clock that
/// goes on while the machine is suspended.
///
/// A confirmation carries for [`RightTimes::span`] from the moment at which it was asked for. A new leader was
/// voted for by a majority after the old one's last confirmation, so that it has the right alone once the span
/// and the pause have passed since its own first one. The term, which a durable vote raises, is the fencing
/// number.
#[derive(Clone, Copy, Debug)]
pub struct RightLedger {
    times: RightTimes,
    term: u64,
    /// When this term was first confirmed.
    began: MonotonicTime,
    /// When the last confirmation was asked for.
    confirmed: Option<MonotonicTime>,
}

impl RightLedger {
    /// The ledger of an instance that has no right yet.
    pub fn new(times: RightTimes) -> Self {
        Self { times, term: 0, began: MonotonicTime::default(), confirmed: None }
    }

    /// How long a confirmation carries.
    pub fn span(&self) -> Duration {
        self.times.span
    }

    /// Takes a confirmation of `term` over that was asked for at `asked` and came at `now`. True if the term
    /// begins with it.
    pub fn confirm(&mut self, term: u64, asked: MonotonicTime, now: MonotonicTime) -> bool {
        let begins = self.term != term || self.confirmed.is_none();
        if begins {
            self.term = term;
            self.began = now;
        }
        self.confirmed = Some(asked);
        begins
    }

    /// Gives the right up.
    pub fn release(&mut self) {
        self.confirmed = None;
    }

    /// The term, while this instance leads for sure; it may not be allowed to order yet.
    pub fn leading_term(&self, now: MonotonicTime) -> Option<u64> {
        let confirmed = self.confirmed?;
        (now.since(confirmed) < self.times.span).then_some(self.term)
    }

    /// The fencing number, while this instance may order.
    pub fn fencing(&self, now: MonotonicTime) -> Option<u64> {
        let term = self.leading_term(now)?;
        let has_waited = self.remaining(now).is_zero() || is_planted("order_without_pause");
        (has_waited || term == FIRST_TERM).then_some(term)
    }

    /// How long until orders are allowed, as far as this instance goes on leading.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        (self.times.span + self.times.pause).saturating_sub(now.since(self.began))
    }
}
