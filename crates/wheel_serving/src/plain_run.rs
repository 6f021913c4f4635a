//! One call of a plain service, on the ingress side.

use bytes::Bytes;
use futures_util::stream;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use spdlog::info;
use wheel_ingress::{
    AnswerError, CallerAnswer, CallerRequest, PlainTarget, RefusalCode, RequestRefusal,
    RequestTarget, header_names,
};
use wheel_types::RequestOutcome;
use wheel_upstream::{CallTimeouts, ServiceAnswer, ServiceCall};

use crate::claimed_call::ClaimedCall;
use crate::owned_answer::OwnedPlain;
use crate::relay_headers::{RELAY_REFUSAL, relay_headers};
use crate::relay_refusal::{RelayCode, RelayRefusal, until_drained};
use crate::request_pipeline::RouteSearch;
use crate::sent_request::SentRequest;
use crate::{CallCost, OwnerRoute, RelayCall, ReplicaDirectory, RequestPipeline, SlotGuard};

/// Limit of attempts at one call.
const MAX_ATTEMPTS: u32 = 4;
/// Size limit of the body of an owner's refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1_024;
/// Time that a call may exceed its deadline before the owner counts as silent.
const OWNER_GRACE: std::time::Duration = std::time::Duration::from_secs(30);

/// Runs one call of a plain service.
pub(crate) struct PlainRun {
    pipeline: RequestPipeline,
    target: PlainTarget,
    search: RouteSearch,
}

/// The head of an answer, with the slot if the upstream is owned here.
struct PlainHead {
    answer: ServiceAnswer,
    slot: Option<SlotGuard>,
}

impl PlainRun {
    /// Serves a call, under a claim if it must not run twice and has a key.
    pub(crate) async fn serve(
        pipeline: RequestPipeline,
        request: CallerRequest,
    ) -> Result<CallerAnswer, RequestRefusal> {
        let RequestTarget::Plain(target) = request.target.clone() else {
            return Err(RequestRefusal::new(RefusalCode::BadRequest, "not a plain call"));
        };
        let key = request.idempotency_key.clone();
        let route_name = ReplicaDirectory::service_route(&request.service);
        let search = pipeline.new_search(request, route_name, None, None, false);
        let run = Self { pipeline: pipeline.clone(), target, search };
        match key {
            _ if run.target.repeatable => run.dispatch().await,
            None => run_to_end(&pipeline, run.dispatch()).await,
            Some(key) => {
                let claim = ClaimedCall::new(&pipeline, &run.search.request, &run.target, key);
                run_to_end(&pipeline, Box::pin(claim.run(run.dispatch()))).await
            }
        }
    }

    /// Sends the call. One that must not run twice is sent again only if it provably didn't run.
    async fn dispatch(mut self) -> Result<CallerAnswer, RequestRefusal> {
        let mut attempts = 0;
        let mut may_have_run = false;
        loop {
            attempts += 1;
            let route = self.pipeline.locate(&mut self.search).await;
            let route = route.map_err(|refusal| refusal.after_attempts(may_have_run))?;
            if attempts == 1 {
                self.pipeline.count_request(&route.upstream);
            }
            let directory = &self.pipeline.context.directory;
            let rank = self.search.request.rank;
            let sent = SentRequest::begin(directory, &route.upstream, rank, None);
            let result = until_drained(&self.pipeline.context.drain, self.attempt(&route)).await;
            if let Err(refusal) = &result
                && self.pipeline.handle_unreachable_owner(&route, refusal)
            {
                attempts -= 1;
                continue;
            }
            let is_healthy = match &result {
                Ok(head) => !head.answer.status.is_server_error(),
                Err(refusal) => {
                    !matches!(refusal.code, RelayCode::Elsewhere | RelayCode::UpstreamFailed)
                }
            };
            if !is_healthy {
                sent.fail();
            }
            let refusal = match result {
                Ok(head) if head.answer.outcome != RequestOutcome::NotRun => {
                    return Ok(plain_answer(head));
                }
                Ok(mut head) if attempts >= MAX_ATTEMPTS => {
                    if may_have_run {
                        head.answer.outcome = RequestOutcome::Unknown;
                    }
                    return Ok(plain_answer(head));
                }
                Ok(head) => RelayRefusal::elsewhere(&format!(
                    "the upstream answered {} without running it",
                    head.answer.status
                )),
                Err(refusal) => refusal,
            };
            may_have_run |= refusal.outcome != RequestOutcome::NotRun;
            info!("attempt_failed", kv: {
                request = self.search.request.id.as_str(),
                upstream = route.upstream.as_str(),
                owner = route.owner.as_str(),
                reason:? = refusal.message
            });
            if !self.may_retry(&refusal, attempts, &route) {
                return Err(refusal.into_refusal().after_attempts(may_have_run));
            }
        }
    }

