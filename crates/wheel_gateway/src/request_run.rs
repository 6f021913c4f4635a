//! One request from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Response, StatusCode, header};
use rand::Rng;
use tokio::time::{Instant, timeout_at};
use wheel_entry::{AnswerBody, full_body};
use wheel_policy::{HeldPart, UpstreamOffer, choose_upstream};
use wheel_route::{DemandKey, EngineCard, EngineId, RouteSpec};
use wheel_types::{MonotonicTime, UpstreamName};
use wheel_upstream::{
    CallFailure, CallTimeouts, FailureKind, SentState, ServiceAnswer, ServiceCall,
};

use crate::request_log::RequestLog;
use crate::request_path::{PathParts, refusal};
use crate::resumed_stream::ResumedStream;
use crate::wait_guard::WaitGuard;
use crate::{ActiveConfig, AnswerMark, IngressRequest, LoadGuard, SendMark};

/// Time to connect to an upstream: three round trips between data centres and a busy machine's turn.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Time from a request for a model that isn't there until it is loaded from a disk and known here.
const LOAD_TIME: Duration = Duration::from_millis(1_000);
/// What a load costs a request whose objective allows for one: an order, and a wait that may add up.
const LATE_SHARE: f64 = 0.25;
/// How long a request waits to hear that what it lacks is being loaded: half of its objective, in these
/// bounds. Two syncs and a round of placement are the least; what is refused later was held for nothing.
const NOTICE_TIME: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(2_000)];
/// Age of the fleet's view from which no load can be expected.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);
/// When to come back then: a cut may be over, and a retry may reach another entry.
const UNHEARD_RETRY: Duration = Duration::from_secs(1);
/// Time that an answer needs at least; with less left a request isn't worth a wait for a load.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Sends that an upstream refused as not run, before the request is refused.
const MAX_REJECTED: u32 = 3;
/// The largest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 4 << 20;
/// The share of a caller's time left that a `Retry-After` may ask for and is still honoured.
const HONOURED_SHARE: f64 = 0.33;
/// When to come back after a refusal for want of room.
const ROOM_RETRY: Duration = Duration::from_millis(400);

/// A request with all that its sends need.
pub(crate) struct RequestRun {
    parts: Arc<PathParts>,
    active: Arc<ActiveConfig>,
    route: Arc<RouteSpec>,
    ask: IngressRequest,
    head: Parts,
    body: Bytes,
    deadline: Instant,
    service: Arc<str>,
    tried: Vec<EngineId>,
    /// Sends after which the request may have run.
    runs: u32,
    /// Sends that upstreams refused as not run, or that never left.
    rejected: u32,
    pub(crate) log: RequestLog,
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

/// Why there is no upstream to send to.
#[derive(Debug)]
struct NoUpstream {
    reason: &'static str,
    retry_after: Duration,
    /// When the model should be there, as far as told.
    eta: Option<Duration>,
}

impl RequestRun {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn begin(
        parts: Arc<PathParts>,
        active: Arc<ActiveConfig>,
        route: Arc<RouteSpec>,
        ask: IngressRequest,
        head: Parts,
        body: Bytes,
        deadline: Instant,
        mut log: RequestLog,
    ) -> Self {
        let service = route.pick_service(rand::rng().random()).cloned().unwrap_or_default();
        log.set_service(&service);
        parts.retries.lock().record_request(&UpstreamName::from(&*service));
        Self {
            parts,
            active,
            route,
            ask,
            head,
            body,
            deadline,
            service,
            tried: Vec::new(),
            runs: 0,
            rejected: 0,
            log,
        }
    }

    /// Sends the request until it has an answer or may not be sent again.
    pub(crate) async fn serve(mut self) -> Response<AnswerBody> {
        if let Some(key) = self.demand_key() {
            let lost = if self.route.objective < LOAD_TIME { 1.0 } else { LATE_SHARE };
            self.parts.state.note_demand(&key, lost);
        }
        let mut last_answer = None;
        loop {
            let card = match self.find_upstream().await {
                Ok(card) => card,
                Err(_) if last_answer.is_some() => break,
                Err(none) => return self.refuse(&none),
            };
            match self.send(&card, self.ask.resume_after).await {
                SendEnd::Answer(answer, guard) if self.route.kind.is_stream() => {
                    return self.stream(*answer, guard);
                }
                SendEnd::Answer(answer, guard) => match self.whole(*answer, guard).await {
                    Some(response) if !response.status().is_server_error() => return response,
                    Some(response) => last_answer = Some(response),
                    None => {}
                },
                SendEnd::Rejected | SendEnd::Broken => {}
            }
            if !self.may_send_again() {
                break;
            }
            self.log.step("send_again", "last_send_failed");
        }
        match last_answer {
            Some(response) => response,
            None => self.give_up(),
        }
    }

