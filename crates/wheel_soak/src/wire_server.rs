//! A TCP server for stubs that write their own bytes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde_json::Value;
use snafu::ResultExt;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

use crate::SoakError;
use crate::soak_error::IoSnafu;

/// What to do with a connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionAction {
    Keep,
    Close,
    Reset,
}

/// Serves one connection until it ends.
pub(crate) trait WireHandler: Send + Sync + 'static {
    fn serve(&self, stream: &mut TcpStream) -> impl Future<Output = ConnectionAction> + Send;
}

/// Listens on a free port of loopback until the returned task is aborted.
pub(crate) async fn bind_wire(
    handler: Arc<impl WireHandler>,
) -> Result<(SocketAddr, AbortHandle), SoakError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.context(IoSnafu { what: "listen for a stub" })?;
    let address = listener.local_addr().context(IoSnafu { what: "read a stub's port" })?;
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { continue };
            let handler = Arc::clone(&handler);
            connections.spawn(async move {
                let _ = stream.set_nodelay(true);
                if handler.serve(&mut stream).await == ConnectionAction::Reset {
                    let _ = stream.set_zero_linger();
                }
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok((address, task.abort_handle()))
}

/// Writes an answer with a JSON body.
pub(crate) async fn write_json(
    to: &mut (impl AsyncWrite + Unpin),
    status: u16,
    body: &Value,
) -> io::Result<ConnectionAction> {
    write_bytes(to, status, body.to_string().as_bytes()).await
}

/// Writes an answer whose body needn't be JSON.
pub(crate) async fn write_bytes(
    to: &mut (impl AsyncWrite + Unpin),
    status: u16,
    body: &[u8],
) -> io::Result<ConnectionAction> {
    let head = format!(
        "HTTP/1.1 {status} \r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    to.write_all(&[head.as_bytes(), body].concat()).await?;
    Ok(ConnectionAction::Keep)
}
