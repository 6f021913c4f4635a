//! The time for which an upstream asks not to be called.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};

/// Maximum time that one answer can ask for; further ones follow if the upstream still refuses.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// The time for which an upstream asks not to be called: the `Retry-After` of a 503, in seconds,
/// which may have a fraction. A date, and anything else that isn't a positive number, counts as
/// none.
pub fn asked_rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    // In a 429 it concerns one caller, not the upstream.
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    let is_positive = seconds.is_finite() && seconds > 0.0;
    is_positive.then(|| Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
}