    fn may_retry(&mut self, refusal: &RelayRefusal, attempts: u32, route: &OwnerRoute) -> bool {
        let is_safe = match refusal.code {
            RelayCode::Elsewhere => refusal.outcome == RequestOutcome::NotRun,
            RelayCode::UpstreamFailed => self.target.repeatable,
            RelayCode::Overloaded | RelayCode::DeadlinePassed | RelayCode::BadRequest => false,
        };
        is_safe
            && attempts < MAX_ATTEMPTS
            && self.pipeline.may_retry(&mut self.search, &route.upstream)
    }

    async fn attempt(&self, route: &OwnerRoute) -> Result<PlainHead, RelayRefusal> {
        let call = self.relay_call(route);
        let malformed = || RelayRefusal {
            code: RelayCode::BadRequest,
            ..RelayRefusal::elsewhere("the path can't be passed on")
        };
        let path: PathAndQuery = self.target.path.parse().map_err(|_| malformed())?;
        let (method, body) = (self.target.method.clone(), self.search.request.body.clone());
        if route.owner == self.pipeline.context.instance {
            let upstream = self
                .pipeline
                .context
                .owners
                .get(&call.upstream)
                .ok_or_else(|| RelayRefusal::elsewhere("this instance gave the upstream up"))?;
            let headers = self.target.headers.clone();
            let OwnedPlain { answer, slot } =
                upstream.call_service(&call, method, path, headers, body).await?;
            return Ok(PlainHead { answer, slot: Some(slot) });
        }
        let service_call = ServiceCall {
            request_id: call.request_id.clone(),
            method,
            path,
            headers: self.relayed_headers(&call)?,
            body,
            idempotency_key: self.key_header(),
            idempotent: self.target.repeatable,
            timeouts: CallTimeouts::default().first_byte(call.remaining() + OWNER_GRACE),
        };
        let client = self.pipeline.context.relays.client(&route.owner, route.relay).service;
        let answer = client.call(service_call).await;
        let answer = answer.map_err(|failure| RelayRefusal::owner_failed(&failure))?;
        read_relayed(answer).await
    }

    fn relayed_headers(&self, call: &RelayCall) -> Result<HeaderMap, RelayRefusal> {
        let relay = relay_headers(call, self.pipeline.context.key.as_ref())
            .ok_or_else(|| RelayRefusal::elsewhere("the call has no header form"))?;
        let mut headers = self.target.headers.clone();
        headers.extend(relay);
        Ok(headers)
    }

    fn key_header(&self) -> Option<HeaderValue> {
        let key = self.search.request.idempotency_key.as_ref()?;
        HeaderValue::from_str(key).ok()
    }

    fn relay_call(&self, route: &OwnerRoute) -> RelayCall {
        let repeatable = self.target.repeatable;
        let call = self.pipeline.relay_call(&self.search.request, route, CallCost::of_plain_call());
        RelayCall { repeatable, ..call }
    }
}

/// Runs a call that must not be cut off in its own task: if the caller disconnects, the call still
/// completes, and a repeated request gets its outcome.
async fn run_to_end(
    pipeline: &RequestPipeline,
    call: impl Future<Output = Result<CallerAnswer, RequestRefusal>> + Send + 'static,
) -> Result<CallerAnswer, RequestRefusal> {
    pipeline.context.detached.spawn(call).await.unwrap_or_else(|_| {
        let message = "the call's task failed";
        Err(RequestRefusal::new(RefusalCode::UpstreamFailed, message)
            .with_outcome(RequestOutcome::Unknown))
    })
}

/// Distinguishes an owner's refusal from a service's answer that the owner passed on, whose body has
/// then begun.
async fn read_relayed(mut answer: ServiceAnswer) -> Result<PlainHead, RelayRefusal> {
    if !answer.headers.contains_key(RELAY_REFUSAL) {
        answer.begin().await.map_err(|failure| RelayRefusal::owner_failed(&failure))?;
        return Ok(PlainHead { answer, slot: None });
    }
    let outcome = answer.outcome;
    let body = answer.body.collect(MAX_REFUSAL_BYTES).await.unwrap_or_default();
    Err(RelayRefusal::read(&body).unwrap_or_else(|| {
        RelayRefusal::upstream_failed("the owner's refusal was cut short".to_owned(), outcome)
    }))
}

fn plain_answer(head: PlainHead) -> CallerAnswer {
    let PlainHead { answer, slot } = head;
    let status = StatusCode::from_u16(answer.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let (outcome, mut headers) = (answer.outcome, answer.headers);
    headers.remove(header_names::OUTCOME);
    headers.remove(header_names::REQUEST_ID);
    let pieces = stream::try_unfold((answer.body, slot), |(mut body, slot)| async move {
        match body.next().await {
            Ok(Some(piece)) => Ok(Some((Frame::<Bytes>::data(piece), (body, slot)))),
            Ok(None) => Ok(None),
            Err(failure) => Err(AnswerError::BrokeOff { reason: failure.to_string() }),
        }
    });
    let body = StreamBody::new(pieces).boxed_unsync();
    CallerAnswer { status, outcome, headers, body }
}
