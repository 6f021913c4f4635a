//! An HTTP/1.1 server with bounded resources and a graceful drain.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wheel_types::RequestOutcome;

use crate::caller_stream::CallerStream;
use crate::connection_activity::ConnectionActivity;
use crate::head_meter::HeadMeter;
use crate::open_answer::OpenAnswer;
use crate::read_pace::{AnswerDeadline, ReadDeadline, ReadPace, UNSENT_BYTES};
use crate::{AnswerBody, DrainDeadline, HttpLimits, RefusalCode, RequestRefusal, header_names};

/// Length of the accept queue. Bursts beyond it lose SYNs, each of which costs a second; the
/// system's own limit applies where it is lower.
const ACCEPT_BACKLOG: u32 = 4_096;

/// Pause after a failed accept, for example when file descriptors run out.
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

/// Largest number of connections beyond the limit that get a refusal; further ones are just closed.
const BUSY_CONNECTIONS: usize = 256;
/// Time limit for the request on such a connection.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);
/// `Retry-After` of that refusal.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Time for which a connection without a request is still read after the drain starts, and after each
/// answer since then.
const LAST_READ_TIME: Duration = Duration::from_millis(50);
/// Time for writing the last answers after the deadline of a drain.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Refuses a request on a connection beyond the limit.
async fn refuse_busy(request: Request<Incoming>) -> Response<AnswerBody> {
    let message = "too many connections are open here";
    let refusal = RequestRefusal::new(RefusalCode::Unavailable, message);
    own_answer(
        request.headers().get(header_names::REQUEST_ID),
        refusal.with_retry_after(BUSY_RETRY),
    )
}

/// The refusal of a request that has no answer at the deadline of the drain.
fn drain_refusal() -> RequestRefusal {
    let message = "the instance ended before there was an answer";
    RequestRefusal::new(RefusalCode::DeadlinePassed, message).with_outcome(RequestOutcome::Unknown)
}

/// The refusal of a request that came after another one in the drain, or hasn't begun by its deadline.
fn late_refusal() -> RequestRefusal {
    let message = "the instance ends";
    RequestRefusal::new(RefusalCode::NotReady, message).with_retry_after(BUSY_RETRY)
}

/// Builds the server's own answer to a request.
fn own_answer(id: Option<&HeaderValue>, refusal: RequestRefusal) -> Response<AnswerBody> {
    let answer = refusal.into_answer();
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let headers = response.headers_mut();
    headers.insert(header_names::OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    // A relaying instance rejects answers that don't repeat the request's id.
    if let Some(id) = id {
        headers.insert(header_names::REQUEST_ID, id.clone());
    }
    response
}

/// Like `TcpListener::bind`, with a longer accept queue.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Limits open connections, and those beyond the limit that get a refusal.
struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    busy_permits: Arc<Semaphore>,
}

/// A running server.
#[derive(Clone, Debug)]
pub struct HttpServer {
    address: SocketAddr,
    accepting: CancellationToken,
    draining: CancellationToken,
    /// Limits for connections accepted from now on.
    limits: Arc<Mutex<HttpLimits>>,
    /// Whether each answer closes its connection, unless a further request waits there.
    closing: Arc<AtomicBool>,
    /// Whether it serves connections beyond the limit, of which it refuses all requests.
    is_busy: bool,
    /// The time at which unanswered requests get the server's own answer.
    drain: DrainDeadline,
    connections: TaskTracker,
}

