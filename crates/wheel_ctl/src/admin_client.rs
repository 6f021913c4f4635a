//! Calls of the admin interface over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST, IF_MATCH};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::{AdminAnswer, AdminRequest, CtlFailure, CtlSettings};

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// First pause between two attempts; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two attempts, whatever the server asks for.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Sends calls to the instances of the settings, one connection each.
pub struct AdminClient<'a> {
    settings: &'a CtlSettings,
}

/// An attempt without an answer.
struct LostAttempt {
    /// Whether the call may have been carried out.
    sent: bool,
    reason: String,
}

impl<'a> AdminClient<'a> {
    /// A client of the instances in the settings.
    pub fn open(settings: &'a CtlSettings) -> Self {
        Self { settings }
    }

    /// Sends a call, and sends it again, to the next instance, when the answer is lost or the server
    /// is busy. The call must be one that may be repeated.
    ///
    /// # Errors
    /// [`CtlFailure::Unreachable`] if no attempt may have been carried out, else
    /// [`CtlFailure::UnknownOutcome`]; [`CtlFailure::Refused`] if the server stays busy.
    pub async fn send(&self, request: &AdminRequest) -> Result<AdminAnswer, CtlFailure> {
        let mut sent = false;
        let mut pause = FIRST_PAUSE;
        let endpoints = self.settings.endpoints.iter().cycle();
        let mut attempts = endpoints.take(self.settings.retries as usize + 1).peekable();
        while let Some(endpoint) = attempts.next() {
            let last = attempts.peek().is_none();
            match self.attempt(*endpoint, request).await {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE && !last => {
                    sleep(answer.retry_after.unwrap_or(pause).clamp(pause, MAX_PAUSE)).await;
                }
                Ok(answer) if is_unclear(&answer, sent) => {
                    let reason = format!("status {}: {}", answer.status, answer.text().trim());
                    return Err(CtlFailure::UnknownOutcome { reason });
                }
                Ok(answer) => return Ok(answer),
                Err(lost) => {
                    sent |= lost.sent;
                    match sent {
                        _ if !last => sleep(pause).await,
                        true => return Err(CtlFailure::UnknownOutcome { reason: lost.reason }),
                        false => return Err(CtlFailure::Unreachable { reason: lost.reason }),
                    }
                }
            }
            pause = (pause * 2).min(MAX_PAUSE);
        }
        Err(CtlFailure::Unreachable { reason: "no endpoint".to_owned() })
    }

    async fn attempt(
        &self,
        endpoint: SocketAddr,
        request: &AdminRequest,
    ) -> Result<AdminAnswer, LostAttempt> {
        let limit = self.settings.timeout;
        let not_sent = |reason: String| LostAttempt { sent: false, reason };
        let stream = match timeout(limit, TcpStream::connect(endpoint)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(format!("{endpoint}: {error}"))),
            Err(_) => return Err(not_sent(format!("{endpoint}: no connection in time"))),
        };
        let request = self.make_http(endpoint, request);
        let request = request.map_err(|error| not_sent(error.to_string()))?;
        match timeout(limit, exchange(stream, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => {
                Err(LostAttempt { sent: true, reason: format!("{endpoint}: {reason}") })
            }
            Err(_) => {
                Err(LostAttempt { sent: true, reason: format!("{endpoint}: no answer in time") })
            }
        }
    }

    fn make_http(
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
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    driver.abort();
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok(AdminAnswer::new(parts.status, &parts.headers, body))
}

/// Whether an error of the server leaves open what became of the call.
fn is_unclear(answer: &AdminAnswer, sent: bool) -> bool {
    answer.status.is_server_error() && (sent || answer.status != StatusCode::SERVICE_UNAVAILABLE)
}
