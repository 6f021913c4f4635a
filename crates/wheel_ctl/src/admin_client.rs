//! HTTP client of the admin interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, IF_MATCH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::{AdminAnswer, AdminRequest, CtlFailure, CtlSettings};

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Pause before the first retry; it doubles with each retry up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two attempts, even if `Retry-After` asks for more.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Sends requests to the configured instances, each on a new connection.
pub struct AdminClient<'a> {
    settings: &'a CtlSettings,
}

/// An attempt that got no answer.
struct FailedAttempt {
    /// Whether the server may have executed the request.
    maybe_executed: bool,
    reason: String,
}

impl<'a> AdminClient<'a> {
    /// Creates a client of the instances in the settings. It connects when a request is sent.
    pub fn open(settings: &'a CtlSettings) -> Self {
        Self { settings }
    }

    /// Sends a request, and retries it at the next instance if no answer arrives, or if the server
    /// is busy (status 503) or doesn't know the outcome (status 504). The request must be
    /// idempotent.
    ///
    /// # Errors
    /// [`CtlFailure::Unreachable`] if no attempt can have been executed, else
    /// [`CtlFailure::UnknownOutcome`]. If the server stays busy, its answer is returned.
    pub async fn send(&self, request: &AdminRequest) -> Result<AdminAnswer, CtlFailure> {
        let mut maybe_executed = false;
        let mut pause = FIRST_PAUSE;
        let endpoints = self.settings.endpoints.iter().cycle();
        let mut attempts = endpoints.take(self.settings.retries as usize + 1).peekable();
        while let Some(endpoint) = attempts.next() {
            let last = attempts.peek().is_none();
            match self.attempt(*endpoint, request).await {
                Ok(answer) if is_transient(answer.status) && !last => {
                    maybe_executed |= answer.status == StatusCode::GATEWAY_TIMEOUT;
                    sleep(answer.retry_after.unwrap_or(pause).clamp(pause, MAX_PAUSE)).await;
                }
                Ok(answer) if is_outcome_unknown(&answer, maybe_executed) => {
                    let reason = format!("status {}: {}", answer.status, answer.text().trim());
                    return Err(CtlFailure::UnknownOutcome { reason });
                }
                Ok(answer) => return Ok(answer),
                Err(failed) => {
                    maybe_executed |= failed.maybe_executed;
                    match maybe_executed {
                        _ if !last => sleep(pause).await,
                        true => return Err(CtlFailure::UnknownOutcome { reason: failed.reason }),
                        false => return Err(CtlFailure::Unreachable { reason: failed.reason }),
                    }
                }
            }
            pause = (pause * 2).min(MAX_PAUSE);
        }
        Err(CtlFailure::Unreachable { reason: "no endpoint is configured".to_owned() })
    }

    async fn attempt(
        &self,
        endpoint: SocketAddr,
        request: &AdminRequest,
    ) -> Result<AdminAnswer, FailedAttempt> {
        let time_limit = self.settings.timeout;
        let not_sent = |reason: String| FailedAttempt { maybe_executed: false, reason };
        let stream = match timeout(time_limit, TcpStream::connect(endpoint)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(format!("{endpoint}: {error}"))),
            Err(_) => return Err(not_sent(format!("{endpoint}: connecting timed out"))),
        };
        let request = self.build_http(endpoint, request);
        let request = request.map_err(|error| not_sent(error.to_string()))?;
        match timeout(time_limit, exchange(stream, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => {
                Err(FailedAttempt { maybe_executed: true, reason: format!("{endpoint}: {reason}") })
            }
            Err(_) => Err(FailedAttempt {
                maybe_executed: true,
                reason: format!("{endpoint}: the request timed out"),
            }),
        }
    }

    fn build_http(
        &self,
        endpoint: SocketAddr,
        request: &AdminRequest,
    ) -> http::Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder().method(request.method.clone()).uri(&request.path);
        builder = builder.header(HOST, endpoint.to_string());
        if let Some(token) = &self.settings.token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(base) = request.base {
            builder = builder.header(IF_MATCH, format!("\"{base}\""));
        }
        if let Some(key) = &request.key {
            builder = builder.header("idempotency-key", key);
        }
        builder.body(Full::new(request.body.clone()))
    }
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<AdminAnswer, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let (parts, body) = answer.into_parts();
    if !body.is_end_stream() && !has_marked_end(&parts.headers) {
        return Err("the answer has neither a length nor chunks, so that it may be cut".to_owned());
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    driver.abort();
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok(AdminAnswer::new(parts.status, &parts.headers, body))
}

/// Whether the end of the body differs from the end of its connection.
fn has_marked_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether a retry may succeed.
fn is_transient(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

/// Whether a server error leaves it unknown if the request was executed.
fn is_outcome_unknown(answer: &AdminAnswer, maybe_executed: bool) -> bool {
    answer.status.is_server_error()
        && (maybe_executed || answer.status != StatusCode::SERVICE_UNAVAILABLE)
}
