//! One request from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use rand::Rng;
use tokio::time::Instant;
use wheel_ingress::{AnswerBody, DrainDeadline, full_body};
use wheel_route::{EngineCard, RouteSpec};
use wheel_seams::is_planted;
use wheel_types::{MonotonicTime, UpstreamName};
use wheel_upstream::{CallFailure, CallTimeouts, FailureKind, ServiceAnswer, ServiceCall};

use crate::path_parts::PathParts;
use crate::request_log::{RequestLog, RequestPhase};
use crate::send_judge::{Judged, SendJudge};
use crate::tried_upstreams::TriedUpstreams;
use crate::upstream_search::{MIN_ANSWER_TIME, NoUpstream, UpstreamSearch};
use crate::{ActiveConfig, IngressRequest, LoadGuard, SendMark};

/// Time to connect to an upstream: three round trips between data centres and a busy machine's turn.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Time from a request for a model that isn't there until it is loaded from a disk and known here.
const LOAD_TIME: Duration = Duration::from_millis(1_000);
/// What a load costs a request whose objective allows for one: an order, and a wait that may add up.
const LATE_SHARE: f64 = 0.25;
/// How much earlier than this instance ends an upstream's time is over, so that its refusal still arrives: a
/// round trip between data centres, and a busy instance's turn.
const REFUSAL_TIME: Duration = Duration::from_millis(150);
/// Sends that an upstream refused as not run, before the request is refused.
const MAX_REJECTED: u32 = 3;
/// The largest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// A request that has been read, under the configuration that was in force when it came.
pub(crate) struct ArrivedRequest {
    pub(crate) active: Arc<ActiveConfig>,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) ask: IngressRequest,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}

/// A request on its way, with what became of its sends so far.
pub(crate) struct RequestRun {
    parts: Arc<PathParts>,
    pub(crate) arrived: ArrivedRequest,
    service: Arc<str>,
    pub(crate) tried: TriedUpstreams,
    /// Sends after which the request may have run.
    pub(crate) runs: u32,
    /// Sends that upstreams refused as not run, or that never left.
    rejected: u32,
    /// Whether the last send never left: the next one is no second arrival then.
    is_unsent: bool,
    /// Whether a send is under way of which nothing is known yet.
    pub(crate) is_sending: bool,
    /// An upstream's own failure, for the case that no other answer comes.
    pub(crate) failure: Option<Response<AnswerBody>>,
    pub(crate) log: RequestLog,
}

/// What the search for an answer came to.
pub(crate) enum ServeEnd {
    /// The upstream's whole answer.
    Whole(Response<AnswerBody>),
    /// The head of a stream, with what counts it as under way.
    Stream(Box<ServiceAnswer>, LoadGuard),
    /// There is no upstream to send to.
    NoUpstream(NoUpstream),
    /// No send gave an answer, and none is allowed any more.
    NoAnswer,
    /// The instance has to end.
    Drained,
}

/// What one send came to.
pub(crate) enum SendEnd {
    /// The upstream's own answer, with what counts it as under way.
    Answer(Box<ServiceAnswer>, LoadGuard),
    /// It certainly didn't run.
    Rejected,
    /// It may have run, and gave no answer that can be passed on.
    Broken,
}

impl RequestRun {
    /// Begins with one of the route's services, by their weights.
    pub(crate) fn begin(parts: Arc<PathParts>, arrived: ArrivedRequest, log: RequestLog) -> Self {
        let route = &arrived.route;
        let service = route.pick_service(rand::rng().random()).cloned().unwrap_or_default();
        parts.retries.lock().record_request(&UpstreamName::from(&*service));
        let mut run = Self {
            parts,
            arrived,
            service,
            tried: TriedUpstreams::default(),
            runs: 0,
            rejected: 0,
            is_unsent: false,
            is_sending: false,
            failure: None,
            log,
        };
        run.log.set_service(&run.service);
        run
    }

