//! Answers that are ready when a drain ends, for callers whose links are slow. The process ends soon after that, and
//! what its system hasn't taken of an answer by then is lost.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Runtime;
use tokio::time::{sleep, timeout};
use wheel_ingress::{HttpLimits, HttpServer, full_body};

/// Size of an answer that takes some seconds on a slow link.
const ANSWER_BYTES: usize = 300 << 10;
/// Receive buffer of a caller, and what it reads at once, in bytes.
const PIECE_BYTES: usize = 8 << 10;
/// Pause after that: 100 KB/s.
const PIECE_PAUSE: Duration = Duration::from_millis(80);
/// Time for which a caller reads nothing.
const CLOSED_TIME: Duration = Duration::from_millis(200);
/// Time limit of the drain.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);
/// Time limit for the end of an answer, on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

/// A server in a runtime of its own, which ends with its connections as a process does.
struct EndingServer {
    runtime: Runtime,
    server: HttpServer,
}

impl EndingServer {
    /// Binds a server whose requests for `/silent` have no answer, and all others a long one.
    async fn bind() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let answer = |request: http::Request<hyper::body::Incoming>| async move {
            if request.uri().path() == "/silent" {
                std::future::pending::<()>().await;
            }
            Response::new(full_body(vec![b'x'; ANSWER_BYTES]))
        };
        let server = HttpServer::bind(address, HttpLimits::default(), answer);
        let server = runtime.spawn(server).await.expect("its task").expect("a server");
        Self { runtime, server }
    }

    async fn end(self) {
        let server = self.server;
        let drained = self.runtime.spawn(async move { server.drain(DRAIN_LIMIT).await });
        drained.await.expect("the end of the drain");
        self.runtime.shutdown_background();
    }
}

/// Sends a request over a connection that buffers little at the caller.
async fn send(server: &EndingServer, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(PIECE_BYTES as u32).expect("a receive buffer");
    let mut stream = socket.connect(server.server.local_addr()).await.expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    stream
}

/// Reads at the pace of a slow link until the end of the connection.
async fn read_slowly(mut stream: TcpStream) -> Vec<u8> {
    let (mut answer, mut piece) = (Vec::new(), vec![0; PIECE_BYTES]);
    loop {
        let read = timeout(LIMIT, stream.read(&mut piece)).await.expect("an end");
        match read.unwrap_or_else(|error| panic!("{error} after {} bytes", answer.len())) {
            0 => return answer,
            count => answer.extend_from_slice(&piece[..count]),
        }
        sleep(PIECE_PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_end_leaves_a_ready_answer_on_a_slow_link_whole() {
    let server = EndingServer::bind().await;
    let reading = tokio::spawn(read_slowly(send(&server, "/long").await));
    sleep(DRAIN_LIMIT).await;
    server.end().await;
    let answer = reading.await.expect("a caller");
    assert!(answer.len() > ANSWER_BYTES, "{} bytes of {ANSWER_BYTES}", answer.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_end_leaves_a_ready_answer_behind_a_closed_window_whole() {
    let server = EndingServer::bind().await;
    let stream = send(&server, "/long").await;
    sleep(DRAIN_LIMIT).await;
    server.end().await;
    sleep(CLOSED_TIME).await;
    let answer = read_slowly(stream).await;
    assert!(answer.len() > ANSWER_BYTES, "{} bytes of {ANSWER_BYTES}", answer.len());
}

/// The server's own answer, behind one that fills the window of a caller that doesn't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_end_leaves_its_own_answer_whole() {
    let server = EndingServer::bind().await;
    let stream = send(&server, "/silent").await;
    server.end().await;
    sleep(CLOSED_TIME).await;
    let answer = read_slowly(stream).await;
    assert!(answer.starts_with(b"HTTP/1.1 504") && answer.ends_with(b"}"), "{answer:?}");
}
