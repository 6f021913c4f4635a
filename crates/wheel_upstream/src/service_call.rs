//! A call to a plain service.

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method};
use wheel_types::RequestId;

use crate::CallTimeouts;

/// One call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Its id; the service repeats it in its answer.
    pub request_id: RequestId,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// The caller's headers; those of a connection are left out.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The caller's idempotency key, which is passed on.
    pub idempotency_key: Option<HeaderValue>,
    /// Whether running it twice does no harm. A call that isn't idempotent goes over a fresh
    /// connection only, and is never given up early.
    pub idempotent: bool,
    /// Its timeouts.
    pub timeouts: CallTimeouts,
}
