//! Answers that don't come from an upstream.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use wheel_ingress::{AnswerBody, full_body};

/// Builds an answer with a plain-text message and an optional `Retry-After` header.
pub(crate) fn refusal(
    status: StatusCode,
    message: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(format!("{message}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
