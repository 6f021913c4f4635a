//! A minimal HTTP client for tests and the quickstart.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::HarnessError;

/// Timeout for the head of a response.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// Time after which an idle connection isn't reused. It is shorter than the idle timeout of the
/// servers.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// A response with its body.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Time from sending the request to the first byte of the body.
    pub first_byte: Duration,
    /// Whether the body ended properly rather than by a broken connection.
    pub complete: bool,
}

impl HttpReply {
    /// A header's value, or the empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON, or null if it isn't JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends HTTP requests to servers on loopback.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false).pool_idle_timeout(IDLE_LIMIT);
        Self { client: builder.build_http() }
    }
}

impl HttpClient {
    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// [`HarnessError::Http`] if no response begins. A truncated body isn't an error; the reply
    /// reports it by [`HttpReply::complete`].
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpReply, HarnessError> {
        let what = format!("{method} {address}{path}");
        let failed = |reason: String| HarnessError::Http { what: what.clone(), reason };
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request =
            request.body(Full::new(body.into())).map_err(|error| failed(error.to_string()))?;
        let started = Instant::now();
        let answer = tokio::time::timeout(CALL_LIMIT, self.client.request(request)).await;
        let answer = answer.map_err(|_| failed("no response in time".to_owned()))?;
        let (parts, mut body) = answer.map_err(|error| failed(format!("{error:?}")))?.into_parts();
        let mut whole = Vec::new();
        let mut first_byte = None;
        let mut complete = true;
        while let Some(frame) = body.frame().await {
            first_byte.get_or_insert_with(|| started.elapsed());
            match frame.map(|frame| frame.into_data().unwrap_or_default()) {
                Ok(data) => whole.extend_from_slice(&data),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Ok(HttpReply {
            status: parts.status,
            headers: parts.headers,
            body: whole.into(),
            first_byte: first_byte.unwrap_or_else(|| started.elapsed()),
            complete,
        })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// [`HarnessError::Http`] if no response begins.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<HttpReply, HarnessError> {
        self.call(Method::GET, address, path, &[], Bytes::new()).await
    }
}
