//! Requests of the admin interface and their answers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, RETRY_AFTER};
use http::{HeaderMap, Method, StatusCode};
use serde::Deserialize;

use crate::CtlFailure;

/// A request of the admin interface.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The revision to send in `If-Match`.
    pub base: Option<u64>,
    /// The key to send in `Idempotency-Key`.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl AdminRequest {
    /// Creates a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, Bytes::new())
    }

    /// Creates a request with a body.
    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method, path: path.into(), base: None, key: None, body: body.into() }
    }

    /// Sets the revision of `If-Match`.
    pub fn base(mut self, base: u64) -> Self {
        self.base = Some(base);
        self
    }

    /// Sets the key of `Idempotency-Key`.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }
}

/// An instance's answer to an [`AdminRequest`].
#[derive(Clone, Debug)]
pub struct AdminAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The revision from `ETag`.
    pub revision: Option<u64>,
    /// The time from `Retry-After`.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

/// The fields of an error's JSON body that the tool reads.
#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: serde_json::Value,
    revision: u64,
}

impl AdminAnswer {
    /// Takes the status and body, and parses the `ETag` and `Retry-After` headers.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let revision = header(ETAG).and_then(|etag| etag.trim_matches('"').parse().ok());
        let retry_after = header(RETRY_AFTER).and_then(|seconds| seconds.parse().ok());
        Self { status, revision, retry_after: retry_after.map(Duration::from_secs), body }
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the answer if its status is a success.
    ///
    /// # Errors
    /// [`CtlFailure::Conflict`] for status 412, else [`CtlFailure::Refused`].
    pub fn into_success(self) -> Result<Self, CtlFailure> {
        match self.status {
            status if status.is_success() => Ok(self),
            StatusCode::PRECONDITION_FAILED => {
                Err(CtlFailure::Conflict { revision: self.error_body().revision })
            }
            status => Err(CtlFailure::Refused { status: status.as_u16(), reason: self.reason() }),
        }
    }

    fn error_body(&self) -> ErrorBody {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The `error` field of the body, or the whole body if it isn't JSON with that field.
    fn reason(&self) -> String {
        match self.error_body().error {
            serde_json::Value::Null => self.text().trim().to_owned(),
            serde_json::Value::String(reason) => reason,
            other => other.to_string(),
        }
    }
}
