//! A stub of the platform's list of upstreams.

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
use crate::wire_server::{ConnectionAction, WireHandler, bind_wire, write_bytes, write_json};
use crate::{SoakError, UpstreamStub};

/// Time until the list shows a change.
const DEFAULT_LAG: Duration = Duration::from_millis(400);
/// The same during [`ListFault::Lags`].
const FAULT_LAG: Duration = Duration::from_secs(3);
/// Interval at which the upstreams are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A fault of the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListFault {
    /// It is seconds out of date.
    Lags,
    /// It answers 500.
    Fails,
    /// Some entries are unreadable, lack fields or name no valid service.
    Unreadable,
    /// It has one odd entry beside the sound ones.
    Odd(OddEntry),
}

/// An entry of another writer, which names no upstream to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OddEntry {
    /// Thousands of arrays in one another.
    Nested,
    /// A number beyond the range of a double.
    HugeNumber,
    /// Half of a surrogate pair in a text.
    Surrogate,
    /// Bytes that aren't UTF-8.
    Bytes,
    /// A port beyond 65535.
    Port,
    /// A negative number of slots.
    Slots,
    /// Neither id nor service.
    Nameless,
    /// The id of a listed upstream, without the fields that an upstream needs.
    Twin,
    /// An unknown id at the address of a listed upstream.
    SameAddress,
}

/// Depth of a nested entry.
const NESTED_DEPTH: usize = 5_000;

impl OddEntry {
    /// The bytes of the entry beside `entries`; the one that it resembles is a leaving one, if any leaves.
    fn bytes(self, entries: &[Value]) -> Vec<u8> {
        let leaving = entries.iter().find(|entry| entry["state"] == "draining");
        let sound = leaving.or(entries.first()).cloned().unwrap_or_default();
        let with = |id: Value, field: &str, value: Value| {
            let mut entry = sound.clone();
            (entry["id"], entry[field], entry["state"]) = (id, value, json!("ready"));
            entry.to_string().into_bytes()
        };
        let text = |part: &str| format!("{{\"id\":\"odd\",\"extra\":{part}}}").into_bytes();
        match self {
            Self::Nested => text(&("[".repeat(NESTED_DEPTH) + &"]".repeat(NESTED_DEPTH))),
            Self::HugeNumber => text("1e999"),
            Self::Surrogate => text("\"\\ud800\""),
            Self::Bytes => [&b"{\"id\":\""[..], &[0xff, 0xc3], b"\"}"].concat(),
            Self::Port => with(sound["id"].clone(), "address", json!("127.0.0.1:99999")),
            Self::Slots => with(sound["id"].clone(), "slots", json!(-4)),
            Self::Nameless => {
                json!({"address": sound["address"], "state": "ready"}).to_string().into()
            }
            Self::Twin => json!({"id": sound["id"], "state": "ready"}).to_string().into(),
            Self::SameAddress => with(json!("odd"), "service", json!("nobody")),
        }
    }
}

/// A running stub of the list.
pub struct ListStub {
    shared: Arc<ListShared>,
    address: SocketAddr,
    tasks: [AbortHandle; 2],
}

struct ListShared {
    fault: Mutex<Option<ListFault>>,
    /// Past contents, the newest last.
    history: Mutex<VecDeque<(Instant, Vec<Value>)>>,
}

impl ListStub {
    /// Listens on a free port and lists `upstreams`.
    ///
    /// # Errors
    /// [`SoakError`] if no port is free.
    pub async fn bind(upstreams: Arc<[UpstreamStub]>) -> Result<Self, SoakError> {
        let shared = Arc::new(ListShared { fault: Mutex::new(None), history: Mutex::default() });
        let (address, serving) = bind_wire(Arc::clone(&shared)).await?;
        let polling = tokio::spawn(poll_upstreams(Arc::clone(&shared), upstreams)).abort_handle();
        Ok(Self { shared, address, tasks: [serving, polling] })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: Option<ListFault>) {
        *self.shared.fault.lock() = fault;
    }
}

impl Drop for ListStub {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn poll_upstreams(shared: Arc<ListShared>, upstreams: Arc<[UpstreamStub]>) {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        let entries = upstreams.iter().filter_map(UpstreamStub::entry).collect();
        let mut history = shared.history.lock();
        history.push_back((Instant::now(), entries));
        while history.front().is_some_and(|(at, _)| at.elapsed() > 2 * FAULT_LAG) {
            history.pop_front();
        }
    }
}

impl ListShared {
    /// The newest contents that are at least as old as `lag`, or else the oldest.
    fn visible_entries(&self, lag: Duration) -> Vec<Value> {
        let history = self.history.lock();
        let visible_entries = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        visible_entries.or(history.front()).map(|(_, entries)| entries.clone()).unwrap_or_default()
    }
}

/// The list as JSON, with the odd entry of the fault before and after the sound ones.
fn write_page(entries: &[Value], fault: Option<ListFault>) -> Vec<u8> {
    let odd = match fault {
        Some(ListFault::Odd(odd)) => Some(odd.bytes(entries)),
        _ => None,
    };
    let sound = entries.iter().map(|entry| entry.to_string().into_bytes());
    let parts: Vec<Vec<u8>> = odd.clone().into_iter().chain(sound).chain(odd).collect();
    [&b"{\"instances\":["[..], &parts.join(&b','), b"],\"nextToken\":null}"].concat()
}

impl WireHandler for ListShared {
    async fn serve(&self, stream: &mut TcpStream) -> ConnectionAction {
        let (read, mut write) = stream.split();
        let mut reader = BufReader::new(read);
        while let Ok(Some(_)) = WireRequest::read(&mut reader).await {
            let fault = *self.fault.lock();
            let lag = if fault == Some(ListFault::Lags) { FAULT_LAG } else { DEFAULT_LAG };
            let mut entries = self.visible_entries(lag);
            if fault == Some(ListFault::Unreadable) {
                entries.push(json!({"id": "nowhere", "service": 7}));
                entries.push(json!({"id": 3, "state": "melting"}));
            }
            let mut bytes = write_page(&entries, fault);
            let written = match fault {
                Some(ListFault::Fails) => write_json(&mut write, 500, &json!({})).await,
                Some(ListFault::Unreadable) => {
                    // Makes one name invalid UTF-8.
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
        ConnectionAction::Close
    }
}
