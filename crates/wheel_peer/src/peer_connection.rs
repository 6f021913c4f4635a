//! One connection to another instance.

use std::cell::Cell;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Duration, Instant, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::client_handshake::ClientHandshake;
use crate::counter_table::count;
use crate::hub_context::HubContext;
use crate::peer_capnp::{gate, session};
use crate::stream_monitor::StreamMonitor;
use crate::{PeerAddress, PeerError};

/// An authenticated connection, shared by concurrent calls.
pub(crate) struct PeerConnection {
    pub(crate) session: session::Client,
    pub(crate) transfers: Semaphore,
    pending: Cell<usize>,
    watched: Cell<bool>,
    /// Whether a call was abandoned since the last probe that was answered.
    suspect: Cell<bool>,
    awaited_since: Cell<Instant>,
    monitor: Rc<StreamMonitor>,
    close_guard: DropGuard,
}

/// Counts a call as pending on its connection until it is dropped. A call that is dropped without
/// an answer marks the connection as suspect.
pub(crate) struct PendingCall {
    connection: Rc<PeerConnection>,
    answered: bool,
}

impl PendingCall {
    pub(crate) fn finish(mut self) {
        self.answered = true;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection.pending.set(connection.pending.get() - 1);
        connection.suspect.set(connection.suspect.get() || !self.answered);
    }
}

impl PeerConnection {
    /// Connects and performs the handshake.
    pub(crate) async fn open(
        context: &HubContext,
        peer: &PeerAddress,
    ) -> Result<Rc<Self>, PeerError> {
        context.check_address(peer.address)?;
        let limit = context.settings.limits.handshake_timeout;
        let opened = timeout(limit, Self::connect(context, peer)).await;
        let connection = opened.map_err(|_| unreachable(peer, "handshake timed out"))??;
        count(&context.counters.opened, 1);
        Ok(Rc::new(connection))
    }

    async fn connect(context: &HubContext, peer: &PeerAddress) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(peer.address).await;
        let stream = stream.map_err(|error| unreachable(peer, &error.to_string()))?;
        let monitor = Rc::new(StreamMonitor::new());
        let system = context.start_rpc(stream, Side::Client, &monitor, None);
        let mut system = system.map_err(|error| unreachable(peer, &error.to_string()))?;
        let gate: gate::Client = system.bootstrap(Side::Server);
        let closed = CancellationToken::new();
        let close_guard = closed.clone().drop_guard();
        let ended = closed.clone();
        spawn_local(async move {
            ended.run_until_cancelled(system).await;
            ended.cancel();
        });
        let handshake = ClientHandshake::new(context, peer);
        let session = tokio::select! {
            session = handshake.run(&gate) => session?,
            () = closed.cancelled() => return Err(unreachable(peer, "connection closed")),
        };
        monitor.remove_limit();
        Ok(Self {
            session,
            transfers: Semaphore::new(context.settings.limits.max_transfers),
            pending: Cell::new(0),
            watched: Cell::new(false),
            suspect: Cell::new(false),
            awaited_since: Cell::new(monitor.last_received()),
            monitor,
            close_guard,
        })
    }

    /// Number of pending calls.
    pub(crate) fn pending(&self) -> usize {
        self.pending.get()
    }

    /// When bytes were last received.
    pub(crate) fn last_received(&self) -> Instant {
        self.monitor.last_received()
    }

    /// Whether an answer is expected and no byte has been received since.
    pub(crate) fn is_silent(&self) -> bool {
        self.awaited_since.get() > self.last_received()
    }

    /// When bytes were last received or, if later, the first time since then that an answer was
    /// expected.
    pub(crate) fn silent_since(&self) -> Instant {
        self.awaited_since.get().max(self.last_received())
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.close_guard.token().is_cancelled()
    }

    /// Closes the connection; its pending calls end as lost.
    pub(crate) fn close(&self) {
        self.close_guard.token().cancel();
    }

    pub(crate) async fn wait_closed(&self) {
        self.close_guard.token().cancelled().await;
    }

    /// Counts a call as pending.
    pub(crate) fn begin_call(self: &Rc<Self>) -> PendingCall {
        self.pending.set(self.pending.get() + 1);
        PendingCall { connection: self.clone(), answered: false }
    }

    /// Marks the connection as watched; false if it was watched already.
    pub(crate) fn start_watch(&self) -> bool {
        !self.watched.replace(true)
    }

    pub(crate) fn end_watch(&self) {
        self.watched.set(false);
    }

    /// Records that an answer is expected from now on.
    pub(crate) fn record_request(&self) {
        if !self.is_silent() {
            self.awaited_since.set(Instant::now());
        }
    }

    /// Whether the watch may end: no call is pending, and none was abandoned since the last probe
    /// that was answered.
    pub(crate) fn can_end_watch(&self) -> bool {
        self.pending() == 0 && !self.is_silent() && !self.suspect.get()
    }

    /// Probes the connection; whether any byte is received within `limit`.
    pub(crate) async fn probe(&self, limit: Duration) -> bool {
        self.suspect.set(false);
        self.record_request();
        let start = Instant::now();
        let answer = self.session.probe_request().send().promise;
        let answered = matches!(timeout(limit, answer).await, Ok(Ok(_)));
        // Received bytes may answer an earlier call; only the probe's own answer clears the mark.
        self.suspect.set(self.suspect.get() || !answered);
        answered || self.last_received() > start
    }
}

fn unreachable(peer: &PeerAddress, reason: &str) -> PeerError {
    PeerError::Unreachable { address: peer.address, reason: reason.to_owned() }
}
