//! One generation, from the entry's side.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use spdlog::{info, warn};
use tokio::time::Instant;
use wheel_entry::{
    AnswerBody, AnswerError, CallerAnswer, CallerRequest, GenerateTarget, RefusalCode,
    RequestRefusal, RequestTarget, full_body,
};
use wheel_types::{EngineCall, RequestOutcome};
use wheel_upstream::{
    CallFailure, CallTimeouts, CompleteAnswer, FailureKind, GenerateCall, GeneratePath,
    StreamEvent, TokenStream,
};

use crate::owned_answer::{OwnedAnswer, OwnedStream};
use crate::relay_headers::relay_headers;
use crate::relay_refusal::{RelayCode, RelayRefusal, until_drained};
use crate::relay_service::{done_frame, event_frame};
use crate::sent_request::SentRequest;
use crate::serving_path::RouteWish;
use crate::{CallCost, OwnerRoute, RelayCall, ServingPath};

/// Bytes of the body whose hash is the hint for a cached prefix.
const PREFIX_BYTES: usize = 512;
/// Time that a broken stream may take to be resumed.
const RESUME_LIMIT: Duration = Duration::from_secs(30);
/// Time in which the error event of a broken stream is written: the write of one small event.
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Attempts to get the head of an answer.
const MAX_ATTEMPTS: u32 = 6;
/// Time that the owner may take longer than the deadline before it counts as silent.
const OWNER_GRACE: Duration = Duration::from_millis(500);

/// Runs one generation to its end, over as many owners and engines as it takes.
pub(crate) struct GenerateRun {
    path: ServingPath,
    target: GenerateTarget,
    wish: RouteWish,
    /// The token that is due next.
    next_index: u64,
}

/// The head of an answer from one upstream.
enum AnswerHead {
    Stream(Box<TokenSource>),
    Whole(Bytes),
}

/// Where tokens come from.
enum TokenSource {
    Relayed(TokenStream),
    Owned(OwnedStream),
}

impl TokenSource {
    async fn next(&mut self) -> Result<StreamEvent, CallFailure> {
        match self {
            Self::Relayed(stream) => stream.next().await,
            Self::Owned(stream) => stream.next().await,
        }
    }
}

/// An answer that has begun, and where.
struct ReachedHead {
    route: OwnerRoute,
    head: AnswerHead,
    sent: SentRequest,
}

/// A stream under way.
struct RunningStream {
    run: GenerateRun,
    source: Box<TokenSource>,
    route: OwnerRoute,
    /// Until the stream ends or breaks.
    sent: Option<SentRequest>,
    phase: StreamPhase,
}

enum StreamPhase {
    Running,
    /// An error event was sent; the body breaks next.
    Failing(String),
    Ended,
}

impl GenerateRun {
    /// Serves a generation request to the head of its answer.
    pub(crate) async fn serve(
        path: ServingPath,
        request: CallerRequest,
    ) -> Result<CallerAnswer, RequestRefusal> {
        let RequestTarget::Generate(target) = request.target.clone() else {
            return Err(RequestRefusal::new(RefusalCode::BadRequest, "not a generation"));
        };
        let demand = &path.parts.demand;
        demand.count_arrival(&target.model, target.adapter.as_ref(), request.rank);
        let prefix = prefix_hint(&request.body);
        let (model, adapter) = (target.model.clone(), target.adapter.clone());
        let wish = path.wish(request, model, adapter, Some(prefix), true);
        let mut run = Self { path, target, wish, next_index: 0 };
        let ReachedHead { route, head, sent } = run.reach_head().await?;
        Ok(match head {
            AnswerHead::Whole(body) => {
                drop(sent);
                whole_answer(body)
            }
            AnswerHead::Stream(source) => {
                let phase = StreamPhase::Running;
                stream_answer(RunningStream { run, source, route, sent: Some(sent), phase })
            }
        })
    }

