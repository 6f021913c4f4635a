//! The connection management for one other instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use tokio::task::spawn_local;
use tokio::time::{Duration, Instant, sleep, sleep_until};

use crate::counter_table::count;
use crate::hub_context::HubContext;
use crate::outgoing_call::OutgoingCall;
use crate::peer_connection::PeerConnection;
use crate::{PeerAddress, PeerError};

/// The outcome of a connection attempt.
type OpenResult = Result<Rc<PeerConnection>, PeerError>;

/// The state of a link.
enum LinkState {
    /// Nothing is open.
    Idle,
    /// An attempt is in progress; calls wait for it.
    Opening(Shared<LocalBoxFuture<'static, OpenResult>>),
    /// Calls use this connection.
    Open(Rc<PeerConnection>),
    /// The last attempt failed; calls fail until the next one is due.
    Failed { error: PeerError, retry_at: Instant },
}

/// Keeps one connection to an address and replaces it when it fails or goes silent.
pub(crate) struct PeerLink {
    context: Rc<HubContext>,
    peer: PeerAddress,
    state: RefCell<LinkState>,
    backoff: Cell<Duration>,
    /// Until when no calls are made because the peer had no place for one.
    refused_until: Cell<Option<Instant>>,
    /// Number of calls in progress.
    calls: Cell<usize>,
    last_used: Cell<Instant>,
}

impl PeerLink {
    pub(crate) fn new(context: Rc<HubContext>, peer: PeerAddress) -> Self {
        let backoff = Cell::new(context.settings.limits.backoff);
        Self {
            context,
            peer,
            state: RefCell::new(LinkState::Idle),
            backoff,
            refused_until: Cell::new(None),
            calls: Cell::new(0),
            last_used: Cell::new(Instant::now()),
        }
    }

    /// Makes a call and sends its outcome to the caller.
    pub(crate) async fn call(self: Rc<Self>, mut call: OutgoingCall) {
        if self.calls.get() >= self.context.settings.limits.max_calls_per_peer {
            let _gone = call.reply.send(Err(PeerError::Overloaded));
            return;
        }
        self.calls.set(self.calls.get() + 1);
        let outcome = self.run(&mut call).await;
        self.calls.set(self.calls.get() - 1);
        self.last_used.set(Instant::now());
        let row = self.context.counters.row(call.channel);
        match &outcome {
            Ok(answer) => count(&row.bytes_received, answer.len()),
            Err(_) => count(&row.calls_failed, 1),
        }
        let _gone = call.reply.send(outcome);
    }

    async fn run(self: &Rc<Self>, call: &mut OutgoingCall) -> Result<Vec<u8>, PeerError> {
        let sent = Cell::new(false);
        // Taken out of the call during the exchange, to notice when the caller drops its receiver.
        let (reply, _) = tokio::sync::oneshot::channel();
        let mut reply = std::mem::replace(&mut call.reply, reply);
        let outcome = tokio::select! {
            outcome = self.exchange(call, &sent) => outcome,
            () = sleep_until(call.deadline) => Err(PeerError::TimedOut { sent: sent.get() }),
            () = reply.closed() => Err(PeerError::TimedOut { sent: sent.get() }),
        };
        call.reply = reply;
        outcome
    }

    async fn exchange(
        self: &Rc<Self>,
        call: &OutgoingCall,
        sent: &Cell<bool>,
    ) -> Result<Vec<u8>, PeerError> {
        if self.is_paused() {
            return Err(PeerError::Overloaded);
        }
        let connection = self.connection().await?;
        let row = self.context.counters.row(call.channel);
        count(&row.calls_sent, 1);
        count(&row.bytes_sent, call.body.len());
        let pending = connection.begin_call();
        self.watch(&connection);
        let max_body_bytes = self.context.settings.limits.max_body_bytes;
        let answer = tokio::select! {
            answer = call.exchange(&connection, max_body_bytes, sent) => answer,
            () = connection.wait_closed() => Err(PeerError::Lost { sent: sent.get() }),
        };
        pending.finish();
        match &answer {
            Err(PeerError::Overloaded) if !self.is_paused() => {
                self.refused_until.set(Some(self.next_attempt()));
            }
            Err(PeerError::Overloaded | PeerError::Lost { .. } | PeerError::TimedOut { .. }) => {}
            Ok(_) | Err(_) => self.backoff.set(self.context.settings.limits.backoff),
        }
        answer
    }

