//! A request's wait for room at engines that hold its model.

use std::time::Duration;

use tokio::time::Instant;

use crate::no_upstream::NoUpstream;
use crate::room_gate::GateAnswer;
use crate::upstream_search::{CAPACITY_RETRY, MIN_ANSWER_TIME, UpstreamSearch};

/// The wait of one request, with the expected time as of the last change.
pub(crate) struct RoomWait<'a> {
    pub(crate) search: &'a UpstreamSearch<'a>,
    /// The expected time until the request is sent, if it is known.
    pub(crate) eta: Option<Duration>,
}

impl<'a> RoomWait<'a> {
    /// The wait that `answer` begins or goes on with.
    pub(crate) fn new(search: &'a UpstreamSearch<'a>, answer: &GateAnswer) -> Self {
        let eta = match answer {
            GateAnswer::Wait(eta) => *eta,
            GateAnswer::Refuse(eta) => Some(*eta),
            GateAnswer::Open | GateAnswer::Send(_) => None,
        };
        Self { search, eta }
    }

    /// When to stop waiting; an error if a wait is pointless.
    pub(crate) fn end(&self) -> Result<Instant, NoUpstream> {
        let end = self.search.context.drain.bound(self.search.deadline);
        match end.checked_sub(MIN_ANSWER_TIME) {
            Some(end) if end > Instant::now() => Ok(end),
            _ => Err(self.refusal()),
        }
    }

    /// The refusal of a request that finds no room in the time left.
    pub(crate) fn refusal(&self) -> NoUpstream {
        let deadline = self.search.deadline;
        let is_draining = self.search.context.drain.bound(deadline) < deadline;
        let reason = if is_draining { "draining" } else { "no_room_in_time" };
        NoUpstream { reason, retry_after: self.eta.unwrap_or(CAPACITY_RETRY), eta: self.eta }
    }

    /// Whether the expected wait ends after the request's objective, so that a load of its model
    /// elsewhere would help.
    pub(crate) fn exceeds_objective(&self) -> bool {
        let end = self.search.log.arrival() + self.search.route.objective;
        let left = end.saturating_duration_since(Instant::now());
        self.eta.is_none_or(|eta| eta > left)
    }

    /// Logs the wait, with its expected and its maximum time.
    pub(crate) fn log(&self, end: Instant) {
        let now = Instant::now();
        let wait = end.saturating_duration_since(now).as_millis();
        let left = self.search.deadline.saturating_duration_since(now).as_millis();
        let age = self.search.context.state.view_age().as_millis();
        let eta = self.eta.map(|eta| eta.as_millis().to_string());
        let eta = eta.as_deref().unwrap_or("unknown");
        let inputs =
            format!("room, eta_ms {eta}, wait_ms {wait}, left_ms {left}, view_age_ms {age}");
        self.search.log.step("waits", &inputs);
    }
}