    /// Gets the head of an answer, trying other upstreams as the retry budget allows.
    async fn reach_head(&mut self) -> Result<ReachedHead, RequestRefusal> {
        let mut attempts = 0;
        let mut may_have_run = false;
        loop {
            attempts += 1;
            let route = self.path.locate(&mut self.wish).await;
            let route = route.map_err(|refusal| refusal.after_attempts(may_have_run))?;
            if attempts == 1 {
                self.path.count_request(&route.upstream);
            }
            let sent = SentRequest::begin(
                &self.path.parts.directory,
                &route.upstream,
                self.wish.request.rank,
                self.wish.query.prefix,
            );
            let refusal = match until_drained(&self.path.parts.drain, self.attempt(&route)).await {
                Ok(head) => return Ok(ReachedHead { route, head, sent }),
                Err(refusal) => refusal,
            };
            may_have_run |= refusal.outcome != RequestOutcome::NotRun;
            if self.path.note_owner(&route, &refusal) {
                attempts -= 1;
                continue;
            }
            let is_final =
                !matches!(refusal.code, RelayCode::Elsewhere | RelayCode::UpstreamFailed);
            // A queue's refusal says nothing of the upstream's health.
            if !is_final {
                sent.fail();
            }
            info!("attempt_failed", kv: {
                request = self.wish.request.id.as_str(),
                upstream = route.upstream.as_str(),
                owner = route.owner.as_str(),
                reason:? = refusal.message
            });
            let may_retry = !is_final
                && attempts < MAX_ATTEMPTS
                && self.path.may_retry(&mut self.wish, &route.upstream);
            if !may_retry {
                let message = refusal.message.clone();
                self.path.note(&self.wish, format!("refused by {}", route.upstream), message);
                return Err(refusal.into_refusal().after_attempts(may_have_run));
            }
        }
    }

    async fn attempt(&self, route: &OwnerRoute) -> Result<AnswerHead, RelayRefusal> {
        let call = self.relay_call(route);
        if route.owner == self.path.parts.instance {
            return self.attempt_here(&call).await;
        }
        let key = self.path.parts.key.as_ref();
        let headers = relay_headers(&call, key)
            .ok_or_else(|| RelayRefusal::elsewhere("the call has no header form"))?;
        tokio::select! {
            head = self.relay(route, headers) => head,
            () = self.path.parts.directory.owner_gone(&route.owner) => {
                let message = "the owner stopped answering";
                let outcome = RequestOutcome::Unknown;
                Err(RelayRefusal { owner_gone: true, outcome, ..RelayRefusal::elsewhere(message) })
            }
        }
    }

    async fn relay(
        &self,
        route: &OwnerRoute,
        headers: HeaderMap,
    ) -> Result<AnswerHead, RelayRefusal> {
        let client = self.path.parts.relays.client(&route.owner, route.relay).engine;
        let generate = self.generate_call(headers);
        if self.target.stream {
            let stream =
                client.generate(generate).await.map_err(|failure| read_failure(&failure))?;
            return Ok(AnswerHead::Stream(Box::new(TokenSource::Relayed(stream))));
        }
        let CompleteAnswer { body } =
            client.complete(generate).await.map_err(|failure| read_failure(&failure))?;
        Ok(AnswerHead::Whole(body))
    }

    async fn attempt_here(&self, call: &RelayCall) -> Result<AnswerHead, RelayRefusal> {
        let upstream = self
            .path
            .parts
            .owners
            .get(&call.upstream)
            .ok_or_else(|| RelayRefusal::elsewhere("this instance gave the upstream up"))?;
        let body = self.wish.request.body.clone();
        let answer =
            upstream.generate(call, self.generate_path(), self.target.stream, body).await?;
        Ok(match answer {
            OwnedAnswer::Stream(stream) => {
                AnswerHead::Stream(Box::new(TokenSource::Owned(*stream)))
            }
            OwnedAnswer::Whole(whole) => AnswerHead::Whole(whole.body),
        })
    }

    fn relay_call(&self, route: &OwnerRoute) -> RelayCall {
        let request = &self.wish.request;
        RelayCall {
            model: Some(self.target.model.clone()),
            adapter: self.target.adapter.clone(),
            stream: self.target.stream,
            resume_from: self.next_index,
            repeatable: true,
            ..self.path.relay_call(request, route, CallCost::of_generation(&request.body))
        }
    }

    fn generate_call(&self, headers: HeaderMap) -> GenerateCall {
        let request = &self.wish.request;
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        GenerateCall {
            call: EngineCall {
                request_id: request.id.clone(),
                rank: request.rank,
                resume_from: self.next_index,
            },
            path: self.generate_path(),
            headers,
            body: request.body.clone(),
            timeouts: CallTimeouts::default().first_byte(remaining + OWNER_GRACE),
        }
    }

    fn generate_path(&self) -> GeneratePath {
        match &*self.target.path {
            "/v1/completions" => GeneratePath::Completions,
            _ => GeneratePath::ChatCompletions,
        }
    }
}