    /// Looks for an answer, at the latest until the instance has to end.
    pub(crate) async fn serve(&mut self) -> ServeEnd {
        if let Some(key) = self.search().demand_key() {
            let lost = if self.arrived.route.objective < LOAD_TIME { 1.0 } else { LATE_SHARE };
            self.parts.state.note_demand(&key, lost);
        }
        let drain = self.parts.drain.clone();
        tokio::select! {
            biased;
            end = self.find_answer() => end,
            () = drain.passed() => ServeEnd::Drained,
        }
    }

    /// Sends the request until it has an answer or may not be sent again.
    async fn find_answer(&mut self) -> ServeEnd {
        loop {
            self.log.enter(RequestPhase::Searching);
            let card = match self.search().find().await {
                Ok(card) => card,
                Err(_) if self.failure.is_some() => break,
                Err(none) => return ServeEnd::NoUpstream(none),
            };
            match self.send(&card, self.arrived.ask.resume_after).await {
                SendEnd::Answer(answer, guard) if self.arrived.route.kind.is_stream() => {
                    return ServeEnd::Stream(answer, guard);
                }
                SendEnd::Answer(answer, guard) => match self.whole(*answer, guard).await {
                    Some(response) if !response.status().is_server_error() => {
                        return ServeEnd::Whole(response);
                    }
                    Some(response) => self.failure = Some(response),
                    None => {}
                },
                SendEnd::Rejected | SendEnd::Broken => {}
            }
            if !self.may_send_again() {
                break;
            }
            self.log.step("send_again", "last_send_failed");
        }
        self.failure.take().map_or(ServeEnd::NoAnswer, ServeEnd::Whole)
    }

    /// Finds an upstream and sends the rest of a stream there, after the event `last`.
    pub(crate) async fn resume(&mut self, last: Option<u64>) -> Option<(ServiceAnswer, LoadGuard)> {
        while self.may_send_again() {
            self.log.enter(RequestPhase::Searching);
            let card = self.search().find().await.ok()?;
            match self.send(&card, last.or(self.arrived.ask.resume_after)).await {
                SendEnd::Answer(answer, guard) if answer.status.is_success() => {
                    self.log.enter(RequestPhase::Answering);
                    return Some((*answer, guard));
                }
                SendEnd::Answer(..) | SendEnd::Rejected | SendEnd::Broken => {}
            }
        }
        None
    }

