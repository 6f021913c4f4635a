//! A call that must not run twice, protected by a claim.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderValue, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use spdlog::warn;
use tokio::time::Instant;
use wheel_agreement::{
    CallAnswer, ClaimAnswer, ClaimHolder, ClaimId, GroupAction, IdempotencyKey, RequestDigest,
};
use wheel_ingress::{
    AnswerBody, AnswerError, CallerAnswer, CallerRequest, PlainTarget, RefusalCode, RequestRefusal,
    full_body,
};
use wheel_types::RequestOutcome;

use crate::relay_headers::REPLAYED;
use crate::{ClaimError, RequestPipeline};

/// Interval for checking a claim that another request holds, and for retrying to settle one.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that recording an outcome may take before the caller is answered anyway.
const RECORD_LIMIT: Duration = Duration::from_secs(2);
/// Time during which settling a claim is retried.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// `Retry-After` of a refusal when the group can't be reached.
const GROUP_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Size limit of the body of a recorded answer, in bytes.
const MAX_RECORDED_BYTES: usize = 4 * 1_024;

/// A request that claims a call.
pub(crate) struct ClaimedCall {
    pipeline: RequestPipeline,
    claim: ClaimId,
    digest: RequestDigest,
    holder: ClaimHolder,
    deadline: Instant,
}

impl ClaimedCall {
    pub(crate) fn new(
        pipeline: &RequestPipeline,
        request: &CallerRequest,
        target: &PlainTarget,
        key: Arc<str>,
    ) -> Self {
        let claim = ClaimId {
            service: request.service.clone(),
            caller: request.caller.clone(),
            key: IdempotencyKey::new(key),
        };
        let method = target.method.as_str().as_bytes();
        let digest = RequestDigest::of_parts(&[method, target.path.as_bytes(), &request.body]);
        let holder = ClaimHolder {
            instance: pipeline.context.instance.clone(),
            incarnation: pipeline.context.incarnation,
            request: request.id.clone(),
        };
        Self { pipeline: pipeline.clone(), claim, digest, holder, deadline: request.deadline }
    }

    /// Claims the call, sends it with `dispatch` and records its outcome, or returns the answer to
    /// an earlier request with the same key.
    pub(crate) async fn run(
        self,
        dispatch: impl Future<Output = Result<CallerAnswer, RequestRefusal>>,
    ) -> Result<CallerAnswer, RequestRefusal> {
        loop {
            match self.submit_claim().await? {
                ClaimAnswer::Granted => return self.run_granted(dispatch).await,
                ClaimAnswer::Finished { answer } => return Ok(replay(answer)),
                ClaimAnswer::InProgress { holder } => self.wait_for(&holder).await?,
                answer => return Err(claim_refusal(&answer)),
            }
        }
    }

    async fn submit_claim(&self) -> Result<ClaimAnswer, RequestRefusal> {
        let action = GroupAction::ClaimCall {
            claim: self.claim.clone(),
            digest: self.digest,
            holder: self.holder.clone(),
        };
        match self.submit_in_time(action, self.deadline).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                if error == ClaimError::Unresolved {
                    // The claim may have been granted without our knowledge; nothing was sent yet.
                    self.spawn_release();
                }
                let message = format!("the call can't be claimed: {error}");
                Err(RequestRefusal::new(RefusalCode::Unavailable, message)
                    .with_retry_after(GROUP_RETRY_AFTER))
            }
        }
    }

    /// Commits an action by `deadline`, and by the end of a drain.
    async fn submit_in_time(
        &self,
        action: GroupAction,
        deadline: Instant,
    ) -> Result<ClaimAnswer, ClaimError> {
        let context = &self.pipeline.context;
        tokio::select! {
            biased;
            submitted = context.claims.submit(action, context.drain.bound(deadline)) => submitted,
            () = context.drain.passed() => Err(ClaimError::Unresolved),
        }
    }

    async fn run_granted(
        self,
        dispatch: impl Future<Output = Result<CallerAnswer, RequestRefusal>>,
    ) -> Result<CallerAnswer, RequestRefusal> {
        // If the caller disconnects while the call is in progress, the outcome stays unknown.
        let mut abandon = AbandonGuard { call: Some(self) };
        let result = dispatch.await;
        let Some(call) = abandon.call.take() else { return result };
        match result {
            Ok(answer) if answer.outcome == RequestOutcome::Ran => call.record(answer).await,
            Ok(answer) => {
                call.settle(answer.outcome);
                Ok(answer)
            }
            Err(refusal) => {
                call.settle(refusal.outcome);
                Err(refusal)
            }
        }
    }

    /// Records an answer before it is passed on, so that a repeated request gets it.
    async fn record(self, answer: CallerAnswer) -> Result<CallerAnswer, RequestRefusal> {
        let CallerAnswer { status, outcome, headers, body } = answer;
        let (kept, body) = split_body(body).await;
        let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let action = GroupAction::FinishCall {
            claim: self.claim.clone(),
            holder: self.holder.clone(),
            answer: CallAnswer {
                status: status.as_u16(),
                content_type: content_type.unwrap_or_default().into(),
                body: kept.map(|kept| Arc::from(&kept[..])),
            },
        };
        let limit = Instant::now() + RECORD_LIMIT;
        if let Err(error) = self.submit_in_time(action.clone(), limit).await {
            warn!("claim_not_recorded", kv: {
                request = self.holder.request.as_str(),
                reason:? = error.to_string()
            });
            self.spawn_submit(action);
        }
        Ok(CallerAnswer { status, outcome, headers, body })
    }

    /// Releases the claim, or marks its outcome as unknown for good.
    fn settle(self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::NotRun => self.spawn_release(),
            RequestOutcome::Ran | RequestOutcome::Unknown => self.spawn_abandon(),
        }
    }

    fn spawn_release(&self) {
        let (claim, holder) = (self.claim.clone(), self.holder.clone());
        self.spawn_submit(GroupAction::ReleaseCall { claim, holder });
    }

    fn spawn_abandon(&self) {
        let (claim, holder) = (self.claim.clone(), self.holder.clone());
        self.spawn_submit(GroupAction::AbandonCall { claim, holder });
    }

    fn spawn_submit(&self, action: GroupAction) {
        let claims = Arc::clone(&self.pipeline.context.claims);
        let request = self.holder.request.clone();
        self.pipeline.context.detached.spawn(async move {
            let limit = Instant::now() + SETTLE_LIMIT;
            while Instant::now() < limit {
                if claims.submit(action.clone(), limit).await.is_ok() {
                    return;
                }
                tokio::time::sleep(RECHECK_INTERVAL).await;
            }
            warn!("claim_left_open", kv: { request = request.as_str() });
        });
    }

    /// Waits one interval for another request's outcome; marks it unknown if its instance is gone.
    async fn wait_for(&self, holder: &ClaimHolder) -> Result<(), RequestRefusal> {
        let claims = &self.pipeline.context.claims;
        if !claims.is_alive(&holder.instance, holder.incarnation) {
            let action =
                GroupAction::AbandonCall { claim: self.claim.clone(), holder: holder.clone() };
            let _ = self.submit_in_time(action, self.deadline).await;
            return Ok(());
        }
        if Instant::now() + RECHECK_INTERVAL >= self.pipeline.context.drain.bound(self.deadline) {
            let message = "an earlier request with this key is still being answered";
            return Err(RequestRefusal::new(RefusalCode::Unavailable, message)
                .with_outcome(RequestOutcome::Unknown)
                .with_retry_after(GROUP_RETRY_AFTER));
        }
        tokio::time::sleep(RECHECK_INTERVAL).await;
        Ok(())
    }
}

