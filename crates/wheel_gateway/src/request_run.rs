//! Processing of one request from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Response, StatusCode, header};
use metrics::counter;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::Instant;
use wheel_ingress::{AnswerBody, DrainDeadline, full_body};
use wheel_route::{EngineId, EngineInfo, FleetView, RouteSpec};
use wheel_seams::{boot_now, is_planted};
use wheel_types::UpstreamName;
use wheel_upstream::{
    ArrivalClock, CallFailure, CallTimeouts, FailureKind, ServiceAnswer, ServiceCall,
};

use crate::media_type::MediaType;
use crate::proxy_context::ProxyContext;
use crate::request_log::{RequestLog, RequestPhase};
use crate::send_classifier::{SendClass, SendClassifier};
use crate::stall_watch::StallWatch;
use crate::stream_reader::{StreamFault, StreamKind, StreamReader};
use crate::tried_upstreams::TriedUpstreams;
use crate::upstream_search::{MIN_ANSWER_TIME, NoUpstream, UpstreamSearch};
use crate::wait_guard::WaitGuard;
use crate::{
    ActiveConfig, ForwardHeaders, GenerationRequest, IngressRequest, PromptPart, RequestGuard,
};

/// Time limit for connecting to an upstream: three round trips between data centres, and the
/// scheduling delay of a busy machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time from a request for a model that isn't loaded until it has been loaded from a disk and is
/// known here.
const LOAD_TIME: Duration = Duration::from_millis(1_000);
/// Demand weight of a request whose objective leaves time for a load: the load still costs an
/// order, and waits may add up.
const REDUCED_WEIGHT: f64 = 0.25;
/// How much earlier than the drain deadline an upstream's time ends, so that its refusal still
/// arrives: a round trip between data centres, and the scheduling delay of a busy instance.
const REFUSAL_TIME: Duration = Duration::from_millis(150);
/// Minimum silence of an upstream after which another one is looked for; sound ones may pause.
const MIN_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum number of sends refused as not run after which the request may be sent again.
const MAX_REJECTED: u32 = 3;
/// Maximum size of an answer that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// A received request, with the configuration that was in force when it arrived.
pub(crate) struct ArrivedRequest {
    pub(crate) active: Arc<ActiveConfig>,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) request: IngressRequest,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// A request in progress, with the outcomes of its sends so far.
pub(crate) struct RequestRun {
    context: Arc<ProxyContext>,
    pub(crate) arrived: ArrivedRequest,
    service: Arc<str>,
    pub(crate) tried: TriedUpstreams,
    /// Sends after which the request may have run.
    pub(crate) possible_runs: u32,
    /// Sends that upstreams refused as not run, or that never left this instance.
    rejected: u32,
    /// Whether the last send never left this instance, so that the next one is no retry.
    is_unsent: bool,
    /// Whether a send is in progress whose outcome is unknown.
    pub(crate) is_sending: bool,
    /// The upstream of the last send, and when that began.
    last_send: Option<(EngineId, Instant)>,
    /// The upstream for which the request has left one that is silent.
    replacement: Option<EngineInfo>,
    /// The silent upstream that the request has left, until it may have run at another one.
    left: Option<EngineId>,
    /// Whether only the present upstream can deliver the rest of the stream.
    has_to_stay: bool,
    /// An upstream's answer with a server error, used if no other answer is received.
    pub(crate) failure: Option<Response<Bytes>>,
    pub(crate) log: RequestLog,
}

/// The outcome of serving a request.
pub(crate) enum ServeOutcome {
    /// The upstream's complete answer.
    Complete(Response<AnswerBody>),
    /// The head of a stream, whose first events have arrived or whose body has ended.
    Stream(Box<HeldStream>),
    /// There is no upstream to send to.
    NoUpstream(NoUpstream),
    /// No send was answered, and no further send is allowed.
    NoAnswer,
    /// The drain deadline has passed.
    Drained,
}

/// An upstream's stream whose head the caller hasn't been given.
pub(crate) struct HeldStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) reader: StreamReader,
}

/// The outcome of one send.
pub(crate) enum SendOutcome {
    /// The upstream's answer, with the guard that counts the request as open.
    Answer(Box<ServiceAnswer>, RequestGuard),
    /// The request certainly didn't run.
    Rejected,
    /// The request may have run, and there is no answer that can be forwarded.
    Broken,
}