impl RunningStream {
    /// The next piece of the caller's body.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, AnswerError>> {
        match std::mem::replace(&mut self.phase, StreamPhase::Ended) {
            StreamPhase::Ended => return None,
            StreamPhase::Failing(reason) => {
                // The server drops what it hasn't written when a body breaks, and writes while it waits.
                tokio::time::sleep(EVENT_TIME).await;
                return Some(Err(AnswerError::BrokeOff { reason }));
            }
            StreamPhase::Running => {}
        }
        let drain = self.run.path.parts.drain.clone();
        loop {
            let next = tokio::select! {
                biased;
                () = drain.passed() => {
                    let message = "this instance ended before the stream";
                    let refusal = RequestRefusal::new(RefusalCode::Unavailable, message);
                    return Some(Ok(self.fail(&refusal)));
                }
                next = self.source.next() => next,
            };
            match next {
                Ok(StreamEvent::Token(token)) => {
                    self.run.next_index = token.index + 1;
                    self.phase = StreamPhase::Running;
                    return Some(Ok(event_frame(&token.data)));
                }
                Ok(StreamEvent::End) => {
                    self.sent = None;
                    return Some(Ok(done_frame()));
                }
                Err(failure) => {
                    if let Some(sent) = self.sent.take() {
                        sent.fail();
                    }
                    if let Err(refusal) = self.resume(&failure).await {
                        return Some(Ok(self.fail(&refusal)));
                    }
                }
            }
        }
    }

    /// Goes on after the last token, on any upstream. The caller waits already, so that the time
    /// to the next token is bounded apart from the first deadline.
    async fn resume(&mut self, failure: &CallFailure) -> Result<(), RequestRefusal> {
        warn!("stream_broke", kv: {
            request = self.run.wish.request.id.as_str(),
            upstream = self.route.upstream.as_str(),
            next_token = self.run.next_index,
            reason:? = failure.to_string()
        });
        self.run.wish.request.deadline = Instant::now() + RESUME_LIMIT;
        self.run.wish.query.tried = vec![self.route.upstream.clone()];
        let ReachedHead { route, head, sent } = self.run.reach_head().await?;
        match head {
            AnswerHead::Stream(source) => {
                info!("stream_resumed", kv: {
                    request = self.run.wish.request.id.as_str(),
                    upstream = route.upstream.as_str(),
                    next_token = self.run.next_index
                });
                (self.source, self.route, self.sent) = (source, route, Some(sent));
                Ok(())
            }
            AnswerHead::Whole(_) => {
                Err(RequestRefusal::new(RefusalCode::UpstreamFailed, "no stream in the answer"))
            }
        }
    }

    /// Tells the caller in an event that the stream ends early; the body breaks after it.
    fn fail(&mut self, refusal: &RequestRefusal) -> Frame<Bytes> {
        self.phase = StreamPhase::Failing(refusal.message.clone());
        let error = json!({
            "message": refusal.message,
            "type": "server",
            "code": refusal.code.as_str(),
            "outcome": RequestOutcome::Unknown,
        });
        event_frame(json!({ "error": error }).to_string().as_bytes())
    }
}

fn stream_answer(running: RunningStream) -> CallerAnswer {
    let frames = stream::unfold(running, |mut running| async move {
        let frame = running.next_frame().await?;
        Some((frame, running))
    });
    let body: AnswerBody = StreamBody::new(frames).boxed_unsync();
    let mut answer = CallerAnswer::new(StatusCode::OK, RequestOutcome::Ran, body);
    let content_type = HeaderValue::from_static("text/event-stream");
    answer.headers.insert(header::CONTENT_TYPE, content_type);
    let no_cache = HeaderValue::from_static("no-cache");
    answer.headers.insert(header::CACHE_CONTROL, no_cache);
    answer
}

fn whole_answer(body: Bytes) -> CallerAnswer {
    let mut answer = CallerAnswer::new(StatusCode::OK, RequestOutcome::Ran, full_body(body));
    let content_type = HeaderValue::from_static("application/json");
    answer.headers.insert(header::CONTENT_TYPE, content_type);
    answer
}

/// Reads what an owner said, or what became of the call to it.
fn read_failure(failure: &CallFailure) -> RelayRefusal {
    let said = match &failure.kind {
        FailureKind::Refused { body, .. } => RelayRefusal::read(body),
        _ => None,
    };
    said.unwrap_or_else(|| RelayRefusal::owner_failed(failure))
}

fn prefix_hint(body: &[u8]) -> u64 {
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
