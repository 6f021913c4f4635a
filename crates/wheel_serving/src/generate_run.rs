//! One generation, on the ingress side.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use spdlog::{info, warn};
use tokio::time::Instant;
use wheel_ingress::{
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
use crate::request_pipeline::RouteSearch;
use crate::sent_request::SentRequest;
use crate::{CallCost, OwnerRoute, RelayCall, RequestPipeline};

/// Bytes of the body whose hash is the routing hint for a cached prefix.
const PREFIX_BYTES: usize = 512;
/// Time limit for resuming a broken stream.
const RESUME_LIMIT: Duration = Duration::from_secs(30);
/// Time to write the error event of a broken stream, which is one small write.
const EVENT_WRITE_TIME: Duration = Duration::from_millis(50);
/// Limit of the engines' runs of one request, resumed runs included.
const MAX_ATTEMPTS: u32 = 6;
/// Time that the owner may exceed the deadline before it counts as silent.
const OWNER_GRACE: Duration = Duration::from_millis(500);

/// Runs one generation to its end, on as many owners and engines as necessary.
pub(crate) struct GenerateRun {
    pipeline: RequestPipeline,
    target: GenerateTarget,
    search: RouteSearch,
    /// Index of the next token.
    next_index: u64,
    /// Whether the caller has the last token.
    has_last: bool,
    /// Engines that the request was sent to so far.
    attempts: u32,
    /// Whether it may have run on one of them without a whole answer.
    may_have_run: bool,
}

/// The head of an answer from one upstream; that of a stream counts once its first event is there.
enum AnswerHead {
    Stream(Box<TokenSource>),
    Whole(Bytes),
}

/// The stream that delivers the tokens.
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

/// The head of an answer, with its route.
struct RoutedHead {
    route: OwnerRoute,
    head: AnswerHead,
    sent: SentRequest,
}

/// A stream in progress.
struct RunningStream {
    run: GenerateRun,
    /// Absent while another engine is looked for, since it holds a slot.
    source: Option<Box<TokenSource>>,
    route: OwnerRoute,
    /// Present until the stream ends or breaks.
    sent: Option<SentRequest>,
    phase: StreamPhase,
}

enum StreamPhase {
    Running,
    /// An error event was sent; the body is broken off next.
    Failing(String),
    Ended,
}

impl GenerateRun {
    /// Runs a generation request to the head of its answer.
    pub(crate) async fn serve(
        pipeline: RequestPipeline,
        request: CallerRequest,
    ) -> Result<CallerAnswer, RequestRefusal> {
        let RequestTarget::Generate(target) = request.target.clone() else {
            return Err(RequestRefusal::new(RefusalCode::BadRequest, "not a generation"));
        };
        let demand = &pipeline.context.demand;
        demand.count_arrival(&target.model, target.adapter.as_ref(), request.rank);
        let prefix = prefix_hint(&request.body);
        let (model, adapter) = (target.model.clone(), target.adapter.clone());
        let search = pipeline.new_search(request, model, adapter, Some(prefix), true);
        let mut run = Self {
            pipeline,
            target,
            search,
            next_index: 0,
            has_last: false,
            attempts: 0,
            may_have_run: false,
        };
        let RoutedHead { route, head, sent } = run.fetch_head().await?;
        Ok(match head {
            AnswerHead::Whole(body) => {
                drop(sent);
                whole_answer(body)
            }
            AnswerHead::Stream(source) => {
                let phase = StreamPhase::Running;
                stream_answer(RunningStream {
                    run,
                    source: Some(source),
                    route,
                    sent: Some(sent),
                    phase,
                })
            }
        })
    }

    /// Gets the head of an answer, trying other upstreams as the retry budget allows.
    async fn fetch_head(&mut self) -> Result<RoutedHead, RequestRefusal> {
        loop {
            let route = self.pipeline.locate(&mut self.search).await;
            let route = route.map_err(|refusal| refusal.after_attempts(self.may_have_run))?;
            self.attempts += 1;
            if self.attempts == 1 {
                self.pipeline.count_request(&route.upstream);
            }
            let sent = SentRequest::begin(
                &self.pipeline.context.directory,
                &route.upstream,
                self.search.request.rank,
                self.search.query.prefix,
            );
            let refusal =
                match until_drained(&self.pipeline.context.drain, self.attempt(&route)).await {
                    Ok(head) => return Ok(RoutedHead { route, head, sent }),
                    Err(refusal) => refusal,
                };
            let not_run = refusal.outcome == RequestOutcome::NotRun;
            self.may_have_run |= !not_run;
            if self.pipeline.handle_unreachable_owner(&route, &refusal) {
                // What was never sent has run on no engine.
                self.attempts -= u32::from(not_run);
                if self.attempts < MAX_ATTEMPTS {
                    continue;
                }
            }
            let is_final =
                !matches!(refusal.code, RelayCode::Elsewhere | RelayCode::UpstreamFailed);
            // A refusal by the queue says nothing about the upstream's health.
            if !is_final {
                sent.fail();
            }
            info!("attempt_failed", kv: {
                request = self.search.request.id.as_str(),
                upstream = route.upstream.as_str(),
                owner = route.owner.as_str(),
                reason:? = refusal.message
            });
            let may_retry = !is_final
                && self.attempts < MAX_ATTEMPTS
                && self.pipeline.may_retry(&mut self.search, &route.upstream);
            if !may_retry {
                let message = refusal.message.clone();
                self.pipeline.record_decision(
                    &self.search,
                    format!("refused by {}", route.upstream),
                    message,
                );
                return Err(refusal.into_refusal().after_attempts(self.may_have_run));
            }
        }
    }

    async fn attempt(&self, route: &OwnerRoute) -> Result<AnswerHead, RelayRefusal> {
        let call = self.relay_call(route);
        if route.owner == self.pipeline.context.instance {
            return self.attempt_here(&call).await;
        }
        let key = self.pipeline.context.key.as_ref();
        let headers = relay_headers(&call, key)
            .ok_or_else(|| RelayRefusal::elsewhere("the call has no header form"))?;
        tokio::select! {
            head = self.relay(route, headers) => head,
            () = self.pipeline.context.directory.owner_unreachable(&route.owner) => {
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
        let client = self.pipeline.context.relays.client(&route.owner, route.relay).engine;
        let generate = self.generate_call(headers);
        if self.target.stream {
            let begun = async {
                let mut stream = client.generate(generate).await?;
                stream.begin().await?;
                Ok(stream)
            };
            let stream = begun.await.map_err(|failure| relay_failure(&failure))?;
            return Ok(AnswerHead::Stream(Box::new(TokenSource::Relayed(stream))));
        }
        let CompleteAnswer { body } =
            client.complete(generate).await.map_err(|failure| relay_failure(&failure))?;
        Ok(AnswerHead::Whole(body))
    }

    async fn attempt_here(&self, call: &RelayCall) -> Result<AnswerHead, RelayRefusal> {
        let upstream = self
            .pipeline
            .context
            .owners
            .get(&call.upstream)
            .ok_or_else(|| RelayRefusal::elsewhere("this instance gave the upstream up"))?;
        let body = self.search.request.body.clone();
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
        let request = &self.search.request;
        RelayCall {
            model: Some(self.target.model.clone()),
            adapter: self.target.adapter.clone(),
            stream: self.target.stream,
            resume_from: self.next_index,
            repeatable: true,
            ..self.pipeline.relay_call(request, route, CallCost::of_generation(&request.body))
        }
    }

    fn generate_call(&self, headers: HeaderMap) -> GenerateCall {
        let request = &self.search.request;
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
    /// The next frame of the answer's body.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, AnswerError>> {
        match std::mem::replace(&mut self.phase, StreamPhase::Ended) {
            StreamPhase::Ended => return None,
            StreamPhase::Failing(reason) => {
                // When a body fails, the server discards what it hasn't written yet; it writes the
                // event while this waits.
                tokio::time::sleep(EVENT_WRITE_TIME).await;
                return Some(Err(AnswerError::BrokeOff { reason }));
            }
            StreamPhase::Running => {}
        }
        let drain = self.run.pipeline.context.drain.clone();
        loop {
            let Some(source) = &mut self.source else {
                let reason = "the stream has no source".to_owned();
                return Some(Err(AnswerError::BrokeOff { reason }));
            };
            let next = tokio::select! {
                biased;
                () = drain.passed() => {
                    let message = "this instance ended before the stream";
                    let refusal = RequestRefusal::new(RefusalCode::Unavailable, message);
                    return Some(Ok(self.fail(&refusal)));
                }
                next = source.next() => next,
            };
            match next {
                Ok(StreamEvent::Token(token)) => {
                    self.run.next_index = token.index + 1;
                    self.run.has_last = token.is_last;
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
                    // Only the end marker is missing, and no engine has more of the stream.
                    if self.run.has_last {
                        return Some(Ok(done_frame()));
                    }
                    if let Err(refusal) = self.resume(&failure).await {
                        return Some(Ok(self.fail(&refusal)));
                    }
                }
            }
        }
    }

    /// Resumes after the last token, on any upstream. The caller is already receiving, so the time
    /// to the next token has its own limit, independent of the request's deadline.
    async fn resume(&mut self, failure: &CallFailure) -> Result<(), RequestRefusal> {
        warn!("stream_broke", kv: {
            request = self.run.search.request.id.as_str(),
            upstream = self.route.upstream.as_str(),
            next_token = self.run.next_index,
            attempts = self.run.attempts,
            reason:? = failure.to_string()
        });
        self.run.may_have_run = true;
        // Its slot may be the only one that the next run can get.
        self.source = None;
        if self.run.attempts >= MAX_ATTEMPTS {
            let message = "the stream broke off on each engine that it may run on";
            return Err(RequestRefusal::new(RefusalCode::UpstreamFailed, message));
        }
        self.run.search.request.deadline = Instant::now() + RESUME_LIMIT;
        self.run.search.query.tried = vec![self.route.upstream.clone()];
        let RoutedHead { route, head, sent } = self.run.fetch_head().await?;
        match head {
            AnswerHead::Stream(source) => {
                info!("stream_resumed", kv: {
                    request = self.run.search.request.id.as_str(),
                    upstream = route.upstream.as_str(),
                    next_token = self.run.next_index
                });
                (self.source, self.route, self.sent) = (Some(source), route, Some(sent));
                Ok(())
            }
            AnswerHead::Whole(_) => {
                Err(RequestRefusal::new(RefusalCode::UpstreamFailed, "no stream in the answer"))
            }
        }
    }

    /// Reports in an event that the stream ends early; the body is broken off after it.
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

/// The owner's refusal, or the failure of the call to it.
fn relay_failure(failure: &CallFailure) -> RelayRefusal {
    let refusal = match &failure.kind {
        FailureKind::Refused { body, .. } => RelayRefusal::read(body),
        _ => None,
    };
    refusal.unwrap_or_else(|| RelayRefusal::owner_failed(failure))
}

fn prefix_hint(body: &[u8]) -> u64 {
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
