//! The platform's list of upstreams.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::wire_request::WireRequest;
use crate::wire_server::{AfterAnswer, WireHandler, bind_wire, write_bytes, write_json};
use crate::{SoakError, UpstreamStandIn};

/// The time until the list shows a change.
const USUAL_LAG: Duration = Duration::from_millis(400);
/// The same while it lags.
const LONG_LAG: Duration = Duration::from_secs(3);
/// Time between two looks at the upstreams.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What the list does wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListFault {
    /// It shows what was seconds ago.
    Lags,
    /// It answers 500.
    Fails,
    /// Some entries can't be read, some lack fields, some name no service.
    Unreadable,
}

/// A listening list.
pub struct ListStandIn {
    shared: Arc<ListShared>,
    address: SocketAddr,
    tasks: [AbortHandle; 2],
}

struct ListShared {
    fault: Mutex<Option<ListFault>>,
    /// What was listed, the newest last.
    history: Mutex<VecDeque<(Instant, Vec<Value>)>>,
}

impl ListStandIn {
    /// Listens on a free port and lists `upstreams`.
    ///
    /// # Errors
    /// [`SoakError`] if no port is free.
    pub async fn bind(upstreams: Arc<[UpstreamStandIn]>) -> Result<Self, SoakError> {
        let shared = Arc::new(ListShared { fault: Mutex::new(None), history: Mutex::default() });
        let (address, serving) = bind_wire(Arc::clone(&shared)).await?;
        let looking = tokio::spawn(follow(Arc::clone(&shared), upstreams)).abort_handle();
        Ok(Self { shared, address, tasks: [serving, looking] })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on it does this wrong, or nothing.
    pub fn set_fault(&self, fault: Option<ListFault>) {
        *self.shared.fault.lock() = fault;
    }
}

impl Drop for ListStandIn {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn follow(shared: Arc<ListShared>, upstreams: Arc<[UpstreamStandIn]>) {
    let mut ticks = tokio::time::interval(LOOK_INTERVAL);
    loop {
        ticks.tick().await;
        let entries = upstreams.iter().filter_map(UpstreamStandIn::entry).collect();
        let mut history = shared.history.lock();
        history.push_back((Instant::now(), entries));
        while history.front().is_some_and(|(at, _)| at.elapsed() > 2 * LONG_LAG) {
            history.pop_front();
        }
    }
}

impl ListShared {
    /// The newest entries that are older than `lag`, else the oldest.
    fn shown(&self, lag: Duration) -> Vec<Value> {
        let history = self.history.lock();
        let shown = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        shown.or(history.front()).map(|(_, entries)| entries.clone()).unwrap_or_default()
    }
}

impl WireHandler for ListShared {
    async fn converse(&self, stream: &mut TcpStream) -> AfterAnswer {
        let (read, mut write) = stream.split();
        let mut reader = BufReader::new(read);
        while let Ok(Some(_)) = WireRequest::read(&mut reader).await {
            let fault = *self.fault.lock();
            let lag = if fault == Some(ListFault::Lags) { LONG_LAG } else { USUAL_LAG };
            let mut entries = self.shown(lag);
            if fault == Some(ListFault::Unreadable) {
                entries.push(json!({"id": "nowhere", "service": 7}));
                entries.push(json!({"id": 3, "state": "melting"}));
            }
            let mut bytes =
                json!({"instances": entries, "nextToken": null}).to_string().into_bytes();
            let written = match fault {
                Some(ListFault::Fails) => write_json(&mut write, 500, &json!({})).await,
                Some(ListFault::Unreadable) => {
                    // One name becomes bytes that aren't text.
                    if let Some(at) = bytes.windows(7).position(|part| part == b"nowhere") {
                        bytes[at] = 0xff;
                    }
                    write_bytes(&mut write, 200, &bytes).await
                }
                _ => write_bytes(&mut write, 200, &bytes).await,
            };
            if written.is_err() {
                break;
            }
        }
        AfterAnswer::Close
    }
}