    /// Finds an upstream and sends the rest of a stream there, after the event `last`.
    pub(crate) async fn resume(&mut self, last: Option<u64>) -> Option<(ServiceAnswer, LoadGuard)> {
        while self.may_send_again() {
            let card = self.find_upstream().await.ok()?;
            match self.send(&card, last.or(self.ask.resume_after)).await {
                SendEnd::Answer(answer, guard) if answer.status.is_success() => {
                    return Some((*answer, guard));
                }
                SendEnd::Answer(..) | SendEnd::Rejected | SendEnd::Broken => {}
            }
        }
        None
    }

    /// Whether another send is allowed by kind, attempts, budget and time.
    fn may_send_again(&self) -> bool {
        let is_repeatable = self.route.kind.is_repeatable() || self.runs == 0;
        let has_attempts = self.runs < self.route.max_attempts && self.rejected <= MAX_REJECTED;
        let has_time = Instant::now() + MIN_ANSWER_TIME / 2 < self.deadline;
        let upstream = UpstreamName::from(&*self.service);
        is_repeatable && has_attempts && has_time && self.parts.retries.lock().try_retry(&upstream)
    }

    fn demand_key(&self) -> Option<DemandKey> {
        let generation = self.ask.generation.as_ref()?;
        Some(DemandKey {
            service: Arc::clone(&self.service),
            model: Arc::clone(&generation.model),
            adapter: generation.adapter.clone(),
        })
    }

    /// The best upstream, after a wait for a load where that is worth it.
    async fn find_upstream(&self) -> Result<EngineCard, NoUpstream> {
        let notice = (self.route.objective / 2).clamp(NOTICE_TIME[0], NOTICE_TIME[1]);
        let notice_end = Instant::now() + notice;
        let mut views = self.parts.state.watch_view();
        let mut waiting = None;
        loop {
            views.mark_unchanged();
            let cards = self.parts.state.ready_upstreams(&self.service);
            if let Some(card) = self.choose(&cards) {
                return Ok(card);
            }
            let wait_end = match self.demand_key() {
                _ if cards.is_empty() => return Err(self.none("no_upstream", ROOM_RETRY)),
                None => return Err(self.none("no_upstream", ROOM_RETRY)),
                Some(key) => {
                    let wait_end = self.wait_end(&key, notice_end)?;
                    waiting.get_or_insert_with(|| WaitGuard::begin(&self.parts.state, key));
                    wait_end
                }
            };
            if timeout_at(wait_end, views.changed()).await.is_err() {
                return Err(self.none("model_not_loaded", ROOM_RETRY));
            }
        }
    }

    /// How long a wait for a load makes sense.
    fn wait_end(&self, key: &DemandKey, notice_end: Instant) -> Result<Instant, NoUpstream> {
        let now = Instant::now();
        let view = self.parts.state.view();
        let eta = view.loading.iter().find(|(model, _)| *model == key.model);
        let eta = eta.map(|(_, ms)| Duration::from_millis(*ms));
        let left = self.deadline.saturating_duration_since(now);
        match eta {
            Some(eta) if eta + MIN_ANSWER_TIME <= left => Ok(now + eta + NOTICE_TIME[0]),
            Some(eta) => {
                let reason = "load_too_late";
                Err(NoUpstream { reason, retry_after: eta, eta: Some(eta) })
            }
            None if left <= MIN_ANSWER_TIME => Err(self.none("no_time_left", ROOM_RETRY)),
            // Nobody hears what is missing here, so that no load will come of it.
            None if self.parts.state.view_age() > MAX_VIEW_AGE => {
                Err(self.none("control_unheard", UNHEARD_RETRY))
            }
            None if now >= notice_end => Err(self.none("load_not_begun", ROOM_RETRY)),
            None => Ok(notice_end.min(self.deadline)),
        }
    }

