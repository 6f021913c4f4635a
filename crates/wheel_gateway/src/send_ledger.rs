//! The sends of one request.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::Instant;
use wheel_ingress::DrainDeadline;
use wheel_route::{EngineId, EngineInfo, FleetView};
use wheel_seams::is_planted;
use wheel_types::UpstreamName;

use crate::allowance_gate::{AllowanceCharge, AllowanceGate, AllowanceRefusal};
use crate::arrived_request::ArrivedRequest;
use crate::no_upstream::NoUpstream;
use crate::proxy_context::ProxyContext;
use crate::request_log::{RequestLog, RequestPhase};
use crate::stay_reason::StayReason;
use crate::stream_reader::StreamFault;
use crate::tried_upstreams::TriedUpstreams;
use crate::upstream_search::{MIN_ANSWER_TIME, UpstreamSearch};
use crate::wait_guard::WaitGuard;
use crate::{GenerationRequest, PromptPart};

/// Minimum silence of an upstream after which another one is looked for; sound ones may pause.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum number of sends refused as not run after which the request may be sent again.
const MAX_REJECTED: u32 = 3;

/// A request with the outcomes of its sends, which decide whether and where it is sent next.
pub(crate) struct SendLedger {
    pub(crate) context: Arc<ProxyContext>,
    pub(crate) arrived: ArrivedRequest,
    pub(crate) service: Arc<str>,
    pub(crate) tried: TriedUpstreams,
    /// Sends after which the request may have run.
    pub(crate) possible_runs: u32,
    /// Sends that upstreams refused as not run, or that never left this instance.
    pub(crate) rejected: u32,
    /// Whether the last send never left this instance, so that the next one is no retry.
    pub(crate) is_unsent: bool,
    /// Whether a send is in progress whose outcome is unknown.
    pub(crate) is_sending: bool,
    /// The upstream of the last send, and when that began.
    pub(crate) last_send: Option<(EngineId, Instant)>,
    /// The upstream for which the request has left one that is silent.
    pub(crate) replacement: Option<EngineInfo>,
    /// The silent upstream that the request has left, until it may have run at another one.
    pub(crate) left: Option<EngineId>,
    /// Whether only the present upstream can deliver the rest of the stream.
    pub(crate) has_to_stay: bool,
    /// What is charged to the team's allowance for this request.
    pub(crate) charge: Option<AllowanceCharge>,
    pub(crate) log: RequestLog,
}

impl SendLedger {
    /// No send yet. Picks one of the route's services by weight.
    pub(crate) fn begin(
        context: Arc<ProxyContext>,
        arrived: ArrivedRequest,
        log: RequestLog,
    ) -> Self {
        let route = &arrived.route;
        let service = route.pick_service(rand::rng().random()).cloned().unwrap_or_default();
        let (now, ingress_count) = (context.now(), context.state.view().ingress_count);
        {
            let mut retries = context.retries.lock();
            retries.set_instances(now, ingress_count);
            retries.record_request(now, &UpstreamName::from(&*service));
        }
        let mut ledger = Self {
            context,
            arrived,
            service,
            tried: TriedUpstreams::default(),
            possible_runs: 0,
            rejected: 0,
            is_unsent: false,
            is_sending: false,
            last_send: None,
            replacement: None,
            left: None,
            has_to_stay: false,
            charge: None,
            log,
        };
        ledger.log.set_service(&ledger.service);
        ledger
    }

    /// Charges the request to its team's allowance unless that has happened. Until a send may have
    /// run it, the charge must be a recent one.
    ///
    /// # Errors
    /// The request can't have its units in time.
    pub(crate) async fn acquire_allowance(&mut self) -> Result<(), AllowanceRefusal> {
        if self.is_charged() {
            return Ok(());
        }
        self.refund_charge();
        self.log.enter(RequestPhase::Charging);
        self.charge = Some(self.gate().acquire(&self.arrived).await?);
        Ok(())
    }

