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
use tokio::time::timeout;
use tokio_util::io::InspectWriter;

use crate::ObservationSink;
use crate::sent_notice::SentNotice;

/// Time that a new connection may take.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A body, whole or in pieces over time.
pub(crate) type CallBody = BoxBody<Bytes, std::convert::Infallible>;

/// An open connection; it is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct KeptConnection {
    pub(crate) sender: SendRequest<CallBody>,
    pub(crate) notice: Arc<SentNotice>,
    driver: JoinHandle<()>,
}

impl KeptConnection {
    /// Connects; `None` if that fails or takes too long.
    pub(crate) async fn open(address: SocketAddr, sink: ObservationSink) -> Option<Self> {
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let notice = Arc::<SentNotice>::default();
        let heard = Arc::clone(&notice);
        let tap = InspectWriter::new(stream, move |bytes: &[u8]| heard.heed(bytes, &sink));
        let (sender, connection) = handshake(TokioIo::new(tap)).await.ok()?;
        // How it ends is told to whoever waits for an answer.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Some(Self { sender, notice, driver })
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
