//! Names of the headers that the system reads and sets.

use http::HeaderName;

/// The request's id, set in every answer and in every call to an upstream.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("wheel-request-id");
/// The outcome of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("wheel-outcome");
/// The caller's own deadline, in milliseconds from arrival to the first byte of the answer.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("wheel-deadline-ms");
/// The caller's key for calls that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
