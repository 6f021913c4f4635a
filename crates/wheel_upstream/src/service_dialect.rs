//! The protocol of a plain service.

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, Request, StatusCode, Uri};
use wheel_types::{RequestId, RequestOutcome};

use crate::wheel_dialect::{OUTCOME, REQUEST_ID};
use crate::{FailureKind, ServiceCall};

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Builds the HTTP requests of a service and reads id and outcome from its answers.
pub trait ServiceDialect: Send + Sync + 'static {
    /// A request that a live service answers at once, with `id` as the id of the answer; with
    /// `None`, idle connections are closed instead of probed.
    fn probe(&self, id: &RequestId) -> Option<Request<Bytes>>;

    /// The request of a call.
    fn request(&self, call: &ServiceCall) -> Result<Request<Bytes>, FailureKind>;

    /// The id of the call that an answer belongs to.
    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Whether an orderly close of the connection completes an answer without a length or chunks.
    fn ends_by_close(&self) -> bool {
        false
    }

    /// Whether the call ran, according to its answer.
    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> RequestOutcome;
}

/// Any HTTP service that repeats the request id, as `docs/PROTOCOLS.md` requires.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainDialect;

impl ServiceDialect for PlainDialect {
    fn probe(&self, _: &RequestId) -> Option<Request<Bytes>> {
        None
    }

    fn request(&self, call: &ServiceCall) -> Result<Request<Bytes>, FailureKind> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(Uri::from(call.path.clone()))
            .header(REQUEST_ID, call.request_id.as_str())
            .body(call.body.clone())
            .map_err(|error| FailureKind::Malformed { message: error.to_string() })?;
        let own_id = request.headers_mut().remove(REQUEST_ID);
        *request.headers_mut() = without_hop_headers(call.headers.clone());
        request.headers_mut().remove(EXPECT);
        request.headers_mut().remove(HOST);
        request.headers_mut().remove(CONTENT_LENGTH);
        if let Some(own_id) = own_id {
            request.headers_mut().insert(REQUEST_ID, own_id);
        }
        if let Some(key) = &call.idempotency_key {
            request.headers_mut().insert(IDEMPOTENCY_KEY, key.clone());
        }
        Ok(request)
    }

    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(REQUEST_ID)?.to_str().ok()
    }

    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> RequestOutcome {
        let reported = headers.get(OUTCOME).and_then(|value| value.to_str().ok());
        match reported.and_then(RequestOutcome::parse) {
            Some(outcome) => outcome,
            None if status.is_server_error() => RequestOutcome::Unknown,
            None => RequestOutcome::Ran,
        }
    }
}

/// Removes hop-by-hop headers, which belong to one connection only.
pub fn without_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named = listed.flat_map(|list| list.split(','));
    let named: Vec<HeaderName> = named.filter_map(|name| name.trim().parse().ok()).collect();
    let hop = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in named.iter().chain(&hop) {
        headers.remove(name);
    }
    headers
}