    fn none(&self, reason: &'static str, retry_after: Duration) -> NoUpstream {
        NoUpstream { reason, retry_after, eta: None }
    }

    fn choose(&self, cards: &[EngineCard]) -> Option<EngineCard> {
        let counts = self.parts.state.active_counts();
        let now = MonotonicTime::default() + self.parts.start.elapsed();
        let outliers = self.parts.outliers.lock();
        let mut reach = self.parts.reach.lock();
        let offer = |card: &EngineCard| {
            let (own, others) = counts.get(&card.id).copied().unwrap_or_default();
            UpstreamOffer {
                slots: card.slots,
                active: own + others,
                is_near: card.centre == self.parts.settings.centre,
                held: self.held_part(card),
                is_suspect: outliers.is_ejected(now, &UpstreamName::from(&*card.id.name)),
                is_unreachable: reach.is_avoided(now, &card.id, &card.centre),
                was_tried: self.tried.contains(&card.id),
                cached_share: 0.0,
            }
        };
        let offers: Vec<UpstreamOffer> = cards.iter().map(offer).collect();
        let place = choose_upstream(&offers, rand::rng().random())?;
        reach.begin_probe(now, &cards[place].centre);
        Some(cards[place].clone())
    }

    fn held_part(&self, card: &EngineCard) -> HeldPart {
        match &self.ask.generation {
            None => HeldPart::Whole,
            Some(ask) if card.holds(&ask.model, ask.adapter.as_deref()) => HeldPart::Whole,
            Some(ask) if card.holds(&ask.model, None) => HeldPart::ModelOnly,
            Some(_) => HeldPart::Nothing,
        }
    }