impl RequestRun {
    /// Picks one of the route's services by weight.
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
        let mut run = Self {
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
            failure: None,
            log,
        };
        run.log.set_service(&run.service);
        run
    }

    /// Serves the request, at the latest until the drain deadline.
    pub(crate) async fn serve(&mut self) -> ServeOutcome {
        if let Some(key) = self.search().demand_key() {
            let weight =
                if self.arrived.route.objective < LOAD_TIME { 1.0 } else { REDUCED_WEIGHT };
            self.context.state.record_demand(&key, weight);
        }
        let drain = self.context.drain.clone();
        tokio::select! {
            biased;
            outcome = self.find_answer() => outcome,
            () = drain.passed() => ServeOutcome::Drained,
        }
    }

    /// Sends the request until it has an answer or may not be sent again.
    async fn find_answer(&mut self) -> ServeOutcome {
        loop {
            let info = match self.next_upstream(false).await {
                Ok(info) => info,
                Err(_) if self.failure.is_some() => break,
                Err(none) => return ServeOutcome::NoUpstream(none),
            };
            match self.send(&info, self.arrived.request.resume_after).await {
                SendOutcome::Answer(answer, guard) if self.arrived.route.kind.is_stream() => {
                    // With its head forwarded, a request can't be refused or given up any more.
                    if let Some(held) = self.hold_stream(*answer, guard).await {
                        return ServeOutcome::Stream(Box::new(held));
                    }
                }
                SendOutcome::Answer(answer, guard) => match self.complete(*answer, guard).await {
                    Some(response) if !response.status().is_server_error() => {
                        return ServeOutcome::Complete(response.map(full_body));
                    }
                    Some(response) => self.failure = Some(response),
                    None => {}
                },
                SendOutcome::Rejected | SendOutcome::Broken => {}
            }
            if self.replacement.is_none() && !self.may_send_again() {
                break;
            }
            self.log.step("send_again", "last_send_failed");
        }
        let failure = self.failure.take().map(|failure| failure.map(full_body));
        failure.map_or(ServeOutcome::NoAnswer, ServeOutcome::Complete)
    }

    /// Reads a stream up to its first events; `None` if it broke off before them.
    async fn hold_stream(
        &mut self,
        answer: ServiceAnswer,
        guard: RequestGuard,
    ) -> Option<HeldStream> {
        self.log.enter(RequestPhase::Answering);
        let ServiceAnswer { status, mut headers, body, .. } = answer;
        let kind = match self.arrived.route.kind {
            _ if !status.is_success() || self.arrived.head.method == Method::HEAD => {
                StreamKind::Opaque
            }
            kind if kind.is_repeatable() => StreamKind::Resumable,
            _ => StreamKind::Final,
        };
        if kind == StreamKind::Resumable {
            headers.remove(header::CONTENT_LENGTH);
        }
        let last = self.arrived.request.resume_after;
        let dialect = Arc::clone(&self.context.dialect);
        let mut reader = StreamReader::begin(body, guard, dialect, kind, last);
        let watch = self.stall_watch(reader.arrivals(), false);
        let filled = match kind {
            // Only its own upstream has the rest of a body that isn't made of events.
            StreamKind::Opaque => Ok(reader.fill().await),
            _ => watch.wait(reader.fill()).await,
        };
        match filled {
            Ok(Ok(())) => Some(HeldStream { status, headers, reader }),
            Err(replacement) => {
                self.leave_for(replacement);
                None
            }
            Ok(Err(fault)) => {
                self.record_fault("stream_broke", &fault, reader.partial_len());
                None
            }
        }
    }

    /// Finds an upstream that goes on with a stream of the type `media_type` after the event `last`.
    pub(crate) async fn resume(
        &mut self,
        last: Option<u64>,
        media_type: &MediaType,
    ) -> Option<StreamReader> {
        while self.replacement.is_some() || self.may_send_again() {
            let info = match self.next_upstream(true).await {
                Ok(info) => info,
                Err(none) => {
                    self.log.step("not_resumed", none.reason);
                    return None;
                }
            };
            match self.send(&info, last.or(self.arrived.request.resume_after)).await {
                SendOutcome::Answer(answer, _) if !answer.status.is_success() => {
                    self.log.step("continuation_refused", answer.status.as_str());
                }
                SendOutcome::Answer(answer, _)
                    if !media_type.allows(&MediaType::of(&answer.headers)) =>
                {
                    self.log.step("continuation_refused", "another media type");
                }
                SendOutcome::Answer(answer, guard) => {
                    self.log.enter(RequestPhase::Answering);
                    let dialect = Arc::clone(&self.context.dialect);
                    return Some(StreamReader::resume(answer.body, guard, dialect, last));
                }
                SendOutcome::Rejected | SendOutcome::Broken => {}
            }
        }
        None
    }

    /// The replacement of a silent upstream, or the one that a search finds.
    async fn next_upstream(&mut self, is_resumption: bool) -> Result<EngineInfo, NoUpstream> {
        self.log.enter(RequestPhase::Searching);
        match self.replacement.take() {
            Some(info) => Ok(info),
            None => UpstreamSearch { is_resumption, ..self.search() }.find().await,
        }
    }

    /// Has the next send go to `replacement`.
    pub(crate) fn leave_for(&mut self, replacement: EngineInfo) {
        self.replacement = Some(replacement);
        self.left = self.last_send.as_ref().map(|(engine, _)| engine.clone());
    }

    /// Another upstream that can serve the request at once, with a retry spent for it.
    pub(crate) fn find_replacement(&self) -> Option<EngineInfo> {
        if !self.may_leave() || self.remaining_retries() < 1.0 {
            return None;
        }
        let info = self.search().find_now()?;
        self.spend_retry().then_some(info)
    }

    /// Has the request stay at its upstream, since no other one can deliver the rest of the stream.
    pub(crate) fn stay(&mut self) {
        self.has_to_stay = true;
    }

    /// Whether the request may leave an upstream that is still working on it, for another one.
    fn may_leave(&self) -> bool {
        let runs = self.possible_runs + u32::from(self.is_sending);
        self.arrived.route.kind.is_repeatable()
            && !self.has_to_stay
            && runs < self.arrived.route.max_attempts
            && self.rejected <= MAX_REJECTED
            && Instant::now() + MIN_ANSWER_TIME < self.deadline()
    }

    /// Counts the request as waiting for its model, so that it is loaded elsewhere if the silent
    /// upstream is down.
    pub(crate) fn begin_wait(&self) -> Option<WaitGuard> {
        let key = self.search().demand_key().filter(|_| self.may_leave())?;
        Some(WaitGuard::begin(&self.context.state, key))
    }

    /// Subscribes to changes of the fleet.
    pub(crate) fn watch_view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.context.state.watch_view()
    }

    /// Watches the present upstream for silence; `has_begun` is whether the body has.
    pub(crate) fn stall_watch(
        &self,
        arrivals: Option<ArrivalClock>,
        has_begun: bool,
    ) -> StallWatch<'_> {
        let left = self.arrived.deadline.saturating_duration_since(Instant::now());
        StallWatch { run: self, limit: self.silence_limit(left, has_begun), arrivals }
    }

    pub(crate) fn search(&self) -> UpstreamSearch<'_> {
        UpstreamSearch {
            context: &self.context,
            route: &self.arrived.route,
            request: &self.arrived.request,
            service: &self.service,
            tried: &self.tried,
            deadline: self.arrived.deadline,
            is_resumption: false,
            log: &self.log,
        }
    }

    /// Whether another send is allowed by kind, attempts, budget and time. The budget limits the
    /// sends that reach upstreams beyond the first one of each request; a send that never left this
    /// instance doesn't count.
    fn may_send_again(&self) -> bool {
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
    fn deadline(&self) -> Instant {
        self.context.drain.bound(self.arrived.deadline)
    }

    /// Sends once and reads the head of the answer.
    async fn send(&mut self, info: &EngineInfo, resume_after: Option<u64>) -> SendOutcome {
        self.tried.push(info.id.clone());
        self.log.sent(&info.id.name);
        let tokens =
            self.arrived.request.generation.as_ref().map_or(0, |request| request.prompt_tokens);
        let guard = RequestGuard::begin(Arc::clone(&self.context.state), info.id.clone(), tokens);
        let spec = self.arrived.active.config.service(&self.service);
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let ingress_count = self.context.state.view().ingress_count;
        let client = self.context.upstreams.client(info, max_connections, ingress_count);
        let (began, sent) = (Instant::now(), boot_now());
        let name = UpstreamName::from(&*info.id.name);
        {
            let mut outliers = self.context.outliers.lock();
            if outliers.wants_probe(self.context.now(), &name) {
                outliers.begin_probe(self.context.now(), &name);
            }
        }
        self.last_send = Some((info.id.clone(), began));
        self.is_sending = true;
        let call = client.call(self.call(info, resume_after));
        let answer = self.stall_watch(None, false).wait(call).await;
        self.is_sending = false;
        let answer = match answer {
            Ok(answer) => answer,
            Err(replacement) => {
                let mut outliers = self.context.outliers.lock();
                outliers.observe(self.context.now(), &name, began.elapsed(), false);
                drop(outliers);
                self.possible_runs += 1;
                self.leave_for(replacement);
                return SendOutcome::Broken;
            }
        };
        if answer.as_ref().is_err_and(CallFailure::is_closed_by_upstream) {
            self.record_broken("no_answer");
        }
        let is_unreachable = matches!(
            &answer,
            Err(CallFailure {
                kind: FailureKind::Connect { .. } | FailureKind::ConnectTimeout,
                ..
            })
        );
        let class =
            SendClassifier { context: &self.context, log: &self.log, sent }.classify(info, answer);
        let succeeded = !matches!(class, SendClass::Broken);
        let now = self.context.now();
        match is_unreachable {
            true => {
                self.context.reach.lock().record_failure(now, &info.id, &info.centre);
                self.context.state.record_stale_engine(&info.id);
            }
            false => self.context.reach.lock().record_success(&info.id, &info.centre),
        }
        self.context.outliers.lock().observe(now, &name, began.elapsed(), succeeded);
        self.is_unsent = matches!(class, SendClass::Unsent);
        let left = self.left.take();
        if !matches!(class, SendClass::Answer(_) | SendClass::Broken)
            && let Some(left) = &left
        {
            self.tried.forget(left);
        }
        match class {
            SendClass::Answer(answer) => {
                self.possible_runs += 1;
                self.log.head_arrived(answer.body.framing(), answer.body.arrivals());
                SendOutcome::Answer(answer, guard)
            }
            SendClass::Resting => {
                self.rejected += 1;
                self.tried.forget_last();
                SendOutcome::Rejected
            }
            SendClass::Absent => {
                self.rejected += 1;
                self.tried.record_absence();
                SendOutcome::Rejected
            }
            SendClass::Rejected | SendClass::Unsent => {
                self.rejected += 1;
                SendOutcome::Rejected
            }
            SendClass::Broken => {
                self.possible_runs += 1;
                SendOutcome::Broken
            }
        }
    }

    fn call(&self, info: &EngineInfo, resume_after: Option<u64>) -> ServiceCall {
        let ArrivedRequest { route, request, head, body, deadline, .. } = &self.arrived;
        let left = deadline.saturating_duration_since(Instant::now());
        let upstream_end = self.context.drain.end().and_then(|end| end.checked_sub(REFUSAL_TIME));
        let upstream_end = upstream_end.unwrap_or(*deadline);
        let forwarded = ForwardHeaders {
            time_left: left.min(upstream_end.saturating_duration_since(Instant::now())),
            target: Arc::clone(&info.id.name),
            urgency: request.generation.as_ref().map(|_| urgency_of(route.rank)),
            resume_after,
        };
        let mut headers = head.headers.clone();
        self.context.dialect.set_system_headers(&mut headers, &forwarded);
        let path = head.uri.path_and_query().cloned();
        ServiceCall {
            request_id: request.id.clone(),
            method: head.method.clone(),
            path: path.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
            headers,
            body: body.clone(),
            idempotency_key: None,
            idempotent: route.kind.is_repeatable(),
            timeouts: self.timeouts(left),
        }
    }

    /// Timeouts of a send. Silence doesn't end it; the connection of a call that may be sent again
    /// is suspected meanwhile, so that later calls don't use connections as old.
    fn timeouts(&self, left: Duration) -> CallTimeouts {
        let all = CallTimeouts::default().connect(CONNECT_TIMEOUT).total(left);
        let all = all.first_byte(left).progress(left);
        if is_planted("silence_ends_answer") {
            return all.progress(MIN_ANSWER_TIME);
        }
        match self.arrived.route.kind.is_repeatable() {
            true => all.suspicion(self.silence_limit(left, false)),
            false => all,
        }
    }

    /// Silence after which another upstream is looked for, with `left` until the deadline.
    fn silence_limit(&self, left: Duration, has_begun: bool) -> Duration {
        let limit = (self.arrived.route.objective * 3).max(MIN_SILENCE_LIMIT);
        let pause = self.arrived.route.gap.map_or(limit, |gap| gap * 4);
        if has_begun { pause.max(limit) } else { limit.min(left * 2 / 3) }
    }

    /// The upstream's answer once it is complete; `None` if it was cut short.
    async fn complete(
        &mut self,
        mut answer: ServiceAnswer,
        _guard: RequestGuard,
    ) -> Option<Response<Bytes>> {
        self.log.enter(RequestPhase::Answering);
        let watch = self.stall_watch(Some(answer.body.arrivals().clone()), true);
        let collected = match watch.wait(answer.body.collect(MAX_BUFFERED_BYTES)).await {
            Ok(collected) => collected,
            Err(replacement) => {
                self.leave_for(replacement);
                return None;
            }
        };
        match collected {
            Ok(body) => {
                self.log.answered(answer.status, "answered");
                if answer.status.is_success() {
                    self.record_sound();
                }
                let mut response = Response::new(body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                Some(response)
            }
            Err(failure) => {
                self.log.step("answer_broke", &failure.to_string());
                if failure.is_closed_by_upstream() {
                    self.record_broken("answer_cut");
                }
                if failure.is_no_answer() {
                    self.record_false_answer(&failure.to_string());
                }
                None
            }
        }
    }
}

/// The engine's urgency for a rank. Ranks map to every second number, so that others fit between.
fn urgency_of(rank: u8) -> u8 {
    rank.saturating_mul(2).saturating_add(1).min(9)
}
