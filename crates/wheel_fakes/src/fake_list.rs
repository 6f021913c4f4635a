//! The fake instance list.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;
use wheel_types::CentreName;

use crate::fake_server::{FakeAbort, FakeBody, FakeHandler, FakeServer, json_answer};

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ListEntry {
    /// Its name.
    pub name: Arc<str>,
    /// `instance` or `upstream`.
    pub kind: Arc<str>,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Its address.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: Arc<str>,
    /// Time in this state, in milliseconds.
    pub since_ms: u64,
}

/// A running fake instance list. `PUT /instances` replaces it, as [`FakeList::set`] does.
pub struct FakeList {
    shared: Arc<ListShared>,
    server: FakeServer,
}

struct ListShared {
    lag: Duration,
    versions: Mutex<Vec<ListVersion>>,
}

struct ListVersion {
    set_at: Instant,
    entries: Vec<ListEntry>,
}

impl FakeList {
    /// Starts a list on `address` that returns `entries` from the start and later changes after
    /// `lag`.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn bind(
        address: SocketAddr,
        lag: Duration,
        entries: Vec<ListEntry>,
    ) -> io::Result<Self> {
        let first = ListVersion { set_at: Instant::now(), entries };
        let shared = Arc::new(ListShared { lag, versions: Mutex::new(vec![first]) });
        let server = FakeServer::bind(address, shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list, which becomes visible after the lag.
    pub fn set(&self, entries: Vec<ListEntry>) {
        self.shared.set(entries);
    }
}

impl FakeHandler for ListShared {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<FakeBody>, FakeAbort>> {
        Box::pin(self.answer(request))
    }
}

impl ListShared {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<FakeBody>, FakeAbort> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/instances") => Ok(json_answer(StatusCode::OK, &self.shown())),
            (&Method::PUT, "/instances") => {
                let body = request.into_body().collect().await.map_err(|_| FakeAbort)?.to_bytes();
                self.set(serde_json::from_slice(&body).map_err(|_| FakeAbort)?);
                Ok(json_answer(StatusCode::OK, &json!({})))
            }
            _ => Ok(json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such path"}))),
        }
    }

    fn set(&self, entries: Vec<ListEntry>) {
        self.versions.lock().push(ListVersion { set_at: Instant::now(), entries });
    }

    /// The newest version that is at least as old as the lag, or else the first one.
    fn shown(&self) -> Vec<ListEntry> {
        let mut versions = self.versions.lock();
        let newest = versions.iter().rposition(|version| version.set_at.elapsed() >= self.lag);
        versions.drain(..newest.unwrap_or_default());
        versions.first().map(|version| version.entries.clone()).unwrap_or_default()
    }
}
