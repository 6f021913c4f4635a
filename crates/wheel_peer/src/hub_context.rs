//! The state shared by all parts of a hub's thread.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::io::{BufReader, BufWriter};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::call_limiter::CallLimiter;
use crate::connection_registry::ConnectionRegistry;
use crate::counter_table::CounterTable;
use crate::metered_half::MeteredHalf;
use crate::stream_monitor::StreamMonitor;
use crate::{PeerError, PeerHandler, PeerIdentity, PeerSettings};

/// Largest part of a body that is sent in one message, in bytes.
pub(crate) const PIECE_BYTES: usize = 64 << 10;

/// Largest message that is accepted, in words of 8 bytes.
const MESSAGE_WORDS: usize = (2 * PIECE_BYTES + (16 << 10)) / 8;

/// Nesting limit of a message.
const MESSAGE_NESTING: i32 = 32;

/// Bytes buffered for each direction of a connection.
const BUFFER_BYTES: usize = 4 << 10;

/// Time after which the kernel closes a connection whose bytes aren't acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time before the kernel's first keepalive probe, and the time between its probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Settings, limits and counters of a hub, used on its thread.
pub(crate) struct HubContext {
    pub(crate) settings: PeerSettings,
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) counters: Arc<CounterTable>,
    pub(crate) limiter: CallLimiter,
    pub(crate) connections: Rc<ConnectionRegistry>,
    pub(crate) draining: Cell<bool>,
}

impl HubContext {
    pub(crate) fn new(
        settings: PeerSettings,
        handler: Arc<dyn PeerHandler>,
        counters: Arc<CounterTable>,
    ) -> Self {
        let limiter = CallLimiter::new(&settings.limits);
        let connections = ConnectionRegistry::open(settings.limits.admission.clone());
        Self { settings, handler, counters, limiter, connections, draining: Cell::new(false) }
    }

    pub(crate) fn identity(&self) -> PeerIdentity {
        PeerIdentity {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    /// Checks that the address may be used: without a secret it must be loopback.
    pub(crate) fn check_address(&self, address: SocketAddr) -> Result<(), PeerError> {
        let allowed = self.settings.secret.is_some() || address.ip().is_loopback();
        if allowed { Ok(()) } else { Err(PeerError::NoSecret { address }) }
    }

    /// Starts Cap'n Proto RPC on a socket.
    pub(crate) fn start_rpc(
        &self,
        stream: TcpStream,
        side: Side,
        monitor: &Rc<StreamMonitor>,
        bootstrap: Option<capnp::capability::Client>,
    ) -> std::io::Result<RpcSystem<Side>> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive)?;
        let (reader, writer) = stream.into_split();
        let meter = (monitor.clone(), self.counters.clone());
        let reader = MeteredHalf::new(reader.compat(), meter.0.clone(), meter.1.clone());
        let writer = MeteredHalf::new(writer.compat_write(), meter.0, meter.1);
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MESSAGE_WORDS)).nesting_limit(MESSAGE_NESTING);
        let reader = BufReader::with_capacity(BUFFER_BYTES, reader);
        let writer = BufWriter::with_capacity(BUFFER_BYTES, writer);
        let network = VatNetwork::new(reader, writer, side, options);
        Ok(RpcSystem::new(Box::new(network), bootstrap))
    }
}
