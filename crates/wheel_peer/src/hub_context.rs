//! What every part of a hub's thread shares.

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

use crate::call_ledger::CallLedger;
use crate::counter_table::CounterTable;
use crate::metered_half::MeteredHalf;
use crate::stream_gauge::StreamGauge;
use crate::{PeerError, PeerHandler, PeerIdentity, PeerSettings};

/// Largest part of a body that travels in one message, in bytes.
pub(crate) const PIECE_BYTES: usize = 64 << 10;

/// Largest message that is read, in words of 8 bytes.
const MESSAGE_WORDS: usize = (2 * PIECE_BYTES + (16 << 10)) / 8;

/// Nesting that a message may have.
const MESSAGE_NESTING: i32 = 32;

/// Bytes buffered for each direction of a connection.
const BUFFER_BYTES: usize = 4 << 10;

/// Time after which the kernel gives up a connection whose bytes aren't acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time before the kernel's first keepalive probe, and the time between its probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Settings, tables and counters of a hub, on its own thread.
pub(crate) struct HubContext {
    pub(crate) settings: PeerSettings,
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) counters: Arc<CounterTable>,
    pub(crate) ledger: CallLedger,
    pub(crate) draining: Cell<bool>,
}

impl HubContext {
    pub(crate) fn new(
        settings: PeerSettings,
        handler: Arc<dyn PeerHandler>,
        counters: Arc<CounterTable>,
    ) -> Self {
        let ledger = CallLedger::new(&settings.limits);
        Self { settings, handler, counters, ledger, draining: Cell::new(false) }
    }

    pub(crate) fn identity(&self) -> PeerIdentity {
        PeerIdentity {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
        }
    }

    /// Whether the address may be used with or without a secret.
    pub(crate) fn allows(&self, address: SocketAddr) -> Result<(), PeerError> {
        let allowed = self.settings.secret.is_some() || address.ip().is_loopback();
        if allowed { Ok(()) } else { Err(PeerError::NoSecret { address }) }
    }

    /// Starts Cap'n Proto RPC on a socket.
    pub(crate) fn start_rpc(
        &self,
        stream: TcpStream,
        side: Side,
        gauge: &Rc<StreamGauge>,
        bootstrap: Option<capnp::capability::Client>,
    ) -> std::io::Result<RpcSystem<Side>> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive)?;
        let (reader, writer) = stream.into_split();
        let meter = (gauge.clone(), self.counters.clone());
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
