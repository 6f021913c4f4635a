//! An owner's refusal, as sent to the ingress instance.

use std::future::Future;
use std::time::Duration;

use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use wheel_ingress::{
    AnswerBody, DrainDeadline, RefusalCode, RequestRefusal, full_body, header_names,
};
use wheel_types::RequestOutcome;
use wheel_upstream::{CallFailure, FailureKind};

use crate::relay_headers::RELAY_REFUSAL;

/// The body of an owner's refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RelayRefusal {
    pub(crate) code: RelayCode,
    pub(crate) message: String,
    pub(crate) outcome: RequestOutcome,
    pub(crate) retry_after_ms: Option<u64>,
    /// True if no owner was reached at all; never sent.
    #[serde(skip)]
    pub(crate) owner_gone: bool,
}

/// The reason of an owner's refusal, as far as the ingress depends on it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RelayCode {
    /// This instance doesn't own the upstream, or the upstream takes no work: try again elsewhere.
    Elsewhere,
    /// The queue refused it: final.
    Overloaded,
    /// The deadline passed in the queue: final.
    DeadlinePassed,
    /// The request itself is wrong: final.
    BadRequest,
    /// The upstream failed; the outcome says whether it may have run.
    UpstreamFailed,
}

impl RelayRefusal {
    pub(crate) fn elsewhere(message: &str) -> Self {
        Self {
            code: RelayCode::Elsewhere,
            message: message.to_owned(),
            outcome: RequestOutcome::NotRun,
            retry_after_ms: None,
            owner_gone: false,
        }
    }

    /// The refusal for a call that failed without an answer of the owner.
    pub(crate) fn owner_failed(failure: &CallFailure) -> Self {
        let owner_gone =
            matches!(failure.kind, FailureKind::Connect { .. } | FailureKind::ConnectTimeout);
        Self { owner_gone, ..Self::upstream_failed(failure.to_string(), failure.outcome()) }
    }

    pub(crate) fn upstream_failed(message: String, outcome: RequestOutcome) -> Self {
        let code = match outcome {
            RequestOutcome::NotRun => RelayCode::Elsewhere,
            RequestOutcome::Ran | RequestOutcome::Unknown => RelayCode::UpstreamFailed,
        };
        Self { code, message, outcome, retry_after_ms: None, owner_gone: false }
    }

    /// The refusal for a call that was in progress when this instance ended.
    pub(crate) fn drain_ended() -> Self {
        let message = "the instance ended before the answer came".to_owned();
        Self::upstream_failed(message, RequestOutcome::Unknown)
    }

    /// Reads the body of a refusal; `None` if it isn't one.
    pub(crate) fn read(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// The HTTP response that carries it, without the request's id.
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(full_body(body));
        *response.status_mut() = match self.code {
            RelayCode::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let headers = response.headers_mut();
        headers.insert(RELAY_REFUSAL, HeaderValue::from_static("1"));
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        headers.insert(header_names::OUTCOME, outcome);
        response
    }

    /// The refusal for the caller.
    pub(crate) fn into_refusal(self) -> RequestRefusal {
        let code = match self.code {
            RelayCode::Elsewhere => RefusalCode::Unavailable,
            RelayCode::Overloaded => RefusalCode::Overloaded,
            RelayCode::DeadlinePassed => RefusalCode::DeadlinePassed,
            RelayCode::BadRequest => RefusalCode::BadRequest,
            RelayCode::UpstreamFailed => RefusalCode::UpstreamFailed,
        };
        let refusal = RequestRefusal::new(code, self.message).with_outcome(self.outcome);
        match self.retry_after_ms {
            Some(millis) => refusal.with_retry_after(Duration::from_millis(millis)),
            None => refusal,
        }
    }
}

/// Waits for a call at most until `drain` ends. Calls that wait for a slot here are refused when
/// the drain begins, so one that is still in progress may have been sent.
pub(crate) async fn until_drained<T>(
    drain: &DrainDeadline,
    call: impl Future<Output = Result<T, RelayRefusal>>,
) -> Result<T, RelayRefusal> {
    tokio::select! {
        biased;
        result = call => result,
        () = drain.passed() => Err(RelayRefusal::drain_ended()),
    }
}

impl From<RequestRefusal> for RelayRefusal {
    fn from(refusal: RequestRefusal) -> Self {
        let code = match refusal.code {
            RefusalCode::Overloaded => RelayCode::Overloaded,
            RefusalCode::DeadlinePassed => RelayCode::DeadlinePassed,
            RefusalCode::BadRequest => RelayCode::BadRequest,
            _ => RelayCode::Elsewhere,
        };
        Self {
            code,
            message: refusal.message,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
            owner_gone: false,
        }
    }
}
