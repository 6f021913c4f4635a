//! Headers between ingress instances and owners, and those that only the system may set.

use http::{HeaderMap, HeaderName, HeaderValue};
use wheel_ingress::header_names;

use crate::{RelayCall, RelayKey};

/// Carries a [`RelayCall`] as JSON.
pub(crate) const RELAY: HeaderName = HeaderName::from_static("wheel-relay");
/// Carries the authentication code of [`RELAY`], if the group has a secret.
pub(crate) const RELAY_CODE: HeaderName = HeaderName::from_static("wheel-relay-code");
/// Marks an answer as the owner's refusal, not the upstream's answer.
pub(crate) const RELAY_REFUSAL: HeaderName = HeaderName::from_static("wheel-relay-refusal");

/// Marks an answer to a caller as recorded for an earlier request with the same key.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("wheel-replayed");

/// The headers that only the system may set. A caller's or a service's would be taken for its own.
const SYSTEM_HEADERS: [HeaderName; 5] =
    [RELAY, RELAY_CODE, RELAY_REFUSAL, REPLAYED, header_names::OUTCOME];

/// Creates the headers of a relayed call; `None` if the call isn't valid in a header.
pub(crate) fn relay_headers(call: &RelayCall, key: Option<&RelayKey>) -> Option<HeaderMap> {
    let json = serde_json::to_vec(call).ok()?;
    let mut headers = HeaderMap::new();
    if let Some(key) = key {
        headers.insert(RELAY_CODE, HeaderValue::from_str(&key.sign(&json)).ok()?);
    }
    headers.insert(RELAY, HeaderValue::from_bytes(&json).ok()?);
    Some(headers)
}

/// Parses and authenticates the headers of a relayed call.
pub(crate) fn read_relay_call(headers: &HeaderMap, key: Option<&RelayKey>) -> Option<RelayCall> {
    let json = headers.get(RELAY)?.as_bytes();
    let code = headers.get(RELAY_CODE).and_then(|code| code.to_str().ok()).unwrap_or_default();
    let authentic = key.is_none_or(|key| key.verify(json, code));
    authentic.then(|| serde_json::from_slice(json).ok())?
}

/// Removes what only the system may set from the headers of a caller's call, or of an answer whose
/// outcome was read.
pub(crate) fn without_system_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in &SYSTEM_HEADERS {
        headers.remove(name);
    }
    headers
}
