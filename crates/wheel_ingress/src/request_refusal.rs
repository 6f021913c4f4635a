//! The refusal of a request, as returned to callers.

use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use wheel_types::RequestOutcome;

use crate::{CallerAnswer, full_body};

/// Why a request was refused instead of answered by an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The caller is unknown.
    UnknownCaller,
    /// The caller may not use the service.
    Forbidden,
    /// The model, service or path doesn't exist.
    NotFound,
    /// The method isn't allowed on this path.
    MethodNotAllowed,
    /// The body didn't arrive in time.
    BodyTimeout,
    /// The body is too large.
    BodyTooLarge,
    /// The idempotency key was already used with another body.
    KeyReused,
    /// More requests wait than can be answered by their deadlines.
    Overloaded,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No upstream can serve the request now.
    Unavailable,
    /// The instance is draining or has no manifest yet.
    NotReady,
    /// An upstream failed while it may have been running the request.
    UpstreamFailed,
}

impl RefusalCode {
    /// The HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownCaller => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::Unavailable | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// The code in the error body and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownCaller => "unknown_caller",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::BodyTimeout => "body_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::KeyReused => "idempotency_key_reused",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline_passed",
            Self::Unavailable => "unavailable",
            Self::NotReady => "not_ready",
            Self::UpstreamFailed => "upstream_failed",
        }
    }
}

/// A final answer that doesn't come from an upstream.
///
/// ```
/// use wheel_ingress::{RefusalCode, RequestRefusal};
/// use wheel_types::RequestOutcome;
///
/// let refusal = RequestRefusal::new(RefusalCode::Overloaded, "the queue is full");
/// assert_eq!(refusal.outcome, RequestOutcome::NotRun);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// The reason as a code.
    pub code: RefusalCode,
    /// The reason as a message.
    pub message: String,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// When the caller may retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    outcome: RequestOutcome,
}

impl RequestRefusal {
    /// A refusal of a request that didn't run.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), outcome: RequestOutcome::NotRun, retry_after: None }
    }

    /// Sets the request's outcome.
    pub fn with_outcome(mut self, outcome: RequestOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the outcome to unknown if earlier attempts may have run the request, because the
    /// refusal must not claim then that it hasn't run.
    pub fn after_attempts(self, may_have_run: bool) -> Self {
        match may_have_run {
            true => self.with_outcome(RequestOutcome::Unknown),
            false => self,
        }
    }

    /// Sets when the caller may retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Converts the refusal to an answer with an OpenAI error body.
    pub fn into_answer(self) -> CallerAnswer {
        let kind = if self.code.status().is_client_error() { "invalid_request" } else { "server" };
        let detail = ErrorDetail {
            message: &self.message,
            r#type: kind,
            code: self.code.as_str(),
            outcome: self.outcome,
        };
        let body = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
        let mut answer = CallerAnswer::new(self.code.status(), self.outcome, full_body(body));
        let json = HeaderValue::from_static("application/json");
        answer.headers.insert(header::CONTENT_TYPE, json);
        if let Some(wait) = self.retry_after {
            answer.headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
        }
        answer
    }
}

/// `Retry-After` is in whole seconds, rounded up so that it is never too short.
fn whole_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1_000).max(1) as u64
}
