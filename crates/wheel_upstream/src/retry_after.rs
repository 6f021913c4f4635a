//! The time for which an upstream asks not to be called.

use std::time::Duration;

use http::HeaderMap;
use http::header::RETRY_AFTER;

/// Maximum time that a `Retry-After` counts for; further ones follow if the upstream still refuses.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// The time in a `Retry-After` header in seconds, which may have a fraction. A date, and anything else
/// that isn't a positive number, counts as none.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    let is_positive = seconds.is_finite() && seconds > 0.0;
    is_positive.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())))
}
