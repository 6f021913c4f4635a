//! The fake weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::Instant;
use wheel_types::ModelName;

use crate::fake_server::{FakeAbort, FakeBody, FakeHandler, FakeServer, json_answer};

/// Settings of a fake store.
#[derive(Clone, Debug)]
pub struct FakeStoreSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Maximum number of loads that start in a second; more are delayed.
    pub loads_per_second: f64,
    /// Number of concurrent loads that run at full speed; more share the bandwidth of these.
    pub full_speed_loads: usize,
    /// Duration of one load at full speed.
    pub load_time: Duration,
}

impl Default for FakeStoreSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            loads_per_second: 10.0,
            full_speed_loads: 4,
            load_time: Duration::from_millis(100),
        }
    }
}

/// A running fake store.
pub struct FakeStore {
    shared: Arc<StoreShared>,
    server: FakeServer,
}

struct StoreShared {
    settings: FakeStoreSettings,
    state: Mutex<StoreState>,
}

struct StoreState {
    next_start: Instant,
    in_flight: usize,
    max_in_flight: usize,
    loads: u64,
    slowness: f64,
}

impl FakeStore {
    /// Starts a store.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn bind(settings: FakeStoreSettings) -> io::Result<Self> {
        let state = StoreState {
            next_start: Instant::now(),
            in_flight: 0,
            max_in_flight: 0,
            loads: 0,
            slowness: 1.0,
        };
        let shared = Arc::new(StoreShared { state: Mutex::new(state), settings });
        let server = FakeServer::bind(shared.settings.address, shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.address
    }

    /// Multiplies the duration of every load that starts from now on.
    pub fn set_slowness(&self, factor: f64) {
        self.shared.state.lock().slowness = factor;
    }

    /// Number of loads that have started.
    pub fn loads(&self) -> u64 {
        self.shared.state.lock().loads
    }

    /// Highest number of concurrent loads so far.
    pub fn max_in_flight(&self) -> usize {
        self.shared.state.lock().max_in_flight
    }

    /// Downloads a checkpoint like an engine. An unreachable store counts as a finished download.
    pub(crate) async fn fetch(store: SocketAddr, model: &ModelName, version: u32) {
        let Ok(stream) = TcpStream::connect(store).await else { return };
        let Ok((mut send, connection)) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await
        else {
            return;
        };
        let driver = tokio::spawn(connection);
        let uri = format!("/checkpoints/{model}/{version}");
        let request = Request::get(uri).header("host", "store").body(Empty::<Bytes>::new());
        if let Ok(request) = request {
            let _ = send.send_request(request).await;
        }
        driver.abort();
    }
}

impl FakeHandler for StoreShared {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<FakeBody>, FakeAbort>> {
        Box::pin(self.load(request))
    }
}

impl StoreShared {
    async fn load(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<FakeBody>, FakeAbort> {
        let Some(checkpoint) = request.uri().path().strip_prefix("/checkpoints/") else {
            return Ok(json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such checkpoint"})));
        };
        let start = self.reserve_start();
        tokio::time::sleep_until(start).await;
        let load_time = self.start_load();
        tokio::time::sleep(load_time).await;
        self.state.lock().in_flight -= 1;
        Ok(json_answer(StatusCode::OK, &json!({"checkpoint": checkpoint})))
    }

    fn reserve_start(&self) -> Instant {
        let mut state = self.state.lock();
        let start = state.next_start.max(Instant::now());
        state.next_start = start + Duration::from_secs_f64(1.0 / self.settings.loads_per_second);
        start
    }

    fn start_load(&self) -> Duration {
        let mut state = self.state.lock();
        state.loads += 1;
        state.in_flight += 1;
        state.max_in_flight = state.max_in_flight.max(state.in_flight);
        let shared = state.in_flight as f64 / self.settings.full_speed_loads as f64;
        self.settings.load_time.mul_f64(shared.max(1.0) * state.slowness)
    }
}
