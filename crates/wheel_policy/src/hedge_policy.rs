//! When a second copy of a request is worth sending.

use std::time::Duration;

use wheel_types::{MonotonicTime, RequestRank, UpstreamName};

use crate::RetryBudget;

/// A request that has waited for its first byte.
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
    /// The other replica that a copy would go to.
    pub other: UpstreamName,
}

/// Whether to send a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeAnswer {
    /// Send a copy to the other replica now.
    Send,
    /// Ask again at this time.
    Wait(MonotonicTime),
    /// Don't.
    Never,
}

/// Hedges only idempotent requests of the most urgent rank, late, and within the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgePolicy {
    /// How long the first copy gets at least; about the 95th percentile of first bytes.
    pub delay: Duration,
    /// Least time before the deadline at which a copy is still of use.
    pub least_slack: Duration,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self { delay: Duration::from_millis(500), least_slack: Duration::from_millis(200) }
    }
}

impl HedgePolicy {
    /// Decides, and spends one retry from the budget if the answer is [`HedgeAnswer::Send`].
    pub fn decide(
        &self,
        now: MonotonicTime,
        query: &HedgeQuery,
        budget: &mut RetryBudget,
    ) -> HedgeAnswer {
        let due = query.sent + self.delay;
        match query {
            query if !query.idempotent || query.rank.index() != 0 => HedgeAnswer::Never,
            query if now + self.least_slack > query.deadline => HedgeAnswer::Never,
            _ if now < due => HedgeAnswer::Wait(due),
            query if budget.try_retry(&query.other) => HedgeAnswer::Send,
            _ => HedgeAnswer::Never,
        }
    }
}
