//! Charges requests to the allowances of their teams.

use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, histogram};
use tokio::time::Instant;
use wheel_policy::{AllowanceQuery, TakenUnits, UseId};
use wheel_seams::boot_now;

use crate::FleetState;
use crate::allowance_table::AllowanceAnswer;
use crate::arrived_request::ArrivedRequest;
use crate::request_log::RequestLog;
use crate::upstream_search::MIN_ANSWER_TIME;

/// Shortest time for which a request waits for its allowance, if its deadline allows that. Requests
/// with longer objectives wait up to their objective: answered later, they are worth little, and
/// their callers had better come back.
const MIN_MAX_WAIT: Duration = Duration::from_millis(500);

/// The units that a request uses of its team's allowance. Dropped, they count as used.
pub(crate) struct AllowanceCharge {
    state: Arc<FleetState>,
    /// `None` for a request without a limited team, and after a refund.
    taken: Option<TakenUnits>,
}

impl AllowanceCharge {
    /// Gives back the units: the request certainly didn't run and won't be sent any more with them.
    pub(crate) fn refund(mut self) {
        if let Some(taken) = self.taken.take() {
            self.state.allowance_table().refund(taken);
        }
    }

    /// Whether the request may be sent with it now.
    pub(crate) fn is_fresh(&self) -> bool {
        self.taken.as_ref().is_none_or(|taken| taken.is_fresh(boot_now()))
    }
}

impl Drop for AllowanceCharge {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.take() {
            let label = self.state.allowance_table().label(&taken.team);
            counter!("wheel_allowance_used_total", "team" => label).increment(taken.cost);
        }
    }
}

/// Why a request has no allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AllowanceRefusal {
    /// When it would have, as far as can be told.
    pub(crate) retry_after: Duration,
}

/// Lets requests through that their teams' allowances permit.
pub(crate) struct AllowanceGate<'a> {
    pub(crate) state: &'a Arc<FleetState>,
    pub(crate) log: &'a RequestLog,
    /// The end of the time in which the request can be answered.
    pub(crate) deadline: Instant,
}

impl AllowanceGate<'_> {
    /// Charges a request to its team's allowance, as soon as that permits. A request without a
    /// limited team isn't charged.
    ///
    /// # Errors
    /// The request can't have its units in time.
    pub(crate) async fn acquire(
        &self,
        arrived: &ArrivedRequest,
    ) -> Result<AllowanceCharge, AllowanceRefusal> {
        let Some(query) = self.query(arrived) else { return Ok(self.charge(None)) };
        let (id, receiver) = match self.state.allowance_table().ask(&query) {
            AllowanceAnswer::Taken(taken) => return Ok(self.charge(Some(taken))),
            AllowanceAnswer::Refused(after) => return Err(self.refuse(&query, after)),
            AllowanceAnswer::Waiting(id, receiver) => (id, receiver),
        };
        self.log.step("allowance_waits", &format!("{} units", query.cost));
        let began = Instant::now();
        let mut wait = AllowanceWaitGuard { state: self.state, team: &query.team, id, receiver };
        let outcome = tokio::time::timeout(query.max_wait, &mut wait.receiver).await;
        histogram!("wheel_allowance_wait_seconds").record(began.elapsed().as_secs_f64());
        match outcome {
            Ok(Ok(taken)) => Ok(self.charge(Some(taken))),
            Ok(Err(_)) | Err(_) => {
                let after = wait.leave();
                Err(self.refuse(&query, after))
            }
        }
    }

    /// Charges a request anew that was charged too long ago for a send, if that is possible at once.
    pub(crate) fn try_acquire(&self, arrived: &ArrivedRequest) -> Option<AllowanceCharge> {
        let Some(query) = self.query(arrived) else { return Some(self.charge(None)) };
        match self.state.allowance_table().ask(&query) {
            AllowanceAnswer::Taken(taken) => Some(self.charge(Some(taken))),
            AllowanceAnswer::Waiting(id, receiver) => {
                drop(AllowanceWaitGuard { state: self.state, team: &query.team, id, receiver });
                None
            }
            AllowanceAnswer::Refused(_) => None,
        }
    }

    fn charge(&self, taken: Option<TakenUnits>) -> AllowanceCharge {
        AllowanceCharge { state: Arc::clone(self.state), taken }
    }

    fn query(&self, arrived: &ArrivedRequest) -> Option<AllowanceQuery> {
        let team = arrived.identity.team.as_ref().filter(|team| team.allowance.is_limited())?;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let max_wait = arrived.route.objective.max(MIN_MAX_WAIT);
        Some(AllowanceQuery {
            team: Arc::clone(&team.name),
            allowance: team.allowance,
            version: arrived.active.config.version,
            rank: AllowanceQuery::rank_of(arrived.route.objective),
            cost: team.allowance.cost(arrived.request.tokens),
            max_wait: max_wait.min(left.saturating_sub(MIN_ANSWER_TIME)),
        })
    }

    fn refuse(&self, query: &AllowanceQuery, retry_after: Duration) -> AllowanceRefusal {
        let label = self.state.allowance_table().label(&query.team);
        counter!("wheel_allowance_refusals_total", "team" => label).increment(1);
        AllowanceRefusal { retry_after }
    }
}

/// Ends the wait of a request when it is dropped, also if its caller leaves.
struct AllowanceWaitGuard<'a> {
    state: &'a Arc<FleetState>,
    team: &'a str,
    id: UseId,
    receiver: tokio::sync::oneshot::Receiver<TakenUnits>,
}

impl AllowanceWaitGuard<'_> {
    fn leave(&mut self) -> Duration {
        self.state.allowance_table().leave(self.team, self.id, &mut self.receiver)
    }
}

impl Drop for AllowanceWaitGuard<'_> {
    fn drop(&mut self) {
        self.leave();
    }
}
