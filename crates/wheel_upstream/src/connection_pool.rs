//! The pool of connections to one address.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};
use wheel_memory::{ByteBudget, ByteLease, process_budget};

use crate::attempt_id::AttemptSource;
use crate::call_body::CallBody;
use crate::carried_calls::{CallMark, MarkSource};
use crate::client_status::StatusCounters;
use crate::idle_probe::IdleProbe;
use crate::upstream_connection::{ConnectionTracker, UpstreamConnection};
use crate::{CallFailure, ClientStatus, ConnectionLimits, FailureKind};

/// The part of the process's budget that the answers of one address may hold, as its divisor.
const UPSTREAM_DIVISOR: usize = 4;

/// Which connections a call may go over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionChoice<'a> {
    /// An idle one that was used or probed recently and hasn't carried a call with this id,
    /// otherwise a new one.
    Pooled {
        /// The id, which the answer repeats.
        call_id: &'a str,
    },
    /// Only a new one.
    Fresh,
}

/// Keeps idle connections, limits open ones and retires silent ones.
///
/// It only hands out connections and never sends or resends a call. Its table is never locked
/// across an await, nor together with the write gate of a connection.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    limits: ConnectionLimits,
    probe: Option<Box<dyn IdleProbe>>,
    probe_ids: AttemptSource,
    calls: Arc<Semaphore>,
    connecting: Semaphore,
    budget: ByteBudget,
    marks: MarkSource,
    silence_recorded: AtomicBool,
    table: Mutex<PoolTable>,
    pub(crate) counters: StatusCounters,
}

#[derive(Default)]
struct PoolTable {
    /// Ordered by idle time, longest first.
    idle: VecDeque<IdleConnection>,
    trackers: Vec<Weak<ConnectionTracker>>,
    /// The last silence; `None` once its connection or a newer one has answered.
    silence: Option<SeenSilence>,
}

/// A connection on which nothing arrived.
struct SeenSilence {
    at: Instant,
    connection: Weak<ConnectionTracker>,
}

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

impl ConnectionPool {
    /// Creates an empty pool. Without a `probe`, idle connections are closed instead of probed.
    pub(crate) fn new(
        address: SocketAddr,
        limits: ConnectionLimits,
        probe: Option<Box<dyn IdleProbe>>,
    ) -> Self {
        Self {
            address,
            limits,
            probe,
            probe_ids: AttemptSource::new(),
            calls: Arc::new(Semaphore::new(limits.max_open)),
            connecting: Semaphore::new(limits.max_connecting),
            budget: process_budget().part(UPSTREAM_DIVISOR),
            marks: MarkSource::default(),
            silence_recorded: AtomicBool::new(false),
            table: Mutex::default(),
            counters: StatusCounters::default(),
        }
    }

    /// The pool's limits.
    pub(crate) fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// A lease for bytes of one answer.
    pub(crate) fn lease(&self) -> ByteLease {
        self.budget.lease()
    }

    /// The counters, with the present numbers of open calls and idle connections.
    pub(crate) fn status(&self) -> ClientStatus {
        let open_calls = self.limits.max_open - self.calls.available_permits();
        self.counters.snapshot(open_calls, self.table.lock().idle.len())
    }

    /// Takes one of the permits for open calls.
    pub(crate) fn reserve(&self) -> Result<OwnedSemaphorePermit, CallFailure> {
        let slot = self.calls.clone().try_acquire_owned();
        slot.map_err(|_| CallFailure::not_sent(FailureKind::TooManyOpen))
    }

    /// Takes an idle connection from the pool or opens one.
    pub(crate) async fn checkout(
        &self,
        choice: ConnectionChoice<'_>,
        connect: Duration,
    ) -> Result<UpstreamConnection, CallFailure> {
        let ConnectionChoice::Pooled { call_id } = choice else { return self.open(connect).await };
        let call = self.marks.mark(call_id);
        let mut connection = match self.checkout_idle(call).await {
            Some(connection) => connection,
            None => self.open(connect).await?,
        };
        connection.carried.record(call);
        Ok(connection)
    }

    async fn open(&self, connect: Duration) -> Result<UpstreamConnection, CallFailure> {
        let opening = async {
            let _permit = self.connecting.acquire().await;
            UpstreamConnection::open(self.address, &self.limits, connect).await
        };
        let opened = timeout(connect, opening)
            .await
            .unwrap_or_else(|_| Err(CallFailure::not_sent(FailureKind::ConnectTimeout)));
        match &opened {
            Ok(connection) => {
                self.counters.opened.add_one();
                self.register(&connection.tracker);
            }
            Err(_) => self.counters.connect_failures.add_one(),
        }
        opened
    }

    /// Returns a connection to the pool after a complete answer.
    pub(crate) fn check_in(&self, connection: UpstreamConnection) {
        let now = Instant::now();
        let mut table = self.table.lock();
        let is_kept = connection.is_usable() && !connection.carried.is_full();
        if is_kept && table.idle.len() < self.limits.max_idle {
            table.idle.push_back(IdleConnection { connection, since: now });
        }
        let expired = |idle: &IdleConnection| now - idle.since >= self.limits.idle_timeout;
        while table.idle.front().is_some_and(expired) {
            table.idle.pop_front();
        }
    }

