//! A call to a plain service.

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method};
use wheel_types::RequestId;

use crate::CallTimeouts;

/// One call.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The id, which the service repeats in its answer.
    pub request_id: RequestId,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: PathAndQuery,
    /// The caller's headers; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The caller's idempotency key, which is forwarded.
    pub idempotency_key: Option<HeaderValue>,
    /// Whether it can run twice without harm. A call that isn't idempotent uses only a new
    /// connection and never ends early because that was retired.
    pub idempotent: bool,
    /// The timeouts.
    pub timeouts: CallTimeouts,
}
