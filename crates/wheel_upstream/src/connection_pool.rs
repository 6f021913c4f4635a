//! The connections to one address.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

use crate::call_body::CallBody;
use crate::client_status::StatusCounters;
use crate::upstream_connection::{ConnectionMark, UpstreamConnection};
use crate::{CallFailure, ClientStatus, ConnectionLimits, FailureKind};

/// Which connections a call may go over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionChoice {
    /// An idle one that was used or probed a moment ago, else a fresh one.
    Pooled,
    /// A fresh one only.
    Fresh,
}

/// Keeps idle connections, bounds open ones and retires those that have gone silent.
///
/// It never sends a call by itself and never sends one again: it only hands out connections.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    limits: ConnectionLimits,
    probe: Option<Request<Bytes>>,
    calls: Arc<Semaphore>,
    connecting: Semaphore,
    suspicious: AtomicBool,
    table: Mutex<PoolTable>,
    pub(crate) counters: StatusCounters,
}

#[derive(Default)]
struct PoolTable {
    /// In the order of their idle times, longest first.
    idle: VecDeque<IdleConnection>,
    marks: Vec<Weak<ConnectionMark>>,
    silent_at: Option<Instant>,
}

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

impl ConnectionPool {
    /// Makes an empty pool. `probe` asks for something that is always answered at once.
    pub(crate) fn new(
        address: SocketAddr,
        limits: ConnectionLimits,
        probe: Option<Request<Bytes>>,
    ) -> Self {
        Self {
            address,
            limits,
            probe,
            calls: Arc::new(Semaphore::new(limits.max_open)),
            connecting: Semaphore::new(limits.max_connecting),
            suspicious: AtomicBool::new(false),
            table: Mutex::default(),
            counters: StatusCounters::default(),
        }
    }

    /// The pool's limits.
    pub(crate) fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Counters and present numbers.
    pub(crate) fn status(&self) -> ClientStatus {
        let open_calls = self.limits.max_open - self.calls.available_permits();
        self.counters.snapshot(open_calls, self.table.lock().idle.len())
    }

    /// Reserves one of the open calls.
    pub(crate) fn reserve(&self) -> Result<OwnedSemaphorePermit, CallFailure> {
        let slot = self.calls.clone().try_acquire_owned();
        slot.map_err(|_| CallFailure::not_sent(FailureKind::TooManyOpen))
    }

    /// Hands out a connection.
    pub(crate) async fn checkout(
        &self,
        choice: ConnectionChoice,
        connect: Duration,
    ) -> Result<UpstreamConnection, CallFailure> {
        if choice == ConnectionChoice::Pooled
            && let Some(connection) = self.checkout_idle().await
        {
            return Ok(connection);
        }
        let opening = async {
            let _turn = self.connecting.acquire().await;
            UpstreamConnection::open(self.address, &self.limits, connect).await
        };
        let opened = timeout(connect, opening)
            .await
            .unwrap_or_else(|_| Err(CallFailure::not_sent(FailureKind::ConnectTimeout)));
        match &opened {
            Ok(connection) => {
                self.counters.opened.add_one();
                self.register(&connection.mark);
            }
            Err(_) => self.counters.connect_failures.add_one(),
        }
        opened
    }

    /// Takes a connection back after a whole answer.
    pub(crate) fn give_back(&self, connection: UpstreamConnection) {
        let now = Instant::now();
        let mut table = self.table.lock();
        if connection.is_usable() && table.idle.len() < self.limits.max_idle {
            table.idle.push_back(IdleConnection { connection, since: now });
        }
        let expired = |idle: &IdleConnection| now - idle.since >= self.limits.idle_limit;
        while table.idle.front().is_some_and(expired) {
            table.idle.pop_front();
        }
    }

    /// Notes that nothing arrived on a connection: older idle ones aren't used until a fresh one
    /// has answered.
    pub(crate) fn note_silence(&self) {
        self.counters.silent_calls.add_one();
        self.table.lock().silent_at = Some(Instant::now());
        self.suspicious.store(true, Ordering::Release);
    }

    /// Notes that bytes arrived on a connection. If it was opened after another was found silent, all
    /// that were opened before that are retired.
    pub(crate) fn note_answer(&self, mark: &ConnectionMark) {
        if !self.suspicious.load(Ordering::Acquire) {
            return;
        }
        let mut table = self.table.lock();
        let silent_at = match table.silent_at {
            Some(silent_at) if silent_at < mark.opened_at => silent_at,
            _ => return,
        };
        table.silent_at = None;
        self.suspicious.store(false, Ordering::Release);
        let older = table.marks.iter().filter_map(Weak::upgrade);
        for older in older.filter(|older| older.opened_at <= silent_at) {
            older.retired.cancel();
            self.counters.retired.add_one();
        }
        table.idle.retain(|idle| idle.connection.is_usable());
        table.marks.retain(|known| known.strong_count() > 0);
    }

    async fn checkout_idle(&self) -> Option<UpstreamConnection> {
        loop {
            let IdleConnection { mut connection, since } = self.pop_idle()?;
            let quiet = since.elapsed();
            match () {
                () if quiet >= self.limits.idle_limit => continue,
                () if quiet >= self.limits.probe_after && self.probe.is_none() => continue,
                () if quiet >= self.limits.probe_after => {
                    if !self.probe_idle(&mut connection).await {
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

    /// The idle connection used last, if it may be trusted.
    fn pop_idle(&self) -> Option<IdleConnection> {
        let mut table = self.table.lock();
        let silent_at = table.silent_at;
        let trusted = |idle: &IdleConnection| {
            let mark = &idle.connection.mark;
            idle.connection.is_usable() && silent_at.is_none_or(|silent| mark.opened_at > silent)
        };
        let place = table.idle.iter().rposition(trusted)?;
        table.idle.remove(place)
    }

    async fn probe_idle(&self, connection: &mut UpstreamConnection) -> bool {
        let Some(probe) = self.probe.clone() else { return false };
        self.counters.probes.add_one();
        let probing = async {
            connection.send.ready().await?;
            let answer = connection.send.send_request(probe.map(CallBody::new)).await?;
            answer.into_body().collect().await.map(drop)
        };
        match timeout(self.limits.probe_timeout, probing).await {
            Ok(Ok(())) => true,
            Ok(Err(_)) => {
                self.counters.probe_failures.add_one();
                false
            }
            Err(_) => {
                self.counters.probe_failures.add_one();
                connection.gate.seal();
                self.note_silence();
                false
            }
        }
    }

    fn register(&self, mark: &Arc<ConnectionMark>) {
        let mut table = self.table.lock();
        if table.marks.len() >= 2 * (self.limits.max_open + self.limits.max_idle) {
            table.marks.retain(|known| known.strong_count() > 0);
        }
        table.marks.push(Arc::downgrade(mark));
    }
}
