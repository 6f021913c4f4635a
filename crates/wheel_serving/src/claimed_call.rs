//! A call that must not run twice, under a claim.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderName, HeaderValue, StatusCode, header};
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

use crate::{KeeperError, ServingPath};

/// Marks an answer that was recorded for an earlier request with the same key.
const REPLAYED: HeaderName = HeaderName::from_static("wheel-replayed");
/// Time between two looks at a claim that another request holds.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that recording an outcome may take before the caller is answered all the same.
const RECORD_LIMIT: Duration = Duration::from_secs(2);
/// Time over which giving a claim up is tried again.
const RELEASE_LIMIT: Duration = Duration::from_secs(60);
/// Time after which a refused caller should come back when the group can't be reached.
const GROUP_RETRY: Duration = Duration::from_secs(2);
/// The largest body of an answer that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 4 * 1_024;

/// One request's part in a claim.
pub(crate) struct ClaimedCall {
    path: ServingPath,
    claim: ClaimId,
    digest: RequestDigest,
    holder: ClaimHolder,
    deadline: Instant,
}

impl ClaimedCall {
    pub(crate) fn new(
        path: &ServingPath,
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
            instance: path.parts.instance.clone(),
            incarnation: path.parts.incarnation,
            request: request.id.clone(),
        };
        Self { path: path.clone(), claim, digest, holder, deadline: request.deadline }
    }

    /// Claims the call, has `dispatch` send it, and records its outcome; or answers what an
    /// earlier request with the same key got.
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
                if error == KeeperError::Unresolved {
                    // The claim may be ours without our knowing; nothing was sent under it.
                    self.spawn_release();
                }
                let message = format!("the call can't be claimed: {error}");
                Err(RequestRefusal::new(RefusalCode::Unavailable, message)
                    .with_retry_after(GROUP_RETRY))
            }
        }
    }

    /// Has an action committed by `deadline`, and by the end of a drain.
    async fn submit_in_time(
        &self,
        action: GroupAction,
        deadline: Instant,
    ) -> Result<ClaimAnswer, KeeperError> {
        let parts = &self.path.parts;
        tokio::select! {
            biased;
            submitted = parts.claims.submit(action, parts.drain.bound(deadline)) => submitted,
            () = parts.drain.passed() => Err(KeeperError::Unresolved),
        }
    }

    async fn run_granted(
        self,
        dispatch: impl Future<Output = Result<CallerAnswer, RequestRefusal>>,
    ) -> Result<CallerAnswer, RequestRefusal> {
        // If the caller goes away while the call is out, the outcome stays unknown.
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

    /// Records an answer before it is passed on, so that a resend finds it.
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

    /// Gives the claim up or leaves it unknown for good.
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
        let claims = Arc::clone(&self.path.parts.claims);
        let request = self.holder.request.clone();
        self.path.parts.detached.spawn(async move {
            let limit = Instant::now() + RELEASE_LIMIT;
            while Instant::now() < limit {
                if claims.submit(action.clone(), limit).await.is_ok() {
                    return;
                }
                tokio::time::sleep(RECHECK_INTERVAL).await;
            }
            warn!("claim_left_open", kv: { request = request.as_str() });
        });
    }

    /// Waits a moment for another request's outcome; marks it unknown if its instance died.
    async fn wait_for(&self, holder: &ClaimHolder) -> Result<(), RequestRefusal> {
        let claims = &self.path.parts.claims;
        if !claims.is_alive(&holder.instance, holder.incarnation) {
            let action =
                GroupAction::AbandonCall { claim: self.claim.clone(), holder: holder.clone() };
            let _ = self.submit_in_time(action, self.deadline).await;
            return Ok(());
        }
        if Instant::now() + RECHECK_INTERVAL >= self.path.parts.drain.bound(self.deadline) {
            let message = "an earlier request with this key is still being answered";
            return Err(RequestRefusal::new(RefusalCode::Unavailable, message)
                .with_outcome(RequestOutcome::Unknown)
                .with_retry_after(GROUP_RETRY));
        }
        tokio::time::sleep(RECHECK_INTERVAL).await;
        Ok(())
    }
}

/// Marks the outcome as unknown when the request's future is dropped while its call is out.
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
                .with_retry_after(GROUP_RETRY)
        }
        ClaimAnswer::TooLarge => {
            RequestRefusal::new(RefusalCode::BadRequest, "the idempotency key is too long")
        }
        ClaimAnswer::Granted
        | ClaimAnswer::InProgress { .. }
        | ClaimAnswer::Finished { .. }
        | ClaimAnswer::Released
        | ClaimAnswer::NotHeld => {
            debug_assert!(false, "a claim isn't answered with {answer:?} here");
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

/// Reads a body up to the size that is recorded. Returns its bytes if that was all, and a body
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