    /// Records that nothing arrived on a connection. Idle connections opened before now aren't used
    /// until a newer one has answered, or this one has.
    pub(crate) fn record_silence(&self, tracker: &Arc<ConnectionTracker>) {
        self.counters.silent_calls.add_one();
        let silence = SeenSilence { at: Instant::now(), connection: Arc::downgrade(tracker) };
        self.table.lock().silence = Some(silence);
        self.silence_recorded.store(true, Ordering::Release);
    }

    /// Records that bytes arrived on a connection. If it was opened after another one was found
    /// silent, all that were opened before then are retired.
    pub(crate) fn record_answer(&self, tracker: &Arc<ConnectionTracker>) {
        if !self.silence_recorded.load(Ordering::Acquire) {
            return;
        }
        let mut table = self.table.lock();
        let Some(silence) = &table.silence else { return };
        let silent_at = silence.at;
        let is_suspect = silence.connection.as_ptr() == Arc::as_ptr(tracker);
        if !is_suspect && silent_at >= tracker.opened_at {
            return;
        }
        table.silence = None;
        self.silence_recorded.store(false, Ordering::Release);
        if is_suspect {
            return;
        }
        let older = table.trackers.iter().filter_map(Weak::upgrade);
        for older in older.filter(|older| older.opened_at <= silent_at) {
            older.retire();
            self.counters.retired.add_one();
        }
        table.idle.retain(|idle| idle.connection.is_usable());
        table.trackers.retain(|tracker| tracker.strong_count() > 0);
    }

    async fn checkout_idle(&self, call: CallMark) -> Option<UpstreamConnection> {
        loop {
            let IdleConnection { mut connection, since } = self.pop_idle(call)?;
            let idle_time = since.elapsed();
            match () {
                () if idle_time >= self.limits.idle_timeout => continue,
                () if idle_time >= self.limits.probe_after_idle => {
                    let Some(probe) = self.probe.as_deref() else { continue };
                    let id = self.probe_ids.next().to_request_id();
                    let Some(request) = probe.request(&id) else { continue };
                    let is_own =
                        |headers: &HeaderMap| probe.answer_id(headers) == Some(id.as_str());
                    if !self.probe_idle(&mut connection, request, is_own).await {
                        return None;
                    }
                }
                () => {}
            }
            let ready = timeout(self.limits.probe_timeout, connection.send.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Removes the most recently used idle connection that isn't suspected to be silent and may
    /// carry this call.
    fn pop_idle(&self, call: CallMark) -> Option<IdleConnection> {
        let mut table = self.table.lock();
        let silent_at = table.silence.as_ref().map(|silence| silence.at);
        let is_trusted = |idle: &IdleConnection| {
            let UpstreamConnection { tracker, carried, .. } = &idle.connection;
            idle.connection.is_usable()
                && silent_at.is_none_or(|silent| tracker.opened_at > silent)
                && carried.allows(call)
        };
        let index = table.idle.iter().rposition(is_trusted)?;
        table.idle.remove(index)
    }

    /// Whether the upstream answers `probe`, with headers for which `is_own` holds.
    async fn probe_idle(
        &self,
        connection: &mut UpstreamConnection,
        probe: Request<Bytes>,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> bool {
        self.counters.probes.add_one();
        let probing = async {
            connection.send.ready().await?;
            connection.gate.begin_request();
            let answer = connection.send.send_request(probe.map(CallBody::new)).await?;
            // The connection is closed if the answer is larger than that.
            connection.gate.end_head();
            if !is_own(answer.headers()) {
                self.counters.foreign_answers.add_one();
                return Ok(false);
            }
            skip_body(answer.into_body(), self.limits.max_answer_bytes).await
        };
        match timeout(self.limits.probe_timeout, probing).await {
            Ok(Ok(true)) => true,
            Ok(Ok(false) | Err(_)) => {
                self.counters.probe_failures.add_one();
                connection.gate.seal();
                false
            }
            Err(_) => {
                self.counters.probe_failures.add_one();
                connection.gate.seal();
                self.record_silence(&connection.tracker);
                false
            }
        }
    }

    fn register(&self, tracker: &Arc<ConnectionTracker>) {
        let mut table = self.table.lock();
        if table.trackers.len() >= 2 * (self.limits.max_open + self.limits.max_idle) {
            table.trackers.retain(|tracker| tracker.strong_count() > 0);
        }
        table.trackers.push(Arc::downgrade(tracker));
    }
}

/// Reads a body whose bytes aren't needed; false if it is larger than `limit`.
async fn skip_body(mut body: Incoming, limit: usize) -> Result<bool, hyper::Error> {
    let mut size = 0_usize;
    while let Some(frame) = body.frame().await {
        size += frame?.data_ref().map_or(0, Bytes::len);
        if size > limit {
            return Ok(false);
        }
    }
    Ok(true)
}