    /// Whether the request may be sent now, with a charge that is renewed if it is an old one.
    pub(crate) fn renew_allowance(&mut self) -> bool {
        if !self.is_charged() {
            self.refund_charge();
            self.charge = self.gate().try_acquire(&self.arrived);
        }
        self.charge.is_some()
    }

    /// Gives back what was charged: the request hasn't run and won't.
    pub(crate) fn refund_charge(&mut self) {
        if let Some(charge) = self.charge.take() {
            charge.refund();
        }
    }

    fn is_charged(&self) -> bool {
        self.charge.as_ref().is_some_and(|charge| self.possible_runs > 0 || charge.is_fresh())
    }

    fn gate(&self) -> AllowanceGate<'_> {
        AllowanceGate { state: &self.context.state, log: &self.log, deadline: self.deadline() }
    }

    /// Has the next send go to `replacement`.
    pub(crate) fn leave_for(&mut self, replacement: EngineInfo) {
        self.replacement = Some(replacement);
        self.left = self.last_send.as_ref().map(|(engine, _)| engine.clone());
    }

    /// Another upstream that can serve the request at once, with a retry spent for it.
    ///
    /// # Errors
    /// Why the request stays.
    pub(crate) fn find_replacement(&self) -> Result<EngineInfo, StayReason> {
        self.check_leave()?;
        if self.remaining_retries() < 1.0 {
            return Err(StayReason::NoRetry);
        }
        let info = self.search().find_now().ok_or(StayReason::NoUpstream)?;
        if self.spend_retry() { Ok(info) } else { Err(StayReason::NoRetry) }
    }

    /// Has the request stay at its upstream, since no other one can deliver the rest of the stream.
    pub(crate) fn stay(&mut self) {
        self.has_to_stay = true;
    }

    /// Whether the request may leave an upstream that is still working on it, for another one.
    fn check_leave(&self) -> Result<(), StayReason> {
        let runs = self.possible_runs + u32::from(self.is_sending);
        let has_attempts = runs < self.arrived.route.max_attempts && self.rejected <= MAX_REJECTED;
        match self.arrived.route.kind {
            kind if !kind.is_repeatable() => Err(StayReason::NotRepeatable),
            _ if self.has_to_stay => Err(StayReason::NoEventId),
            _ if !has_attempts => Err(StayReason::NoAttempt),
            _ if Instant::now() + MIN_ANSWER_TIME >= self.deadline() => Err(StayReason::NoTime),
            _ => Ok(()),
        }
    }

    /// Counts the request as waiting for its model, so that it is loaded elsewhere if the silent
    /// upstream is down.
    pub(crate) fn begin_wait(&self) -> Option<WaitGuard> {
        let key = self.search().demand_key().filter(|_| self.check_leave().is_ok())?;
        Some(WaitGuard::begin(&self.context.state, key))
    }

    /// Subscribes to changes of the fleet.
    pub(crate) fn watch_view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.context.state.watch_view()
    }

    pub(crate) fn search(&self) -> UpstreamSearch<'_> {
        UpstreamSearch {
            context: &self.context,
            route: &self.arrived.route,
            request: &self.arrived.request,
            rank: self.arrived.identity.rank,
            team: self.arrived.identity.team.as_ref().map(|team| &team.name),
            service: &self.service,
            tried: &self.tried,
            deadline: self.arrived.deadline,
            is_resumption: false,
            log: &self.log,
        }
    }

    /// The replacement of a silent upstream, or the one that a search finds.
    pub(crate) async fn next_upstream(
        &mut self,
        is_resumption: bool,
    ) -> Result<EngineInfo, NoUpstream> {
        self.log.enter(RequestPhase::Searching);
        match self.replacement.take() {
            Some(info) => Ok(info),
            None => UpstreamSearch { is_resumption, ..self.search() }.find().await,
        }
    }

    /// Whether another send is allowed by kind, attempts, budget and time. The budget limits the
    /// sends that reach upstreams beyond the first one of each request; a send that never left this
    /// instance doesn't count.
    pub(crate) fn may_send_again(&self) -> bool {
        let is_repeatable = self.arrived.route.kind.is_repeatable()
            || self.possible_runs == 0
            || is_planted("repeat_unsafe");
        let has_attempts = is_planted("attempts_unlimited")
            || self.possible_runs < self.arrived.route.max_attempts
                && self.rejected <= MAX_REJECTED;
        let has_time = Instant::now() + MIN_ANSWER_TIME / 2 < self.deadline();
        is_repeatable && has_attempts && has_time && (self.is_unsent || self.spend_retry())
    }

    /// The retries that the service's budget has left.
    fn remaining_retries(&self) -> f64 {
        let service = UpstreamName::from(&*self.service);
        self.context.retries.lock().remaining(self.context.now(), &service)
    }

    /// Takes a retry from the service's budget; false if there is none left.
    fn spend_retry(&self) -> bool {
        let service = UpstreamName::from(&*self.service);
        let now = self.context.now();
        let (is_allowed, remaining) = {
            let mut retries = self.context.retries.lock();
            (retries.try_retry(now, &service), retries.remaining(now, &service))
        };
        let outcome = if is_allowed { "allowed" } else { "refused" };
        counter!(
            "wheel_retries_total",
            "service" => service.as_str().to_owned(), "outcome" => outcome
        )
        .increment(1);
        if !is_allowed {
            self.log.step("retry_refused", &format!("{remaining:.2} retries left"));
        }
        is_allowed
    }

    /// Records that the upstream closed the connection under this request.
    pub(crate) fn record_broken(&self, reason: &str) {
        self.log.broke(reason);
        if let Some((engine, sent)) = &self.last_send {
            self.context.state.measures.prefixes.lock().forget(engine);
            self.context.state.record_crash(engine, *sent, self.shared_parts());
        }
    }

    /// Records that the stream of an upstream ends as `step`.
    pub(crate) fn record_fault(
        &mut self,
        step: &'static str,
        fault: &StreamFault,
        partial_bytes: usize,
    ) {
        self.log.record_partial_event(partial_bytes);
        if let Some(reason) = fault.broken {
            self.record_broken(reason);
        }
        self.log.step(step, &fault.reason);
        if fault.is_no_answer {
            self.record_false_answer(&fault.reason);
        }
    }

    /// Records that the answer whose head has arrived is none.
    pub(crate) fn record_false_answer(&self, reason: &str) {
        let Some((engine, _)) = &self.last_send else { return };
        counter!("wheel_false_answers_total").increment(1);
        self.log.step("false_answer", reason);
        let name = UpstreamName::from(&*engine.name);
        self.context.outliers.lock().observe_false_answer(self.context.now(), &name);
    }

    /// Records that this request ended well.
    pub(crate) fn record_sound(&self) {
        self.context.state.record_sound(self.shared_parts());
    }

    /// The parts of the prompt that other requests may share.
    fn shared_parts(&self) -> &[PromptPart] {
        let generation = self.arrived.request.generation.as_ref();
        generation.map_or(&[], GenerationRequest::shared_parts)
    }

    /// The drain deadline of the instance.
    pub(crate) fn drain(&self) -> DrainDeadline {
        self.context.drain.clone()
    }

    /// The request's deadline, or the drain deadline if that is earlier.
    pub(crate) fn deadline(&self) -> Instant {
        self.context.drain.bound(self.arrived.deadline)
    }

    /// Silence after which another upstream is looked for, with `left` until the deadline.
    pub(crate) fn silence_limit(&self, left: Duration, has_begun: bool) -> Duration {
        let limit = (self.arrived.route.objective * 3).max(MIN_SILENCE_LIMIT);
        let pause = self.arrived.route.gap.map_or(limit, |gap| gap * 4);
        if has_begun { pause.max(limit) } else { limit.min(left * 2 / 3) }
    }
}
