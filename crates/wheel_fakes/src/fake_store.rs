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

/// How fast a fake store is.
#[derive(Clone, Debug)]
pub struct FakeStoreSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Loads that may begin in a second; more are held back.
    pub loads_per_second: f64,
    /// Loads in flight that run at full speed; more share that speed.
    pub full_speed_loads: usize,
    /// Time of one load at full speed.
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
    pace: Mutex<StorePace>,
}

struct StorePace {
    next_begin: Instant,
    in_flight: usize,
    max_in_flight: usize,
    loads: u64,
    slowness: f64,
}

impl FakeStore {
    /// Starts a store.
    pub async fn bind(settings: FakeStoreSettings) -> io::Result<Self> {
        let pace = StorePace {
            next_begin: Instant::now(),
            in_flight: 0,
            max_in_flight: 0,
            loads: 0,
            slowness: 1.0,
        };
        let shared = Arc::new(StoreShared { pace: Mutex::new(pace), settings });
        let server = FakeServer::bind(shared.settings.address, shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.address
    }

    /// Makes every load that begins from now on this many times slower.
    pub fn set_slowness(&self, times: f64) {
        self.shared.pace.lock().slowness = times;
    }

    /// Loads that began.
    pub fn loads(&self) -> u64 {
        self.shared.pace.lock().loads
    }

    /// The most loads that were in flight at once.
    pub fn max_in_flight(&self) -> usize {
        self.shared.pace.lock().max_in_flight
    }

    /// Reads a checkpoint as an engine does; a store that can't be reached counts as read.
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
        let begin = self.reserve_begin();
        tokio::time::sleep_until(begin).await;
        let load_time = self.begin();
        tokio::time::sleep(load_time).await;
        self.pace.lock().in_flight -= 1;
        Ok(json_answer(StatusCode::OK, &json!({"checkpoint": checkpoint})))
    }

    fn reserve_begin(&self) -> Instant {
        let mut pace = self.pace.lock();
        let begin = pace.next_begin.max(Instant::now());
        pace.next_begin = begin + Duration::from_secs_f64(1.0 / self.settings.loads_per_second);
        begin
    }

    fn begin(&self) -> Duration {
        let mut pace = self.pace.lock();
        pace.loads += 1;
        pace.in_flight += 1;
        pace.max_in_flight = pace.max_in_flight.max(pace.in_flight);
        let shared = pace.in_flight as f64 / self.settings.full_speed_loads as f64;
        self.settings.load_time.mul_f64(shared.max(1.0) * pace.slowness)
    }
}
