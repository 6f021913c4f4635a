//! The handle of a running hub.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::counter_table::CounterTable;
use crate::hub_worker::{HubCommand, HubWorker};
use crate::outgoing_call::OutgoingCall;
use crate::{PeerAddress, PeerChannel, PeerCounters, PeerError, PeerHandler, PeerSettings};

/// Calls that may wait for the hub's thread; further ones fail as overloaded.
const COMMAND_QUEUE: usize = 4_096;

/// Listens for other instances and calls them; cheap to clone. The hub ends when
/// [`PeerHub::shutdown`] is called or the last handle is dropped.
#[derive(Clone, Debug)]
pub struct PeerHub {
    commands: mpsc::Sender<HubCommand>,
    counters: Arc<CounterTable>,
    local_addr: SocketAddr,
    max_body_bytes: usize,
}

impl PeerHub {
    /// Listens at the address in the settings and starts the hub's thread.
    ///
    /// # Errors
    /// [`PeerError::NoSecret`] if the address isn't loopback and there is no secret;
    /// [`PeerError::Bind`] if the socket or the thread can't be created.
    pub fn bind(settings: PeerSettings, handler: Arc<dyn PeerHandler>) -> Result<Self, PeerError> {
        let listen = settings.listen;
        if settings.secret.is_none() && !listen.ip().is_loopback() {
            return Err(PeerError::NoSecret { address: listen });
        }
        let failed =
            |error: std::io::Error| PeerError::Bind { address: listen, reason: error.to_string() };
        let listener = std::net::TcpListener::bind(listen).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let local_addr = listener.local_addr().map_err(failed)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(failed)?;
        let counters = Arc::new(CounterTable::default());
        let max_body_bytes = settings.limits.max_body_bytes;
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
        let worker = HubWorker { settings, handler, counters: counters.clone(), listener, queue };
        let thread = thread::Builder::new().name("wheel-peer".to_owned());
        thread.spawn(move || worker.run(&runtime)).map_err(failed)?;
        Ok(Self { commands, counters, local_addr, max_body_bytes })
    }

    /// The address that the hub listens at.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Calls another instance and waits for its answer, for `limit` at most. The call is sent once;
    /// [`PeerError::may_have_run`] says whether a failed one may have been handled. Dropping the
    /// future abandons the call.
    ///
    /// # Errors
    /// Any [`PeerError`] but [`PeerError::Bind`].
    pub async fn call(
        &self,
        peer: &PeerAddress,
        channel: PeerChannel,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        if body.len() > self.max_body_bytes {
            return Err(PeerError::TooLarge { size: body.len(), limit: self.max_body_bytes });
        }
        let (reply, outcome) = oneshot::channel();
        let deadline = Instant::now() + limit;
        let call = OutgoingCall { peer: peer.clone(), channel, body, deadline, reply };
        match self.commands.try_send(HubCommand::Call(call)) {
            Ok(()) => outcome.await.unwrap_or(Err(PeerError::Lost { sent: true })),
            Err(mpsc::error::TrySendError::Full(_)) => Err(PeerError::Overloaded),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(PeerError::ShuttingDown),
        }
    }

    /// The counters since the hub was bound.
    pub fn counters(&self) -> PeerCounters {
        self.counters.snapshot()
    }

    /// Accepts no further calls, waits for incoming and outgoing calls in progress, and ends the
    /// hub's thread. Waits for [`PeerLimits::drain_timeout`](crate::PeerLimits::drain_timeout) at
    /// most.
    pub async fn shutdown(&self) {
        let (done, ended) = oneshot::channel();
        if self.commands.send(HubCommand::Shutdown(done)).await.is_ok() {
            let _gone = ended.await;
        }
    }
}
