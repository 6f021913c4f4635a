//! The fake plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};
use http::HeaderValue;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use wheel_types::RequestId;

use crate::FaultPlan;
use crate::fake_engine::set_request_id;
use crate::fake_server::{
    FakeAbort, FakeBody, FakeHandler, FakeServer, full_body, json_answer, read_body,
};

const CUT_PAUSE: Duration = Duration::from_millis(5);

/// A running fake of a booking service: a `POST` is a booking, any other method a lookup.
pub struct FakeService {
    shared: Arc<ServiceShared>,
    server: FakeServer,
}

#[derive(Default)]
struct ServiceShared {
    faults: Mutex<FaultPlan>,
    runs: Mutex<RunCounts>,
}

#[derive(Default)]
struct RunCounts {
    by_request: HashMap<String, u64>,
    by_key: HashMap<String, u64>,
    refused: u64,
}

impl FakeService {
    /// Starts a service on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::<ServiceShared>::default();
        let server = FakeServer::bind(address, shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: FaultPlan) {
        *self.shared.faults.lock() = faults;
    }

    /// Number of bookings made for a request id.
    pub fn runs(&self, request: &RequestId) -> u64 {
        let runs = self.shared.runs.lock();
        runs.by_request.get(request.as_str()).copied().unwrap_or_default()
    }

    /// Number of bookings made for an idempotency key.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        self.shared.runs.lock().by_key.get(key).copied().unwrap_or_default()
    }

    /// Simulates a crash: listener and connections close immediately.
    pub async fn kill(&self) {
        self.server.kill().await;
    }
}

impl FakeHandler for ServiceShared {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<FakeBody>, FakeAbort>> {
        Box::pin(self.answer(request))
    }

    fn never_read(&self) -> bool {
        self.faults.lock().never_read
    }
}

impl ServiceShared {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<FakeBody>, FakeAbort> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await?;
        let word = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let (id, key) = (word("wheel-request-id"), word("idempotency-key"));
        let faults = self.faults.lock().clone();
        match (&head.method, head.uri.path()) {
            (&Method::PUT, "/fake/faults") => {
                *self.faults.lock() = serde_json::from_slice(&body).unwrap_or_default();
                return Ok(json_answer(StatusCode::OK, &json!({})));
            }
            (&Method::GET, "/fake/counters") => {
                let runs = self.runs.lock();
                let counters = json!({"by_request": runs.by_request, "by_key": runs.by_key,
                    "calls_refused": runs.refused});
                return Ok(json_answer(StatusCode::OK, &counters));
            }
            _ => {}
        }
        let runs = head.method == Method::POST && !faults.refuse;
        if runs {
            self.count(id, key);
        }
        if faults.never_answer {
            return std::future::pending().await;
        }
        faults.delay_answer().await;
        if faults.close_before_answer {
            return Err(FakeAbort);
        }
        let text = json!({"booked": runs, "request": id, "key": key, "path": head.uri.path()});
        let mut answer = json_answer(StatusCode::OK, &text);
        if let Some(after) = faults.cut_after {
            *answer.body_mut() = cut_body(&text.to_string().into(), after);
        }
        if faults.refuse {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            *answer.body_mut() = full_body(Bytes::from_static(b"full"));
            answer.headers_mut().insert("wheel-outcome", HeaderValue::from_static("not-run"));
            faults.add_retry_after(&mut answer);
            self.runs.lock().refused += 1;
        }
        let own_id = id.map(RequestId::new);
        if let Some(id) = faults.answer_id.or(own_id) {
            set_request_id(&mut answer, &id);
        }
        Ok(answer)
    }

    fn count(&self, id: Option<&str>, key: Option<&str>) {
        let mut runs = self.runs.lock();
        *runs.by_request.entry(id.unwrap_or_default().to_owned()).or_default() += 1;
        *runs.by_key.entry(key.unwrap_or_default().to_owned()).or_default() += 1;
    }
}

fn cut_body(whole: &Bytes, after: u64) -> FakeBody {
    let kept = whole.slice(..whole.len().min(after as usize));
    let cut = async {
        // The server sends buffered data only while it waits for more.
        tokio::time::sleep(CUT_PAUSE).await;
        Err(FakeAbort)
    };
    let frames = stream::iter([Ok(Frame::data(kept))]).chain(stream::once(cut));
    StreamBody::new(frames).boxed_unsync()
}
