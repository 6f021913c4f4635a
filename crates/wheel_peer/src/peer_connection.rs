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
use crate::stream_gauge::StreamGauge;
use crate::{PeerAddress, PeerError};

/// An authenticated connection; calls share it.
pub(crate) struct PeerConnection {
    pub(crate) session: session::Client,
    pub(crate) transfers: Semaphore,
    pending: Cell<usize>,
    watched: Cell<bool>,
    doubted: Cell<bool>,
    asked: Cell<Instant>,
    gauge: Rc<StreamGauge>,
    closing: DropGuard,
}

/// Counts a call as in hand on its connection until it is dropped. A call that is given up without
/// an answer leaves the connection in doubt.
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
        connection.doubted.set(connection.doubted.get() || !self.answered);
    }
}

impl PeerConnection {
    /// Connects and carries out the handshake.
    pub(crate) async fn open(
        context: &HubContext,
        peer: &PeerAddress,
    ) -> Result<Rc<Self>, PeerError> {
        context.allows(peer.address)?;
        let limit = context.settings.limits.handshake;
        let opened = timeout(limit, Self::connect(context, peer)).await;
        let connection = opened.map_err(|_| unreachable(peer, "handshake timed out"))??;
        count(&context.counters.opened, 1);
        Ok(Rc::new(connection))
    }

    async fn connect(context: &HubContext, peer: &PeerAddress) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(peer.address).await;
        let stream = stream.map_err(|error| unreachable(peer, &error.to_string()))?;
        let gauge = Rc::new(StreamGauge::new());
        let system = context.start_rpc(stream, Side::Client, &gauge, None);
        let mut system = system.map_err(|error| unreachable(peer, &error.to_string()))?;
        let gate: gate::Client = system.bootstrap(Side::Server);
        let closed = CancellationToken::new();
        let closing = closed.clone().drop_guard();
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
        gauge.trust();
        Ok(Self {
            session,
            transfers: Semaphore::new(context.settings.limits.max_transfers),
            pending: Cell::new(0),
            watched: Cell::new(false),
            doubted: Cell::new(false),
            asked: Cell::new(gauge.last_received()),
            gauge,
            closing,
        })
    }

    /// Calls in hand.
    pub(crate) fn pending(&self) -> usize {
        self.pending.get()
    }

    /// When the connection was last heard.
    pub(crate) fn last_received(&self) -> Instant {
        self.gauge.last_received()
    }

    /// Whether an answer is awaited and no byte came since.
    pub(crate) fn is_silent(&self) -> bool {
        self.asked.get() > self.last_received()
    }

    /// When the connection was last heard or, if later, first asked since.
    pub(crate) fn quiet_since(&self) -> Instant {
        self.asked.get().max(self.last_received())
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closing.token().is_cancelled()
    }

    /// Gives the connection up; its calls in hand end as lost.
    pub(crate) fn close(&self) {
        self.closing.token().cancel();
    }

    pub(crate) async fn wait_closed(&self) {
        self.closing.token().cancelled().await;
    }

    /// Counts a call as in hand.
    pub(crate) fn begin(self: &Rc<Self>) -> PendingCall {
        self.pending.set(self.pending.get() + 1);
        PendingCall { connection: self.clone(), answered: false }
    }

    /// True if nothing watches the connection yet; from now on something does.
    pub(crate) fn start_watch(&self) -> bool {
        !self.watched.replace(true)
    }

    pub(crate) fn end_watch(&self) {
        self.watched.set(false);
    }

    /// Notes that an answer is awaited from now on.
    pub(crate) fn ask(&self) {
        if !self.is_silent() {
            self.asked.set(Instant::now());
        }
    }

    /// Whether the watch may end: no call is in hand, and none was given up since the last probe
    /// that was answered.
    pub(crate) fn is_settled(&self) -> bool {
        self.pending() == 0 && !self.is_silent() && !self.doubted.get()
    }

    /// Whether anything of the peer is heard in time after a probe.
    pub(crate) async fn probe(&self, limit: Duration) -> bool {
        self.doubted.set(false);
        self.ask();
        let start = Instant::now();
        let answer = self.session.probe_request().send().promise;
        let answered = matches!(timeout(limit, answer).await, Ok(Ok(_)));
        // What is heard may answer an earlier call; only the probe's own answer settles a doubt.
        self.doubted.set(self.doubted.get() || !answered);
        answered || self.last_received() > start
    }
}

fn unreachable(peer: &PeerAddress, reason: &str) -> PeerError {
    PeerError::Unreachable { address: peer.address, reason: reason.to_owned() }
}