impl HttpServer {
    /// Listens on `address` and passes requests to `answer`.
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
            is_busy: false,
            drain: DrainDeadline::default(),
            connections: TaskTracker::new(),
        };
        tokio::spawn(server.clone().accept_loop(listener, limits, answer));
        Ok(server)
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limits for connections accepted from now on; the limit on the number of
    /// connections doesn't change.
    pub fn set_limits(&self, limits: HttpLimits) {
        *self.limits.lock() = limits;
    }

    /// Keeps accepting, but closes each connection after its answer. Requests that were sent ahead on it
    /// are still answered; the last answer closes it.
    pub fn close_after_answers(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Stops accepting, waits for open requests, and closes connections as they become idle.
    /// Requests without an answer after `limit`, or at [`Self::abort_drain`], are answered with an
    /// unknown outcome, and those that wait behind them are refused. Of those that are sent on a
    /// connection after its begin, the first one is served. Returns true if all connections ended by
    /// themselves.
    pub async fn drain(&self, limit: Duration) -> bool {
        self.drain.refuse_after(Instant::now() + LAST_READ_TIME);
        self.drain.begin(Instant::now() + limit);
        self.close_after_answers();
        self.accepting.cancel();
        self.draining.cancel();
        tokio::select! {
            // Polled first, because connections also end right after the deadline.
            biased;
            () = self.drain.passed() => {
                let _ = tokio::time::timeout(LAST_ANSWER_TIME, self.connections.wait()).await;
                false
            }
            () = self.connections.wait() => true,
        }
    }

    /// Ends a drain immediately, even one that hasn't started yet.
    pub fn abort_drain(&self) {
        self.drain.begin(Instant::now());
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    async fn accept_loop<S, F>(self, listener: TcpListener, limits: HttpLimits, answer: S)
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let limiter = ConnectionLimiter {
            permits: Arc::new(Semaphore::new(limits.connections)),
            busy_permits: Arc::new(Semaphore::new(BUSY_CONNECTIONS)),
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.accepting.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => self.begin_connection(stream, &limiter, &answer),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            }
        }
        // Closing the listener would reset the queued connections, which may already carry
        // requests.
        let waiting = listener.into_std();
        while let Ok(Ok((stream, _))) = waiting.as_ref().map(std::net::TcpListener::accept) {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                self.begin_connection(stream, &limiter, &answer);
            }
        }
        drop(waiting);
        self.connections.close();
    }

    /// Serves a connection, refuses it if the limit is reached, or closes it.
    fn begin_connection<S, F>(&self, stream: TcpStream, limiter: &ConnectionLimiter, answer: &S)
    where
        S: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<AnswerBody>> + Send + 'static,
    {
        let limits = self.limits.lock().clone();
        if let Ok(permit) = Arc::clone(&limiter.permits).try_acquire_owned() {
            let connection = self.clone().serve_connection(stream, permit, limits, answer.clone());
            self.connections.spawn(connection);
            return;
        }
        metrics::counter!("wheel_connections_refused_total").increment(1);
        // The refusal says that nothing ran; beyond its own limit connections are closed
        // immediately.
        if let Ok(permit) = Arc::clone(&limiter.busy_permits).try_acquire_owned() {
            let limits = HttpLimits { header_timeout: BUSY_TIMEOUT, ..limits };
            let closing = Arc::new(AtomicBool::new(true));
            let server = Self { closing, is_busy: true, ..self.clone() };
            let connection = server.serve_connection(stream, permit, limits, refuse_busy);
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
        // Small SSE events must be sent without delay.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES);
        let (closing, drain) = (Arc::clone(&self.closing), self.drain.clone());
        let open_answer: Arc<OpenAnswer> = Arc::default();
        let heads: Arc<HeadMeter> = Arc::default();
        let deadline: Arc<AnswerDeadline> = Arc::default();
        let activity: Arc<ConnectionActivity> = Arc::default();
        let stream = CallerStream::new(
            stream,
            Arc::clone(&open_answer),
            Arc::clone(&heads),
            ReadPace::new(Arc::clone(&deadline)),
            Arc::clone(&activity),
            drain.clone(),
        );
        let read = Arc::clone(&activity);
        let service = service_fn(move |request: Request<Incoming>| {
            heads.end_head();
            let guard = read.begin_request();
            let id = request.headers().get(header_names::REQUEST_ID).cloned();
            // Before HTTP/1.1 only the end of the connection marks the end of a streamed answer.
            let ends_by_close =
                request.version() < Version::HTTP_11 && request.method() != Method::HEAD;
            let is_late =
                drain.has_passed() || (drain.refuses(read.arrived_at()) && !read.begin_late());
            if is_late || self.is_busy {
                read.record_refusal();
            }
            let response = (!is_late).then(|| answer(request));
            let (closing, drain) = (Arc::clone(&closing), drain.clone());
            let (open_answer, heads) = (Arc::clone(&open_answer), Arc::clone(&heads));
            let (deadline, read) = (Arc::clone(&deadline), Arc::clone(&read));
            async move {
                let mut response = match response {
                    None => own_answer(id.as_ref(), late_refusal()),
                    Some(response) => tokio::select! {
                        biased;
                        response = response => response,
                        () = drain.passed() => own_answer(id.as_ref(), drain_refusal()),
                    },
                };
                if closing.load(Ordering::Acquire) {
                    // Has the connection look behind a body that wasn't read to its end.
                    tokio::task::yield_now().await;
                    if read.ends_with_answer(LAST_READ_TIME) {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(header::CONNECTION, close);
                    }
                }
                heads.begin_head();
                deadline.set(response.extensions().get::<ReadDeadline>().copied());
                let response = guard.watch(response);
                Ok::<_, Infallible>(match ends_by_close {
                    true => open_answer.watch(response),
                    false => response,
                })
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut idle = pin!(async {
            self.draining.cancelled().await;
            // A request that was already sent is still read. Before that, a graceful shutdown would
            // drop what was read behind the request that is served.
            activity.idle_for(LAST_READ_TIME).await;
        });
        let mut end = pin!(self.drain.passed());
        let (mut is_idle, mut is_over) = (false, false);
        loop {
            tokio::select! {
                // A request that has just arrived is read first.
                biased;
                // Errors are caused by the peer: it disconnected or sent invalid data that hyper
                // has answered.
                _ = connection.as_mut() => break,
                () = &mut idle, if !is_idle => {
                    is_idle = true;
                    connection.as_mut().graceful_shutdown();
                }
                // A write that waits is tried again with a larger buffer.
                () = &mut end, if !is_over => is_over = true,
            }
        }
        drop(permit);
    }
}
