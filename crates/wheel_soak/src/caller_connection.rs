//! A caller's connection to a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use tokio_util::io::InspectWriter;

use crate::ObservationSink;
use crate::write_notifier::WriteNotifier;

/// Timeout for opening a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A request body, sent at once or in chunks over time.
pub(crate) type CallBody = BoxBody<Bytes, std::convert::Infallible>;

/// An open connection, closed when it is dropped.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) sender: SendRequest<CallBody>,
    pub(crate) notifier: Arc<WriteNotifier>,
    /// When it last became idle, or was opened.
    pub(crate) idle_since: Instant,
    driver: JoinHandle<()>,
}

impl CallerConnection {
    /// Connects; `None` if that fails or takes too long.
    pub(crate) async fn open(address: SocketAddr, sink: ObservationSink) -> Option<Self> {
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let notifier = Arc::<WriteNotifier>::default();
        let writer_notifier = Arc::clone(&notifier);
        let stream =
            InspectWriter::new(stream, move |bytes: &[u8]| writer_notifier.on_write(bytes, &sink));
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        // The error is also returned to the pending request.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Some(Self { sender, notifier, idle_since: Instant::now(), driver })
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
