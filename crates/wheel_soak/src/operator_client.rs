//! The operators, who send configurations, read them back and probe which one is in force.

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

/// Timeout of a request, after which an operator tries another control instance.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Unit of the pause between two attempts, which grows with the number of attempts.
const TRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of attempts to send one change.
const MAX_TRIES: u32 = 40;
/// Interval of the regular changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which the configuration is read at a control instance.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which an ingress instance is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of newest versions that are probed.
const PROBED_VERSIONS: usize = 3;
/// Number of changes in a storm.
const STORM_CHANGES: u64 = 8;

/// The operators of a run; cheap to clone.
#[derive(Clone)]
pub struct OperatorClient {
    system: Arc<SoakSystem>,
    sink: ObservationSink,
    http: HttpClient,
    shared: Arc<OperatorRecord>,
    has_teams: bool,
}

#[derive(Default)]
struct OperatorRecord {
    /// The highest version that was assigned.
    last_version: AtomicU64,
    /// The newest versions that were sent, in ascending order.
    sent: Mutex<Vec<u64>>,
    /// Selects the control instance for the first attempt of a change.
    next_instance: AtomicU64,
}

impl OperatorClient {
    /// Creates the operators of a system.
    pub fn new(system: Arc<SoakSystem>, sink: ObservationSink, has_teams: bool) -> Self {
        Self { system, sink, http: HttpClient::default(), shared: Arc::default(), has_teams }
    }

    /// Starts tasks that probe all processes and send regular changes, until the set is dropped.
    pub fn spawn_loops(&self) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for index in 0..self.system.count() {
            let client = self.clone();
            match index < CONTROL_COUNT {
                true => tasks.spawn(async move { client.read_loop(index).await }),
                false => tasks.spawn(async move { client.probe_loop(index).await }),
            };
            if index >= CONTROL_COUNT {
                let client = self.clone();
                tasks.spawn(async move { client.readiness_loop(index).await });
            }
        }
        let client = self.clone();
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(CHANGE_INTERVAL).await;
                client.change(0).await;
            }
        });
        tasks
    }

    /// Sends the next version until it is acknowledged; false if all attempts failed.
    pub async fn change(&self, step: u64) -> bool {
        let version = self.next_version(1 + step);
        self.send(self.document(version, 0)).await
    }

    /// Sends many changes, each while previous ones are in progress.
    pub async fn storm(&self) {
        let mut changes = JoinSet::new();
        for step in 0..STORM_CHANGES {
            let client = self.clone();
            changes.spawn(async move { client.change(step % 3).await });
            tokio::time::sleep(TRY_PAUSE).await;
        }
        changes.join_all().await;
    }

    /// Simulates concurrent operators: two documents of the same version, and an older version after
    /// a newer one.
    pub async fn race(&self) {
        let older = self.next_version(1);
        let version = self.next_version(4);
        let mut changes = JoinSet::new();
        for (version, variant) in [(version, 1), (version, 2), (older, 3)] {
            let client = self.clone();
            changes.spawn(async move { client.send(client.document(version, variant)).await });
        }
        changes.join_all().await;
    }

    /// Sends an invalid document, which must be refused, to each control instance.
    pub async fn send_invalid(&self) {
        for index in 0..CONTROL_COUNT {
            // No other document uses this version, so its acceptance is recognizable.
            let version = self.next_version(1);
            let document = self.document(version, 0);
            let body = document.invalid_bytes(version);
            let reply = self
                .call(
                    Method::PUT,
                    self.system.operator_address(index),
                    wire_names::CONFIGURATION_PATH,
                    body,
                )
                .await;
            if reply.is_some_and(|reply| reply.status.is_success()) {
                let process = self.system.name(index);
                self.sink.record(SeenEvent::InvalidAccepted { version, process });
            }
        }
    }

    fn document(&self, version: u64, variant: u64) -> ConfigDocument {
        ConfigDocument { version, variant, has_teams: self.has_teams }
    }

    /// The highest version that was assigned.
    pub fn last_version(&self) -> u64 {
        self.shared.last_version.load(Ordering::Relaxed)
    }

    fn next_version(&self, step: u64) -> u64 {
        self.shared.last_version.fetch_add(step, Ordering::Relaxed) + step
    }

    async fn send(&self, document: ConfigDocument) -> bool {
        let version = document.version;
        let body = Bytes::from(document.bytes());
        let first = self.shared.next_instance.fetch_add(1, Ordering::Relaxed) as usize;
        for attempt in 0..MAX_TRIES {
            let index = (first + attempt as usize) % CONTROL_COUNT;
            let process = self.system.name(index);
            self.sink.record(SeenEvent::ChangeSent { version, process });
            self.record_sent(version);
            let reply = self
                .call(
                    Method::PUT,
                    self.system.operator_address(index),
                    wire_names::CONFIGURATION_PATH,
                    body.clone(),
                )
                .await;
            if reply.is_some_and(|reply| reply.status.as_u16() == 200) {
                self.sink.record(SeenEvent::ChangeAcknowledged { version });
                return true;
            }
            tokio::time::sleep(TRY_PAUSE * attempt.min(10)).await;
        }
        false
    }

    fn record_sent(&self, version: u64) {
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
        let response = self.http.call(method, address, path, &headers, body);
        let reply = tokio::time::timeout(CALL_LIMIT, response).await.ok()?.ok()?;
        reply.complete.then_some(reply)
    }

    async fn read_loop(&self, index: usize) {
        loop {
            tokio::time::sleep(READ_INTERVAL).await;
            let (asked, process) = (self.sink.now(), self.system.name(index));
            let reply = self
                .call(
                    Method::GET,
                    self.system.operator_address(index),
                    wire_names::CONFIGURATION_PATH,
                    Bytes::new(),
                )
                .await;
            let reply = reply.filter(|reply| reply.status.as_u16() == 200);
            let version = reply.and_then(|reply| reply.json()["version"].as_u64());
            self.sink.record(SeenEvent::ChangeRead { asked, process, version });
        }
    }

    /// Finds the version in force by requests for routes that exist in only one version.
    async fn probe_loop(&self, index: usize) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let versions = self.shared.sent.lock().clone();
            for version in versions.into_iter().rev() {
                let (sent, process) = (self.sink.now(), self.system.name(index));
                let path = ConfigDocument::probe_path(version);
                let address = self.system.caller_address(index);
                let reply = self.call(Method::GET, address, &path, Bytes::new()).await;
                match reply {
                    Some(reply) if reply.status.as_u16() == 404 => {}
                    // A refusal is inconclusive: the ingress may have no configuration yet.
                    Some(reply) if reply.headers.contains_key(SIGNATURE) => {
                        self.sink.record(SeenEvent::ChangeObserved { sent, process, version });
                        break;
                    }
                    _ => break,
                }
            }
        }
    }

    async fn readiness_loop(&self, index: usize) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let address = self.system.readiness_address(index);
            let request = self.call(Method::GET, address, wire_names::READINESS_PATH, Bytes::new());
            let is_ready = request.await.map(|reply| reply.status.as_u16() == 200);
            let process = self.system.name(index);
            self.sink.record(SeenEvent::Readiness { process, is_ready });
        }
    }
}
