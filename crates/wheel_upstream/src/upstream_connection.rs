//! One connection to an upstream.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::call_body::CallBody;
use crate::carried_calls::CarriedCalls;
use crate::guarded_stream::{GuardedStream, WriteGate};
use crate::{CallFailure, ConnectionLimits, FailureKind, OrderPermit};

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An HTTP/1.1 connection with its driver task; closed on drop.
pub(crate) struct UpstreamConnection {
    pub(crate) send: SendRequest<CallBody>,
    pub(crate) gate: Arc<WriteGate>,
    pub(crate) tracker: Arc<ConnectionTracker>,
    pub(crate) carried: CarriedCalls,
    driver: AbortHandle,
}

/// The state of a connection that its pool tracks.
pub(crate) struct ConnectionTracker {
    pub(crate) opened_at: Instant,
    pub(crate) retired: CancellationToken,
    /// When it was retired.
    pub(crate) retired_at: OnceLock<Instant>,
}

impl ConnectionTracker {
    /// Retires the connection: it carries no further call.
    pub(crate) fn retire(&self) {
        self.retired_at.get_or_init(Instant::now);
        self.retired.cancel();
    }
}

impl UpstreamConnection {
    /// Opens a connection for calls.
    pub(crate) async fn open(
        address: SocketAddr,
        limits: &ConnectionLimits,
        connect: Duration,
    ) -> Result<Self, CallFailure> {
        let stream = open_stream(address, connect, limits.unacknowledged_timeout).await?;
        let keepalive = TcpKeepalive::new()
            .with_time(limits.keepalive_idle)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        SockRef::from(&stream)
            .set_tcp_keepalive(&keepalive)
            .map_err(|error| connect_failure(&error))?;
        Self::handshake(stream, WriteGate::default()).await
    }

    /// Opens a connection for one order. Unacknowledged bytes are discarded after `order_life`, and
    /// unsent ones when the connection is closed, even by the end of the process.
    pub(crate) async fn open_for_order(
        address: SocketAddr,
        connect: Duration,
        order_life: Duration,
        permit: Arc<dyn OrderPermit>,
    ) -> Result<Self, CallFailure> {
        let stream = open_stream(address, connect, order_life).await?;
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .map_err(|error| connect_failure(&error))?;
        Self::handshake(stream, WriteGate::with_permit(permit)).await
    }

    async fn handshake(stream: TcpStream, gate: WriteGate) -> Result<Self, CallFailure> {
        let gate = Arc::new(gate);
        let opened_at = Instant::now();
        let guarded = TokioIo::new(GuardedStream::new(stream, gate.clone()));
        let (send, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(guarded)
            .await
            .map_err(|error| connect_failure(&error))?;
        let driving = async move {
            // The call gets the error from its answer.
            let _ = connection.await;
        };
        let driver = tokio::spawn(driving).abort_handle();
        let tracker = Arc::new(ConnectionTracker {
            opened_at,
            retired: CancellationToken::new(),
            retired_at: OnceLock::new(),
        });
        Ok(Self { send, gate, tracker, carried: CarriedCalls::default(), driver })
    }

    /// Whether bytes have arrived since the connection was retired.
    pub(crate) fn has_outlived_retirement(&self) -> bool {
        self.tracker.retired_at.get().is_some_and(|at| self.gate.has_read_since(*at))
    }

    /// True if the connection is neither closed nor retired.
    pub(crate) fn is_usable(&self) -> bool {
        !self.send.is_closed() && !self.tracker.retired.is_cancelled()
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn open_stream(
    address: SocketAddr,
    connect: Duration,
    unacknowledged_timeout: Duration,
) -> Result<TcpStream, CallFailure> {
    let stream = match timeout(connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect_failure(&error)),
        Err(_) => return Err(CallFailure::not_sent(FailureKind::ConnectTimeout)),
    };
    stream.set_nodelay(true).map_err(|error| connect_failure(&error))?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(unacknowledged_timeout))
        .map_err(|error| connect_failure(&error))?;
    Ok(stream)
}

fn connect_failure(error: &impl ToString) -> CallFailure {
    CallFailure::not_sent(FailureKind::Connect { message: error.to_string() })
}
