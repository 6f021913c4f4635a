//! One send of a request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wheel_route::EngineInfo;
use wheel_seams::{boot_now, is_planted};
use wheel_types::UpstreamName;
use wheel_upstream::{CallFailure, CallTimeouts, FailureKind, ServiceAnswer, ServiceCall};

use crate::arrived_request::ArrivedRequest;
use crate::send_classifier::{SendClass, SendClassifier};
use crate::send_ledger::SendLedger;
use crate::stall_watch::StallWatch;
use crate::upstream_search::MIN_ANSWER_TIME;
use crate::{ForwardHeaders, RequestGuard};

/// Time limit for connecting to an upstream: three round trips between data centres, and the
/// scheduling delay of a busy machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How much earlier than the drain deadline an upstream's time ends, so that its refusal still
/// arrives: a round trip between data centres, and the scheduling delay of a busy instance.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

/// The outcome of one send.
pub(crate) enum SendOutcome {
    /// The upstream's answer, with the guard that counts the request as open.
    Answer(Box<ServiceAnswer>, RequestGuard),
    /// The request certainly didn't run.
    Rejected,
    /// The request may have run, and there is no answer that can be forwarded.
    Broken,
}

/// One send of a request to one upstream, and its match with an answer.
pub(crate) struct UpstreamSend<'a> {
    pub(crate) ledger: &'a mut SendLedger,
    pub(crate) info: &'a EngineInfo,
    /// The event after which the stream resumes.
    pub(crate) resume_after: Option<u64>,
}

impl UpstreamSend<'_> {
    /// Sends once and reads the head of the answer.
    pub(crate) async fn run(self) -> SendOutcome {
        let Self { info, .. } = self;
        let context = Arc::clone(&self.ledger.context);
        self.ledger.tried.push(info.id.clone());
        self.ledger.log.sent(&info.id.name);
        let arrived = &self.ledger.arrived;
        let tokens = arrived.request.generation.as_ref().map_or(0, |request| request.prompt_tokens);
        let meter = self.ledger.search().begin_measure(info);
        let mut guard = RequestGuard::begin(Arc::clone(&context.state), info.id.clone(), tokens);
        guard.measure(meter);
        let spec = arrived.active.config.service(&self.ledger.service);
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        let ingress_count = context.state.view().ingress_count;
        let client = context.upstreams.client(info, max_connections, ingress_count);
        let (began, sent) = (Instant::now(), boot_now());
        let name = UpstreamName::from(&*info.id.name);
        {
            let mut outliers = context.outliers.lock();
            if outliers.wants_probe(context.now(), &name) {
                outliers.begin_probe(context.now(), &name);
            }
        }
        self.ledger.last_send = Some((info.id.clone(), began));
        self.ledger.is_sending = true;
        let call = client.call(self.call());
        let answer = StallWatch::begin(self.ledger, None, false).wait(call).await;
        self.ledger.is_sending = false;
        let answer = match answer {
            Ok(answer) => answer,
            Err(replacement) => {
                let mut outliers = context.outliers.lock();
                outliers.observe(context.now(), &name, began.elapsed(), false);
                drop(outliers);
                self.ledger.possible_runs += 1;
                self.ledger.leave_for(replacement);
                return SendOutcome::Broken;
            }
        };
        if answer.as_ref().is_err_and(CallFailure::is_closed_by_upstream) {
            self.ledger.record_broken("no_answer");
        }
        let is_unreachable = matches!(
            &answer,
            Err(CallFailure {
                kind: FailureKind::Connect { .. } | FailureKind::ConnectTimeout,
                ..
            })
        );
        let classifier = SendClassifier { context: &context, log: &self.ledger.log, sent };
        let class = classifier.classify(info, answer);
        let succeeded = !matches!(class, SendClass::Broken);
        let now = context.now();
        match is_unreachable {
            true => {
                context.reach.lock().record_failure(now, &info.id, &info.centre);
                context.state.record_stale_engine(&info.id);
            }
            false => context.reach.lock().record_success(&info.id, &info.centre),
        }
        context.outliers.lock().observe(now, &name, began.elapsed(), succeeded);
        self.count(class, guard)
    }

    /// Counts the send by its class.
    fn count(self, class: SendClass, guard: RequestGuard) -> SendOutcome {
        let ledger = self.ledger;
        ledger.is_unsent = matches!(class, SendClass::Unsent);
        let left = ledger.left.take();
        if !matches!(class, SendClass::Answer(_) | SendClass::Broken)
            && let Some(left) = &left
        {
            ledger.tried.forget(left);
        }
        match class {
            SendClass::Answer(answer) => {
                match guard.meter() {
                    Some(meter) if !answer.status.is_success() => meter.discard(),
                    Some(meter) if !ledger.arrived.route.kind.is_stream() => meter.record_events(1),
                    _ => {}
                }
                ledger.possible_runs += 1;
                ledger.log.head_arrived(answer.body.framing(), answer.body.arrivals());
                SendOutcome::Answer(answer, guard.measured())
            }
            SendClass::Resting => {
                ledger.rejected += 1;
                ledger.tried.forget_last();
                SendOutcome::Rejected
            }
            SendClass::Absent => {
                ledger.rejected += 1;
                ledger.tried.record_absence();
                SendOutcome::Rejected
            }
            SendClass::Rejected | SendClass::Unsent => {
                ledger.rejected += 1;
                SendOutcome::Rejected
            }
            SendClass::Broken => {
                ledger.possible_runs += 1;
                SendOutcome::Broken
            }
        }
    }

    fn call(&self) -> ServiceCall {
        let ledger = &*self.ledger;
        let ArrivedRequest { route, request, identity, head, body, deadline, .. } = &ledger.arrived;
        let left = deadline.saturating_duration_since(Instant::now());
        let upstream_end = ledger.context.drain.end().and_then(|end| end.checked_sub(REFUSAL_TIME));
        let upstream_end = upstream_end.unwrap_or(*deadline);
        let forwarded = ForwardHeaders {
            time_left: left.min(upstream_end.saturating_duration_since(Instant::now())),
            target: Arc::clone(&self.info.id.name),
            urgency: request.generation.as_ref().map(|_| identity.urgency()),
            resume_after: self.resume_after,
            identity: identity.forward.clone(),
        };
        let mut headers = head.headers.clone();
        ledger.context.dialect.set_system_headers(&mut headers, &forwarded);
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
        match self.ledger.arrived.route.kind.is_repeatable() {
            true => all.suspicion(self.ledger.silence_limit(left, false)),
            false => all,
        }
    }
}