/// Marks the outcome as unknown if the request's future is dropped while its call is in progress.
struct AbandonGuard {
    call: Option<ClaimedCall>,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            call.spawn_abandon();
        }
    }
}

fn claim_refusal(answer: &ClaimAnswer) -> RequestRefusal {
    match answer {
        ClaimAnswer::Mismatch => RequestRefusal::new(
            RefusalCode::KeyReused,
            "the idempotency key was used with another request",
        ),
        ClaimAnswer::Unknown => RequestRefusal::new(
            RefusalCode::UpstreamFailed,
            "an earlier request with this key may have run; it won't be sent again",
        )
        .with_outcome(RequestOutcome::Unknown),
        ClaimAnswer::Full => {
            RequestRefusal::new(RefusalCode::Unavailable, "too many claims are kept")
                .with_retry_after(GROUP_RETRY_AFTER)
        }
        ClaimAnswer::TooLarge => {
            RequestRefusal::new(RefusalCode::BadRequest, "the idempotency key is too long")
        }
        ClaimAnswer::Granted
        | ClaimAnswer::InProgress { .. }
        | ClaimAnswer::Finished { .. }
        | ClaimAnswer::Released
        | ClaimAnswer::NotHeld => {
            debug_assert!(false, "unexpected answer to a claim: {answer:?}");
            RequestRefusal::new(RefusalCode::Unavailable, "the claim has an unexpected state")
        }
    }
}

fn replay(answer: CallAnswer) -> CallerAnswer {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let bytes = answer.body.map_or_else(Bytes::new, |body| Bytes::copy_from_slice(&body));
    let mut replayed = CallerAnswer::new(status, RequestOutcome::Ran, full_body(bytes));
    replayed.headers.insert(REPLAYED, HeaderValue::from_static("1"));
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !answer.content_type.is_empty()
    {
        replayed.headers.insert(header::CONTENT_TYPE, value);
    }
    replayed
}

/// Reads a body up to the size limit of a recorded answer. Returns its bytes if it fits, and a body
/// with the same content.
async fn split_body(mut body: AnswerBody) -> (Option<Bytes>, AnswerBody) {
    let mut start = BytesMut::new();
    let next = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
                if start.len() > MAX_RECORDED_BYTES {
                    break None;
                }
            }
            Some(Err(error)) => break Some(error),
            None => {
                let whole = start.freeze();
                return (Some(whole.clone()), full_body(whole));
            }
        }
    };
    let first: Result<Frame<Bytes>, AnswerError> = Ok(Frame::data(start.freeze()));
    let rest = match next {
        Some(error) => stream::iter([Err(error)]).boxed(),
        None => body.into_data_stream().map(|data| data.map(Frame::data)).boxed(),
    };
    (None, StreamBody::new(stream::iter([first]).chain(rest)).boxed_unsync())
}
