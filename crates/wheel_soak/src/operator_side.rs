//! The operators: they send configurations, read them back and look what is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use parking_lot::Mutex;
use tokio::task::JoinSet;
use wheel_harness::{HttpClient, HttpReply};
use wheel_platform::wire_names;

use crate::config_document::{ConfigDocument, ROUTE_HOST};
use crate::platform_headers::SIGNATURE;
use crate::soak_system::CONTROL_COUNT;
use crate::{ObservationSink, SeenEvent, SoakSystem};

/// Where control instances take and show configurations.
/// The time after which an operator tries another control instance.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// The time between two tries, times the number of tries.
const TRY_PAUSE: Duration = Duration::from_millis(100);
/// The most tries of one change.
const MOST_TRIES: u32 = 40;
/// Time between two usual changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two reads at a control instance.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two looks at an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The newest versions that are probed.
const PROBED_VERSIONS: usize = 3;
/// Changes of a storm.
const STORM_CHANGES: u64 = 8;

/// The operators of a run; cheap to clone.
#[derive(Clone)]
pub struct OperatorSide {
    system: Arc<SoakSystem>,
    sink: ObservationSink,
    caller: HttpClient,
    shared: Arc<OperatorRecord>,
}

#[derive(Default)]
struct OperatorRecord {
    /// The highest version that was given out.
    given: AtomicU64,
    /// Versions that were sent, the newest last.
    sent: Mutex<Vec<u64>>,
    /// Chooses the control instance that is asked first.
    turn: AtomicU64,
}

impl OperatorSide {
    /// Operators of a system.
    pub fn new(system: Arc<SoakSystem>, sink: ObservationSink) -> Self {
        Self { system, sink, caller: HttpClient::default(), shared: Arc::default() }
    }

    /// Looks at all processes and makes a change from time to time, until it is dropped.
    pub fn spawn_rounds(&self) -> JoinSet<()> {
        let mut rounds = JoinSet::new();
        for place in 0..self.system.count() {
            let side = self.clone();
            match place < CONTROL_COUNT {
                true => rounds.spawn(async move { side.read_rounds(place).await }),
                false => rounds.spawn(async move { side.probe_rounds(place).await }),
            };
            if place >= CONTROL_COUNT {
                let side = self.clone();
                rounds.spawn(async move { side.readiness_rounds(place).await });
            }
        }
        let side = self.clone();
        rounds.spawn(async move {
            loop {
                tokio::time::sleep(CHANGE_INTERVAL).await;
                side.change(0).await;
            }
        });
        rounds
    }

    /// Sends the next version until it is acknowledged; false if it never was.
    pub async fn change(&self, step: u64) -> bool {
        let version = self.next_version(1 + step);
        self.send(ConfigDocument { version, variant: 0 }).await
    }

    /// Many changes, each sent while those before it are under way.
    pub async fn storm(&self) {
        let mut changes = JoinSet::new();
        for step in 0..STORM_CHANGES {
            let side = self.clone();
            changes.spawn(async move { side.change(step % 3).await });
            tokio::time::sleep(TRY_PAUSE).await;
        }
        changes.join_all().await;
    }

    /// Two operators: two documents of one version, and an older change after a newer one.
    pub async fn race(&self) {
        let older = self.next_version(1);
        let version = self.next_version(4);
        let mut changes = JoinSet::new();
        for (version, variant) in [(version, 1), (version, 2), (older, 3)] {
            let side = self.clone();
            changes.spawn(async move { side.send(ConfigDocument { version, variant }).await });
        }
        changes.join_all().await;
    }