    fn search(&self) -> UpstreamSearch<'_> {
        UpstreamSearch {
            parts: &self.parts,
            route: &self.arrived.route,
            ask: &self.arrived.ask,
            service: &self.service,
            tried: &self.tried,
            deadline: self.arrived.deadline,
            log: &self.log,
        }
    }

    /// Whether another send is allowed by kind, attempts, budget and time. The budget bounds what upstreams
    /// get beyond the first send of each request; what never left isn't among that.
    fn may_send_again(&self) -> bool {
        let is_repeatable = self.arrived.route.kind.is_repeatable()
            || self.runs == 0
            || is_planted("repeat_unsafe");
        let has_attempts =
            self.runs < self.arrived.route.max_attempts && self.rejected <= MAX_REJECTED;
        let has_time = Instant::now() + MIN_ANSWER_TIME / 2 < self.deadline();
        let service = UpstreamName::from(&*self.service);
        let is_affordable = || self.is_unsent || self.parts.retries.lock().try_retry(&service);
        is_repeatable && has_attempts && has_time && is_affordable()
    }

    /// When the instance has to end.
    pub(crate) fn drain(&self) -> DrainDeadline {
        self.parts.drain.clone()
    }

    /// The request's deadline, or the instance's end if that is earlier.
    fn deadline(&self) -> Instant {
        self.parts.drain.bound(self.arrived.deadline)
    }

    /// Sends once and reads the head of the answer.
    async fn send(&mut self, card: &EngineCard, resume_after: Option<u64>) -> SendEnd {
        self.tried.push(card.id.clone());
        self.log.sent(&card.id.name);
        let tokens = self.arrived.ask.generation.as_ref().map_or(0, |ask| ask.prompt_tokens);
        let guard = LoadGuard::begin(Arc::clone(&self.parts.state), card.id.clone(), tokens);
        let spec = self.arrived.active.config.service(&self.service);
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let entries = self.parts.state.view().entries;
        let client = self.parts.upstreams.client(card, max_connections, entries);
        let began = Instant::now();
        self.is_sending = true;
        let answer = client.call(self.call(card, resume_after)).await;
        self.is_sending = false;
        let is_unreachable = matches!(
            &answer,
            Err(CallFailure {
                kind: FailureKind::Connect { .. } | FailureKind::ConnectTimeout,
                ..
            })
        );
        let end = SendJudge { parts: &self.parts, log: &self.log }.judge(card, answer);
        let succeeded = !matches!(end, Judged::Broken);
        let now = MonotonicTime::default() + self.parts.start.elapsed();
        match is_unreachable {
            true => {
                self.parts.reach.lock().record_failure(now, &card.id, &card.centre);
                self.parts.state.note_doubtful(&card.id);
            }
            false => self.parts.reach.lock().record_success(&card.id, &card.centre),
        }
        let name = UpstreamName::from(&*card.id.name);
        self.parts.outliers.lock().observe(now, &name, began.elapsed(), succeeded);
        self.is_unsent = matches!(end, Judged::Unsent);
        match end {
            Judged::Answer(answer) => SendEnd::Answer(answer, guard),
            Judged::Absent => {
                self.rejected += 1;
                self.tried.note_absence();
                SendEnd::Rejected
            }
            Judged::Rejected | Judged::Unsent => {
                self.rejected += 1;
                SendEnd::Rejected
            }
            Judged::Broken => {
                self.runs += 1;
                SendEnd::Broken
            }
        }
    }

    fn call(&self, card: &EngineCard, resume_after: Option<u64>) -> ServiceCall {
        let ArrivedRequest { route, ask, head, body, deadline, .. } = &self.arrived;
        let left = deadline.saturating_duration_since(Instant::now());
        let told_end = self.parts.drain.end().and_then(|end| end.checked_sub(REFUSAL_TIME));
        let told_end = told_end.unwrap_or(*deadline);
        let mark = SendMark {
            time_left: left.min(told_end.saturating_duration_since(Instant::now())),
            target: Arc::clone(&card.id.name),
            urgency: ask.generation.as_ref().map(|_| urgency_of(route.rank)),
            resume_after,
        };
        let mut headers = head.headers.clone();
        self.parts.dialect.mark(&mut headers, &mark);
        let path = head.uri.path_and_query().cloned();
        ServiceCall {
            request_id: ask.id.clone(),
            method: head.method.clone(),
            path: path.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
            headers,
            body: body.clone(),
            idempotency_key: None,
            idempotent: route.kind.is_repeatable(),
            timeouts: self.timeouts(left),
        }
    }

    /// A request that may go elsewhere isn't left with a silent upstream to the end.
    fn timeouts(&self, left: Duration) -> CallTimeouts {
        let all = CallTimeouts::default().connect(CONNECT_TIME).total(left);
        match self.arrived.route.kind.is_repeatable()
            && self.runs + 1 < self.arrived.route.max_attempts
        {
            true => {
                let patience = (self.arrived.route.objective * 3).max(Duration::from_secs(1));
                let pause = self.arrived.route.gap.map_or(patience, |gap| gap * 4);
                all.first_byte(patience.min(left * 2 / 3)).progress(pause.max(patience))
            }
            false => all.first_byte(left).progress(left),
        }
    }

    /// The upstream's answer once it is whole; `None` if it broke off.
    async fn whole(
        &mut self,
        mut answer: ServiceAnswer,
        _guard: LoadGuard,
    ) -> Option<Response<AnswerBody>> {
        self.runs += 1;
        self.log.enter(RequestPhase::Answering);
        match answer.body.collect(MAX_WHOLE_BYTES).await {
            Ok(body) => {
                self.log.answered(answer.status, "answered");
                let mut response = Response::new(full_body(body));
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                Some(response)
            }
            Err(failure) => {
                self.log.step("answer_broke", &failure.to_string());
                None
            }
        }
    }
}

/// The engine's urgency for a rank: every second number, so that others fit between.
fn urgency_of(rank: u8) -> u8 {
    rank.saturating_mul(2).saturating_add(1).min(9)
}
