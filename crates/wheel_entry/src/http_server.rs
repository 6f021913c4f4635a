//! A bounded HTTP/1.1 server that drains gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wheel_types::RequestOutcome;

use crate::{AnswerBody, DrainDeadline, HttpLimits, RefusalCode, RequestRefusal, header_names};

/// Connections that wait to be accepted. A burst beyond it loses SYNs, which costs a second each;
/// the system's own limit goes first where it is lower.
const ACCEPT_BACKLOG: u32 = 4_096;

/// The pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Why a server couldn't start.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Connections beyond the bound that are told so.
const BUSY_CONNECTIONS: usize = 256;
/// Time in which such a connection must send its request.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);
/// When a caller should come back that met the bound.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Time for which a connection without a request is still read once the server drains.
const LAST_READ_TIME: Duration = Duration::from_millis(50);
/// Time in which the last answers are written once the time of a drain is over.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Refuses a request that came over a connection beyond the bound, and closes the connection.
async fn answer_busy(request: Request<Incoming>) -> Response<AnswerBody> {
    let message = "too many connections are open here";
    let refusal = RequestRefusal::new(RefusalCode::Unavailable, message);
    last_answer(
        request.headers().get(header_names::REQUEST_ID),
        refusal.with_retry_after(BUSY_RETRY),
    )
}

/// What a request gets that has no answer when the time of the drain is over.
fn unanswered() -> RequestRefusal {
    let message = "the instance ended before there was an answer";
    RequestRefusal::new(RefusalCode::DeadlinePassed, message).with_outcome(RequestOutcome::Unknown)
}

/// The server's own answer to a request, after which the connection closes.
fn last_answer(id: Option<&HeaderValue>, refusal: RequestRefusal) -> Response<AnswerBody> {
    let answer = refusal.into_answer();
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let headers = response.headers_mut();
    headers.insert(header_names::OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    // A relaying instance takes no answer that doesn't repeat its id.
    if let Some(id) = id {
        headers.insert(header_names::REQUEST_ID, id.clone());
    }
    response
}

/// Like `TcpListener::bind`, with a longer queue.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Room for connections, and for those beyond it that are told so.
struct ConnectionGate {
    permits: Arc<Semaphore>,
    busy_permits: Arc<Semaphore>,
}

/// A running server.
#[derive(Clone, Debug)]
pub struct HttpServer {
    address: SocketAddr,
    accepting: CancellationToken,
    draining: CancellationToken,
    /// Bounds of connections that are accepted from now on.
    limits: Arc<Mutex<HttpLimits>>,
    /// Whether each answer ends its connection.
    closing: Arc<AtomicBool>,
    /// When requests without an answer get the server's own.
    cut: DrainDeadline,
    connections: TaskTracker,
}

impl HttpServer {
    /// Listens on `address` and answers requests by `answer`.
    ///
    /// # Errors
    /// [`HttpError::Bind`] if the address can't be listened on.
    pub async fn bind<S, F>(
        address: SocketAddr,
        limits: HttpLimits,
        answer: S,
    ) -> Result<Self, HttpError>
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let listener = listen(address).context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let server = Self {
            address,
            accepting: CancellationToken::new(),
            draining: CancellationToken::new(),
            limits: Arc::new(Mutex::new(limits.clone())),
            closing: Arc::default(),
            cut: DrainDeadline::default(),
            connections: TaskTracker::new(),
        };
        tokio::spawn(server.clone().accept_loop(listener, limits, answer));
        Ok(server)
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Changes the bounds on what a connection may send and take, for those that are accepted from now on;
    /// the number of connections stays.
    pub fn set_limits(&self, limits: HttpLimits) {
        *self.limits.lock() = limits;
    }

    /// Goes on accepting, and tells each caller with its answer that the connection ends.
    pub fn close_after_answers(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Stops accepting, lets requests in hand end, and closes connections as they become idle. A request that
    /// has no answer at `limit`, or at [`Self::cut`], is told that its outcome is unknown.
    /// Returns true if all ended by themselves.
    pub async fn drain(&self, limit: Duration) -> bool {
        self.cut.begin(Instant::now() + limit);
        self.close_after_answers();
        self.accepting.cancel();
        self.draining.cancel();
        tokio::select! {
            // First, since connections end right after a cut as well.
            biased;
            () = self.cut.passed() => {
                let _ = tokio::time::timeout(LAST_ANSWER_TIME, self.connections.wait()).await;
                false
            }
            () = self.connections.wait() => true,
        }
    }

    /// Ends a drain at once; also one that hasn't begun yet.
    pub fn cut(&self) {
        self.cut.begin(Instant::now());
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    async fn accept_loop<S, F>(self, listener: TcpListener, limits: HttpLimits, answer: S)
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let gate = ConnectionGate {
            permits: Arc::new(Semaphore::new(limits.connections)),
            busy_permits: Arc::new(Semaphore::new(BUSY_CONNECTIONS)),
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.accepting.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => self.begin_connection(stream, &gate, &answer),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            }
        }
        // Closing the listener resets what it holds, with requests that were sent already.
        let waiting = listener.into_std();
        while let Ok(Ok((stream, _))) = waiting.as_ref().map(std::net::TcpListener::accept) {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                self.begin_connection(stream, &gate, &answer);
            }
        }
        drop(waiting);
        self.connections.close();
    }

    /// Serves a connection, or tells it that there is no room, or closes it.
    fn begin_connection<S, F>(&self, stream: TcpStream, gate: &ConnectionGate, answer: &S)
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let limits = self.limits.lock().clone();
        if let Ok(permit) = Arc::clone(&gate.permits).try_acquire_owned() {
            let connection = self.clone().serve_connection(stream, permit, limits, answer.clone());
            self.connections.spawn(connection);
            return;
        }
        metrics::counter!("wheel_connections_refused_total").increment(1);
        // Told that nothing ran, as long as there is room for that; closed at once beyond it.
        if let Ok(permit) = Arc::clone(&gate.busy_permits).try_acquire_owned() {
            let limits = HttpLimits { header_timeout: BUSY_TIMEOUT, ..limits };
            let connection = self.clone().serve_connection(stream, permit, limits, answer_busy);
            self.connections.spawn(connection);
        }
    }

    async fn serve_connection<S, F>(
        self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        limits: HttpLimits,
        answer: S,
    ) where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        // Small SSE events must leave at once.
        let _ = stream.set_nodelay(true);
        let (closing, cut) = (Arc::clone(&self.closing), self.cut.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let id = request.headers().get(header_names::REQUEST_ID).cloned();
            let response = answer(request);
            let (closing, cut) = (Arc::clone(&closing), cut.clone());
            async move {
                let mut response = tokio::select! {
                    biased;
                    response = response => response,
                    () = cut.passed() => last_answer(id.as_ref(), unanswered()),
                };
                if closing.load(Ordering::Acquire) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        // An error here is the peer's: it went away or sent junk, and hyper has answered it.
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.draining.cancelled() => {
                // A request that was sent already is still read; its answer closes the connection.
                if tokio::time::timeout(LAST_READ_TIME, connection.as_mut()).await.is_err() {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        }
        drop(permit);
    }
}