    /// Documents that must be refused, at all control instances.
    pub async fn send_invalid(&self) {
        for place in 0..CONTROL_COUNT {
            // Nobody else uses this version, so that its acceptance shows.
            let version = self.next_version(1);
            let document = ConfigDocument { version, variant: 0 };
            let body = document.invalid_bytes(version);
            let reply = self
                .call(
                    Method::PUT,
                    self.system.operators(place),
                    wire_names::CONFIGURATION_PATH,
                    body,
                )
                .await;
            if reply.is_some_and(|reply| reply.status.is_success()) {
                let process = self.system.name(place);
                self.sink.note(SeenEvent::InvalidAccepted { version, process });
            }
        }
    }

    fn next_version(&self, step: u64) -> u64 {
        self.shared.given.fetch_add(step, Ordering::Relaxed) + step
    }

    async fn send(&self, document: ConfigDocument) -> bool {
        let version = document.version;
        let body = Bytes::from(document.bytes());
        let first = self.shared.turn.fetch_add(1, Ordering::Relaxed) as usize;
        for tried in 0..MOST_TRIES {
            let place = (first + tried as usize) % CONTROL_COUNT;
            let process = self.system.name(place);
            self.sink.note(SeenEvent::ChangeSent { version, process });
            self.note_sent(version);
            let reply = self
                .call(
                    Method::PUT,
                    self.system.operators(place),
                    wire_names::CONFIGURATION_PATH,
                    body.clone(),
                )
                .await;
            if reply.is_some_and(|reply| reply.status.as_u16() == 200) {
                self.sink.note(SeenEvent::ChangeAcknowledged { version });
                return true;
            }
            tokio::time::sleep(TRY_PAUSE * tried.min(10)).await;
        }
        false
    }

    fn note_sent(&self, version: u64) {
        let mut sent = self.shared.sent.lock();
        if !sent.contains(&version) {
            sent.push(version);
            sent.sort_unstable();
            let old = sent.len().saturating_sub(PROBED_VERSIONS);
            sent.drain(..old);
        }
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Option<HttpReply> {
        let headers = [("host", ROUTE_HOST), (wire_names::ATTEMPT_ID, "probe")];
        let calling = self.caller.call(method, address, path, &headers, body);
        let reply = tokio::time::timeout(CALL_LIMIT, calling).await.ok()?.ok()?;
        reply.complete.then_some(reply)
    }

    async fn read_rounds(&self, place: usize) {
        loop {
            tokio::time::sleep(READ_INTERVAL).await;
            let (asked, process) = (self.sink.now(), self.system.name(place));
            let reply = self
                .call(
                    Method::GET,
                    self.system.operators(place),
                    wire_names::CONFIGURATION_PATH,
                    Bytes::new(),
                )
                .await;
            let reply = reply.filter(|reply| reply.status.as_u16() == 200);
            let version = reply.and_then(|reply| reply.json()["version"].as_u64());
            self.sink.note(SeenEvent::ChangeRead { asked, process, version });
        }
    }

    /// Finds the version in force by the routes that only one version has.
    async fn probe_rounds(&self, place: usize) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let versions = self.shared.sent.lock().clone();
            for version in versions.into_iter().rev() {
                let (sent, process) = (self.sink.now(), self.system.name(place));
                let path = ConfigDocument::probe_path(version);
                let address = self.system.callers(place);
                let reply = self.call(Method::GET, address, &path, Bytes::new()).await;
                match reply {
                    Some(reply) if reply.status.as_u16() == 404 => {}
                    // A refusal tells nothing: the entry may not have any configuration yet.
                    Some(reply) if reply.headers.contains_key(SIGNATURE) => {
                        self.sink.note(SeenEvent::ChangeObserved { sent, process, version });
                        break;
                    }
                    _ => break,
                }
            }
        }
    }

    async fn readiness_rounds(&self, place: usize) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let address = self.system.readiness(place);
            let asking = self.call(Method::GET, address, wire_names::READINESS_PATH, Bytes::new());
            let is_ready = asking.await.map(|reply| reply.status.as_u16() == 200);
            let process = self.system.name(place);
            self.sink.note(SeenEvent::Readiness { process, is_ready });
        }
    }
}
