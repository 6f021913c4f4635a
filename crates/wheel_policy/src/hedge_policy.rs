//! Decides when to send a second copy of a request (a hedge).

use std::time::Duration;

use wheel_types::{MonotonicTime, RequestRank, UpstreamName};

use crate::RetryBudget;

/// A request that waits for its first byte.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeQuery {
    /// Its rank.
    pub rank: RequestRank,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// When it was sent.
    pub sent: MonotonicTime,
    /// When its first byte is due.
    pub deadline: MonotonicTime,
    /// The replica that the copy would be sent to.
    pub hedge_upstream: UpstreamName,
}

/// Whether to send a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeDecision {
    /// Send the copy now.
    Send,
    /// Decide again at this time.
    Wait(MonotonicTime),
    /// Don't send a copy.
    Never,
}

/// Hedges only idempotent requests of the most urgent rank, after a delay, and within the retry
/// budget.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgePolicy {
    /// Delay before the second copy; about the 95th percentile of the time to the first byte.
    pub delay: Duration,
    /// Minimum time left until the deadline for a copy to be useful.
    pub min_slack: Duration,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self { delay: Duration::from_millis(500), min_slack: Duration::from_millis(200) }
    }
}

impl HedgePolicy {
    /// Decides, and spends one retry of the budget if the result is [`HedgeDecision::Send`].
    pub fn decide(
        &self,
        now: MonotonicTime,
        query: &HedgeQuery,
        budget: &mut RetryBudget,
    ) -> HedgeDecision {
        let due = query.sent + self.delay;
        match query {
            query if !query.idempotent || query.rank.index() != 0 => HedgeDecision::Never,
            query if now + self.min_slack > query.deadline => HedgeDecision::Never,
            _ if now < due => HedgeDecision::Wait(due),
            query if budget.try_retry(&query.hedge_upstream) => HedgeDecision::Send,
            _ => HedgeDecision::Never,
        }
    }
}
