//! A caller's connection to a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::ObservationSink;
use crate::call_body::CallBody;
use crate::sent_tap::{SentNotice, SentTap};

/// Time that a new connection may take.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// An open connection; it is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct KeptConnection {
    pub(crate) sender: SendRequest<CallBody>,
    pub(crate) notice: Arc<SentNotice>,
    pub(crate) is_done: Arc<AtomicBool>,
    driver: JoinHandle<()>,
}

impl KeptConnection {
    /// Connects; `None` if that fails or takes too long.
    pub(crate) async fn open(address: SocketAddr, sink: ObservationSink) -> Option<Self> {
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (notice, is_done) = (Arc::<SentNotice>::default(), Arc::<AtomicBool>::default());
        let (heard, done) = (Arc::clone(&notice), Arc::clone(&is_done));
        let tap = SentTap { stream, notice: heard, is_done: done, sink };
        let (sender, connection) = handshake(TokioIo::new(tap)).await.ok()?;
        // How it ends is told to whoever waits for an answer.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Some(Self { sender, notice, is_done, driver })
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