    /// Sends once and reads the head of the answer.
    async fn send(&mut self, card: &EngineCard, resume_after: Option<u64>) -> SendEnd {
        self.tried.push(card.id.clone());
        self.log.sent(&card.id.name);
        let tokens = self.ask.generation.as_ref().map_or(0, |ask| ask.prompt_tokens);
        let guard = LoadGuard::begin(Arc::clone(&self.parts.state), card.id.clone(), tokens);
        let spec = self.active.config.service(&self.service);
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let entries = self.parts.state.view().entries;
        let client = self.parts.upstreams.client(card, max_connections, entries);
        let began = Instant::now();
        let answer = client.call(self.call(card, resume_after)).await;
        let is_unreachable = matches!(
            &answer,
            Err(CallFailure {
                kind: FailureKind::Connect { .. } | FailureKind::ConnectTimeout,
                ..
            })
        );
        let end = self.judge(card, answer);
        let succeeded = !matches!(end, Judged::Broken);
        let now = MonotonicTime::default() + self.parts.start.elapsed();
        match is_unreachable {
            true => {
                self.parts.reach.lock().note_failure(now, &card.id, &card.centre);
                self.parts.state.note_doubtful(&card.id);
            }
            false => self.parts.reach.lock().note_success(&card.id, &card.centre),
        }
        let name = UpstreamName::from(&*card.id.name);
        self.parts.outliers.lock().observe(now, &name, began.elapsed(), succeeded);
        match end {
            Judged::Answer(answer) => SendEnd::Answer(answer, guard),
            Judged::Rejected => {
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
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mark = SendMark {
            time_left: left,
            target: Arc::clone(&card.id.name),
            urgency: self.ask.generation.as_ref().map(|_| urgency_of(self.route.rank)),
            resume_after,
        };
        let mut headers = self.head.headers.clone();
        self.parts.dialect.mark(&mut headers, &mark);
        let path = self.head.uri.path_and_query().cloned();
        ServiceCall {
            request_id: self.ask.id.clone(),
            method: self.head.method.clone(),
            path: path.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
            headers,
            body: self.body.clone(),
            idempotency_key: None,
            idempotent: self.route.kind.is_repeatable(),
            timeouts: self.timeouts(left),
        }
    }

    /// A request that may go elsewhere isn't left with a silent upstream to the end.
    fn timeouts(&self, left: Duration) -> CallTimeouts {
        let all = CallTimeouts::default().connect(CONNECT_TIME).total(left);
        match self.route.kind.is_repeatable() && self.runs + 1 < self.route.max_attempts {
            true => {
                let patience = (self.route.objective * 3).max(Duration::from_secs(1));
                let pause = self.route.gap.map_or(patience, |gap| gap * 4);
                all.first_byte(patience.min(left * 2 / 3)).progress(pause.max(patience))
            }
            false => all.first_byte(left).progress(left),
        }
    }

    fn judge(&self, card: &EngineCard, answer: Result<ServiceAnswer, CallFailure>) -> Judged {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.judge_failure(&failure),
        };
        match self.parts.dialect.answer_mark(answer.status, &answer.headers) {
            AnswerMark::Ran => Judged::Answer(Box::new(answer)),
            AnswerMark::NotExecuted => {
                self.log.step("rejected", answer.status.as_str());
                Judged::Rejected
            }
            AnswerMark::Misdirected => {
                self.log.step("misdirected", answer.status.as_str());
                if self.parts.dialect.is_other_upstream(&answer.headers, &card.id.name) {
                    self.parts.state.note_leaving(&card.id);
                } else {
                    self.parts.state.note_doubtful(&card.id);
                }
                Judged::Rejected
            }
            AnswerMark::Unsigned => {
                self.log.step("unsigned", answer.status.as_str());
                Judged::Broken
            }
        }
    }

    fn judge_failure(&self, failure: &CallFailure) -> Judged {
        self.log.step("send_failed", &failure.to_string());
        match failure {
            CallFailure { sent: SentState::NotSent, .. } => Judged::Rejected,
            CallFailure { kind: FailureKind::TooManyOpen, .. } => Judged::Rejected,
            _ => Judged::Broken,
        }
    }

    /// The upstream's answer once it is whole; `None` if it broke off.
    async fn whole(
        &mut self,
        mut answer: ServiceAnswer,
        _guard: LoadGuard,
    ) -> Option<Response<AnswerBody>> {
        self.runs += 1;
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

    fn stream(mut self, answer: ServiceAnswer, guard: LoadGuard) -> Response<AnswerBody> {
        self.runs += 1;
        let ServiceAnswer { status, mut headers, body, .. } = answer;
        self.log.answered(status, "stream_cut");
        let is_resumable = self.route.kind.is_repeatable() && status.is_success();
        if is_resumable {
            headers.remove(header::CONTENT_LENGTH);
        }
        let last = self.ask.resume_after;
        let stream = ResumedStream::begin(self, body, guard, is_resumable, last);
        let mut response = Response::new(stream.into_body());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// The answer to a request for which no upstream was found.
    fn refuse(mut self, none: &NoUpstream) -> Response<AnswerBody> {
        if self.runs > 0 {
            return self.give_up();
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let jitter = rand::rng().random_range(0.8..1.0);
        let longest = left.mul_f64(HONOURED_SHARE * jitter);
        self.log.answered(StatusCode::SERVICE_UNAVAILABLE, none.reason);
        let retry_after = none.retry_after.mul_f64(2.0 - jitter).min(longest);
        let eta_ms = none.eta.map_or("unknown".to_owned(), |eta| eta.as_millis().to_string());
        let inputs = format!(
            "{}, eta_ms {eta_ms}, left_ms {}, tried {}, retry_after_ms {}",
            none.reason,
            left.as_millis(),
            self.tried.len(),
            retry_after.as_millis()
        );
        self.log.step("refused", &inputs);
        refusal(StatusCode::SERVICE_UNAVAILABLE, none.reason, Some(retry_after))
    }

    /// The answer to a request that was sent in vain and isn't sent again.
    fn give_up(mut self) -> Response<AnswerBody> {
        let is_late = Instant::now() + MIN_ANSWER_TIME / 2 >= self.deadline;
        match self.runs {
            0 => {
                let none = self.none("rejected_everywhere", ROOM_RETRY);
                self.refuse(&none)
            }
            _ => {
                let status =
                    if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                self.log.answered(status, "upstream_failed");
                refusal(status, "the upstream gave no answer", None)
            }
        }
    }
}

/// What an answer or its absence means.
enum Judged {
    Answer(Box<ServiceAnswer>),
    Rejected,
    Broken,
}

/// The engine's urgency for a rank: every second number, so that others fit between.
fn urgency_of(rank: u8) -> u8 {
    rank.saturating_mul(2).saturating_add(1).min(9)
}
