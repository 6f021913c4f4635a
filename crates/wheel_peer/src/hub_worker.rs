//! The thread that owns a hub's connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;

use capnp_rpc::new_client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Duration, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::counter_table::{CounterTable, count};
use crate::hub_context::HubContext;
use crate::outgoing_call::OutgoingCall;
use crate::peer_capnp::gate;
use crate::peer_gate::PeerGate;
use crate::peer_link::PeerLink;
use crate::stream_monitor::StreamMonitor;
use crate::{ConnectionId, PeerAddress, PeerError, PeerHandler, PeerSettings};

/// Time between two searches for idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Pause after a failed accept, for example when there are no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time for sending the last answers.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// Commands from the handles to the hub's thread.
pub(crate) enum HubCommand {
    /// Make a call.
    Call(OutgoingCall),
    /// Shut down; the sender is dropped when that is done.
    Shutdown(oneshot::Sender<()>),
}

/// The initial state of the thread.
pub(crate) struct HubWorker {
    pub(crate) settings: PeerSettings,
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) counters: Arc<CounterTable>,
    pub(crate) listener: StdListener,
    pub(crate) queue: mpsc::Receiver<HubCommand>,
}

impl HubWorker {
    /// Runs until the hub is shut down or no handle is left.
    pub(crate) fn run(self, runtime: &Runtime) {
        let local = LocalSet::new();
        local.block_on(runtime, async {
            let context = Rc::new(HubContext::new(self.settings, self.handler, self.counters));
            if let Ok(listener) = TcpListener::from_std(self.listener) {
                HubLoop::new(context).run(listener, self.queue).await;
            }
        });
    }
}

/// The thread's state.
struct HubLoop {
    context: Rc<HubContext>,
    links: RefCell<HashMap<PeerAddress, Rc<PeerLink>>>,
    calls: TaskTracker,
    connections: TaskTracker,
    shutdown: CancellationToken,
}

impl HubLoop {
    fn new(context: Rc<HubContext>) -> Self {
        Self {
            context,
            links: RefCell::default(),
            calls: TaskTracker::new(),
            connections: TaskTracker::new(),
            shutdown: CancellationToken::new(),
        }
    }

    async fn run(&self, listener: TcpListener, mut queue: mpsc::Receiver<HubCommand>) {
        let done = tokio::select! {
            done = self.take_commands(&mut queue) => done,
            () = self.accept_all(listener) => None,
        };
        if let Some(done) = done {
            self.drain(queue, done).await;
        }
    }

    /// Starts calls until the hub is to shut down or no handle is left.
    async fn take_commands(
        &self,
        queue: &mut mpsc::Receiver<HubCommand>,
    ) -> Option<oneshot::Sender<()>> {
        let mut sweep = interval(SWEEP_PERIOD);
        loop {
            tokio::select! {
                command = queue.recv() => match command? {
                    HubCommand::Call(call) => self.start_call(call),
                    HubCommand::Shutdown(done) => return Some(done),
                },
                _ = sweep.tick() => self.links.borrow_mut().retain(|_, link| !link.sweep()),
            }
        }
    }

    /// Accepts connections in an endless loop.
    async fn accept_all(&self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => self.start_serving(stream, address),
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn start_call(&self, call: OutgoingCall) {
        match self.link(&call.peer) {
            Some(link) => {
                self.calls.spawn_local(link.call(call));
            }
            None => {
                let _gone = call.reply.send(Err(PeerError::Overloaded));
            }
        }
    }

    fn link(&self, peer: &PeerAddress) -> Option<Rc<PeerLink>> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(peer) {
            return Some(link.clone());
        }
        if links.len() >= self.context.settings.limits.max_peers {
            let idle = links.iter().filter(|(_, link)| link.is_idle());
            let oldest = idle.min_by_key(|(_, link)| link.last_used())?.0.clone();
            links.remove(&oldest)?.close();
        }
        let link = Rc::new(PeerLink::new(self.context.clone(), peer.clone()));
        links.insert(peer.clone(), link.clone());
        Some(link)
    }

    fn start_serving(&self, stream: TcpStream, address: SocketAddr) {
        let context = self.context.clone();
        let shutdown = self.shutdown.clone();
        let (id, closer) = context.connections.accept();
        self.connections.spawn_local(async move {
            let connection = AcceptedConnection { id, closer, address };
            serve(context.clone(), stream, connection, shutdown).await;
            context.connections.remove(id);
        });
    }

    /// Waits for the calls in progress to end, then closes the connections.
    async fn drain(&self, mut queue: mpsc::Receiver<HubCommand>, _done: oneshot::Sender<()>) {
        queue.close();
        while let Ok(command) = queue.try_recv() {
            if let HubCommand::Call(call) = command {
                let _gone = call.reply.send(Err(PeerError::ShuttingDown));
            }
        }
        self.context.draining.set(true);
        self.calls.close();
        let idle = async {
            self.calls.wait().await;
            self.context.limiter.wait_idle().await;
        };
        let _late = timeout(self.context.settings.limits.drain_timeout, idle).await;
        self.shutdown.cancel();
        self.connections.close();
        let _late = timeout(FLUSH_LIMIT, self.connections.wait()).await;
    }
}

/// A connection that another instance has opened.
struct AcceptedConnection {
    id: ConnectionId,
    /// Cancelled when the connection is to be closed in favor of another one.
    closer: CancellationToken,
    address: SocketAddr,
}

/// Serves one accepted connection until it ends, misses the time for authentication, gives way to
/// another one, or the hub shuts down.
async fn serve(
    context: Rc<HubContext>,
    stream: TcpStream,
    connection: AcceptedConnection,
    shutdown: CancellationToken,
) {
    let AcceptedConnection { id, closer, address } = connection;
    let monitor = Rc::new(StreamMonitor::new());
    let entered = CancellationToken::new();
    let gate = PeerGate::new(context.clone(), (id, address), monitor.clone(), entered.clone());
    let gate: gate::Client = new_client(gate);
    let system = context.start_rpc(stream, Side::Server, &monitor, Some(gate.client));
    let Ok(system) = system else { return count(&context.counters.rejected, 1) };
    let disconnect = system.get_disconnector();
    let mut system = spawn_local(system);
    let handshake = timeout(context.settings.limits.handshake_timeout, entered.cancelled());
    let authenticated = tokio::select! {
        entered = handshake => entered.is_ok(),
        () = shutdown.cancelled() => false,
        () = closer.cancelled() => false,
        _ = &mut system => false,
    };
    if !authenticated {
        system.abort();
        return count(&context.counters.rejected, 1);
    }
    tokio::select! {
        _ = &mut system => return,
        () = shutdown.cancelled() => {}
        () = closer.cancelled() => count(&context.counters.displaced, 1),
    }
    let _closed = disconnect.await;
    let _ended = system.await;
}
