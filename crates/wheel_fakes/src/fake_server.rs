//! The HTTP server that all fakes share.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::Snafu;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Backlog of the listening socket; the runtime's default of 128 overflows in a burst.
const BACKLOG: u32 = 4_096;

/// The body of a fake's answer.
pub(crate) type FakeBody = UnsyncBoxBody<Bytes, FakeAbort>;

/// Closes the connection without a complete answer.
#[derive(Debug, Snafu)]
#[snafu(display("connection aborted by the fake"))]
pub(crate) struct FakeAbort;

/// Request handler of a fake.
pub(crate) trait FakeHandler: Send + Sync + 'static {
    /// Answers one request; an error closes the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<FakeBody>, FakeAbort>>;

    /// True while accepted connections must not be read from.
    fn never_read(&self) -> bool {
        false
    }
}

/// A running server.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    ended: CancellationToken,
    tasks: TaskTracker,
}

impl FakeServer {
    /// Listens on `address` and serves requests with `handler`.
    pub(crate) async fn bind<H: FakeHandler>(
        address: SocketAddr,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let (ended, tasks) = (CancellationToken::new(), TaskTracker::new());
        let accepting = accept(listener, handler, tasks.clone(), ended.clone());
        tasks.spawn(ended.clone().run_until_cancelled_owned(accepting));
        Ok(Self { address, ended, tasks })
    }

    /// Closes the listener and all connections immediately.
    pub(crate) async fn kill(&self) {
        self.ended.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.ended.cancel();
    }
}

async fn accept<H: FakeHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    tasks: TaskTracker,
    ended: CancellationToken,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let serving = serve(stream, handler.clone());
        tasks.spawn(ended.clone().run_until_cancelled_owned(serving));
    }
}

async fn serve<H: FakeHandler>(stream: TcpStream, handler: Arc<H>) {
    if handler.never_read() {
        return std::future::pending().await;
    }
    // Answers are small; without this, delayed acknowledgements would show in latencies.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler.clone().handle(request));
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// An answer with a JSON body.
pub(crate) fn json_answer(status: StatusCode, value: &impl Serialize) -> Response<FakeBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(full_body(Bytes::from(body)));
    *answer.status_mut() = status;
    answer.headers_mut().insert("content-type", http::HeaderValue::from_static("application/json"));
    answer
}

/// A body of known length.
pub(crate) fn full_body(bytes: Bytes) -> FakeBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Reads a request's whole body.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, FakeAbort> {
    body.collect().await.map(|whole| whole.to_bytes()).map_err(|_| FakeAbort)
}