    fn is_paused(&self) -> bool {
        self.refused_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// When the next attempt is due after one that failed. The pause grows with each in a row, and
    /// is drawn at random so that instances that failed together don't come back together.
    fn next_attempt(&self) -> Instant {
        let pause = self.backoff.get();
        self.backoff.set((pause * 2).min(self.context.settings.limits.backoff_max));
        Instant::now() + pause.mul_f64(rand::random_range(0.5..1.0))
    }

    /// A connection that isn't known to be silent: one idle for long is probed first.
    async fn connection(self: &Rc<Self>) -> OpenResult {
        let limits = &self.context.settings.limits;
        let connection = self.open().await?;
        if connection.last_received().elapsed() < limits.idle_probe || connection.pending() > 0 {
            return Ok(connection);
        }
        if connection.probe(limits.probe_timeout).await {
            return Ok(connection);
        }
        self.detach(&connection);
        self.close_silent(&connection);
        self.open().await
    }

    /// The open connection, or the outcome of the attempt to open one.
    async fn open(self: &Rc<Self>) -> OpenResult {
        let opening = match &*self.state.borrow() {
            LinkState::Open(connection) if !connection.is_closed() => return Ok(connection.clone()),
            LinkState::Opening(opening) => Some(opening.clone()),
            LinkState::Failed { error, retry_at } if Instant::now() < *retry_at => {
                return Err(error.clone());
            }
            LinkState::Idle | LinkState::Open(_) | LinkState::Failed { .. } => None,
        };
        match opening {
            Some(opening) => opening.await,
            None => self.start_opening().await,
        }
    }

    fn start_opening(self: &Rc<Self>) -> Shared<LocalBoxFuture<'static, OpenResult>> {
        let link = self.clone();
        let opening = async move { link.attempt().await }.boxed_local().shared();
        self.state.replace(LinkState::Opening(opening.clone()));
        // Continues even if the calls that wait for it are abandoned.
        spawn_local(opening.clone());
        opening
    }

    async fn attempt(&self) -> OpenResult {
        let outcome = PeerConnection::open(&self.context, &self.peer).await;
        let state = match &outcome {
            Ok(connection) => LinkState::Open(connection.clone()),
            Err(error) => LinkState::Failed { error: error.clone(), retry_at: self.next_attempt() },
        };
        self.state.replace(state);
        outcome
    }

    /// Starts probing the connection when it goes silent with a pending call.
    fn watch(self: &Rc<Self>, connection: &Rc<PeerConnection>) {
        if connection.start_watch() {
            let link = self.clone();
            let connection = connection.clone();
            spawn_local(async move { link.watch_silence(&connection).await });
        }
    }

    async fn watch_silence(self: &Rc<Self>, connection: &Rc<PeerConnection>) {
        let limits = &self.context.settings.limits;
        while !connection.is_closed() {
            let due = connection.silent_since() + limits.silence_timeout;
            match () {
                () if Instant::now() < due => sleep_until(due).await,
                () if connection.can_end_watch() => break,
                () if connection.probe(limits.probe_timeout).await => {}
                () => self.retire(connection).await,
            }
        }
        connection.end_watch();
    }

    /// Makes new calls use another connection than this one.
    fn detach(&self, silent: &Rc<PeerConnection>) {
        let current = match &*self.state.borrow() {
            LinkState::Open(current) => Rc::ptr_eq(current, silent),
            _ => false,
        };
        if current {
            self.state.replace(LinkState::Idle);
        }
    }

    /// Closes a silent connection when a new one is open, or after the grace period without one.
    async fn retire(self: &Rc<Self>, silent: &Rc<PeerConnection>) {
        let limits = &self.context.settings.limits;
        let close_at = Instant::now() + limits.silent_grace;
        self.detach(silent);
        while silent.is_silent() && self.open().await.is_err() && Instant::now() < close_at {
            sleep(limits.backoff).await;
        }
        if silent.is_silent() {
            self.close_silent(silent);
        }
    }

    /// Closes a silent connection, unless a call or its watch has closed it already.
    fn close_silent(&self, silent: &PeerConnection) {
        if !silent.is_closed() {
            count(&self.context.counters.retired, 1);
            silent.close();
        }
    }

    /// Whether no call is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.get() == 0
    }

    /// When the last call ended.
    pub(crate) fn last_used(&self) -> Instant {
        self.last_used.get()
    }

    /// Closes the connection if it is idle; true if the link is no longer needed.
    pub(crate) fn sweep(&self) -> bool {
        let idle = self.is_idle()
            && self.last_used.get().elapsed() >= self.context.settings.limits.idle_close;
        if idle {
            self.close();
        }
        idle
    }

    /// Closes the open connection.
    pub(crate) fn close(&self) {
        if let LinkState::Open(connection) = self.state.replace(LinkState::Idle) {
            connection.close();
        }
    }
}
