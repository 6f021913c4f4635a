//! Callers that send a request on a connection before they have the answer to the one before. What was read must
//! be answered, in order, also if the connection is to be closed meanwhile.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wheel_ingress::{AnswerBody, AnswerError, HttpLimits, HttpServer, full_body};

/// Time limit for the answers on a connection, on a busy machine.
const LIMIT: Duration = Duration::from_secs(20);
/// Time within which the server learns what was sent, and closes what is idle.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time until a drain ends in a test of its deadline.
const SHORT_DRAIN: Duration = Duration::from_millis(600);

/// A server whose requests for `/slow` and `/stream` end once `gate` is cancelled.
struct GatedServer {
    server: HttpServer,
    gate: CancellationToken,
    /// The paths of the requests that began.
    begun: UnboundedReceiver<String>,
}

impl GatedServer {
    async fn bind(limits: HttpLimits) -> Self {
        let gate = CancellationToken::new();
        let (begins, begun) = unbounded_channel();
        let opened = gate.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = HttpServer::bind(address, limits, move |request| {
            let path = request.uri().path().to_owned();
            let (opened, begins) = (opened.clone(), begins.clone());
            async move {
                let _ = begins.send(path.clone());
                match path.as_str() {
                    "/stream" => Response::new(gated_body(opened)),
                    "/slow" => {
                        opened.cancelled().await;
                        Response::new(full_body("[/slow]"))
                    }
                    "/upload" => {
                        let body = request.into_body().collect().await.expect("a whole body");
                        Response::new(full_body(format!("[/upload {}]", body.to_bytes().len())))
                    }
                    path => Response::new(full_body(format!("[{path}]"))),
                }
            }
        });
        Self { server: server.await.expect("a server"), gate, begun }
    }

    /// Sends `text` over a new connection and waits for the begin of the first request.
    async fn send(&mut self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.server.local_addr()).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("sent requests");
        self.begun.recv().await.expect("a request");
        stream
    }

    /// Starts a drain, and lets the requests end once it has had time to act on the connections.
    async fn drain_and_open(&self, limit: Duration) -> bool {
        let opening = async {
            tokio::time::sleep(SETTLE_TIME).await;
            self.gate.cancel();
        };
        tokio::join!(self.server.drain(limit), opening).0
    }
}

/// A body of two pieces, the second of which comes once `gate` is cancelled.
fn gated_body(gate: CancellationToken) -> AnswerBody {
    let piece =
        |text: &'static str| Ok::<_, AnswerError>(Frame::data(Bytes::from_static(text.as_bytes())));
    let rest = stream::once(async move {
        gate.cancelled().await;
        piece("/stream]")
    });
    StreamBody::new(stream::iter([piece("[")]).chain(rest)).boxed_unsync()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Everything up to the end of the connection.
async fn rest(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let ended = timeout(LIMIT, stream.read_to_end(&mut text)).await.expect("an end");
    let text = String::from_utf8_lossy(&text).into_owned();
    ended.unwrap_or_else(|error| panic!("{error} after {text:?}"));
    text
}

/// Asserts that `text` contains `parts` in this order.
fn assert_order(text: &str, parts: &[&str]) {
    let mut left = text;
    for part in parts {
        let found = left.find(part);
        let begin = found.unwrap_or_else(|| panic!("{part} is missing in {left:?} of {text:?}"));
        left = &left[begin + part.len()..];
    }
}

#[tokio::test]
async fn drain_request_behind_a_slow_answer_is_answered() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&[get("/slow"), get("/second"), get("/third")].concat()).await;
    assert!(server.drain_and_open(LIMIT).await);
    let text = rest(&mut stream).await;
    assert_order(&text, &["[/slow]", "[/second]", "connection: close", "[/third]"]);
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}

#[tokio::test]
async fn drain_request_sent_during_a_slow_answer_is_answered() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&get("/slow")).await;
    let sending = async {
        tokio::time::sleep(SETTLE_TIME / 2).await;
        stream.write_all(get("/second").as_bytes()).await.expect("a sent request");
    };
    assert!(tokio::join!(server.drain_and_open(LIMIT), sending).0);
    assert_order(&rest(&mut stream).await, &["[/slow]", "connection: close", "[/second]"]);
}

/// The head of the stream goes out before the drain and allows a further request.
#[tokio::test]
async fn drain_request_behind_a_stream_is_answered() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&[get("/stream"), get("/second")].concat()).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(server.drain_and_open(LIMIT).await);
    assert_order(&rest(&mut stream).await, &["/stream]", "connection: close", "[/second]"]);
}

#[tokio::test]
async fn drain_request_sent_during_a_stream_is_answered() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&get("/stream")).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let sending = async {
        tokio::time::sleep(SETTLE_TIME / 2).await;
        stream.write_all(get("/second").as_bytes()).await.expect("a sent request");
    };
    assert!(tokio::join!(server.drain_and_open(LIMIT), sending).0);
    assert_order(&rest(&mut stream).await, &["/stream]", "connection: close", "[/second]"]);
}

#[tokio::test]
async fn drain_upload_behind_a_slow_answer_is_answered() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let upload = "POST /upload HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
                  4\r\nbody\r\n0\r\n\r\n";
    let text = [get("/slow").as_str(), upload, &get("/third")].concat();
    let mut stream = server.send(&text).await;
    assert!(server.drain_and_open(LIMIT).await);
    let text = rest(&mut stream).await;
    assert_order(&text, &["[/slow]", "[/upload 4]", "connection: close", "[/third]"]);
}

/// What was read behind a request that ends with the drain hasn't run, and never will.
#[tokio::test]
async fn drain_request_behind_an_unanswered_one_is_refused_as_not_run() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&[get("/slow"), get("/second")].concat()).await;
    assert!(!server.server.drain(SHORT_DRAIN).await, "not all ended by themselves");
    let text = rest(&mut stream).await;
    let refusal = ["HTTP/1.1 503", "not-run", "connection: close"];
    assert_order(&text, &["HTTP/1.1 504", "unknown"]);
    refusal.iter().for_each(|part| assert!(text.contains(part), "{part} is missing in {text:?}"));
    assert!(server.begun.try_recv().is_err(), "the second request began");
}

/// The notice time of a drain, in which answers close their connections.
#[tokio::test]
async fn close_after_answers_answers_a_request_that_was_read() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&[get("/slow"), get("/second")].concat()).await;
    server.server.close_after_answers();
    server.gate.cancel();
    assert_order(&rest(&mut stream).await, &["[/slow]", "connection: close", "[/second]"]);
}

/// A refusal needs no body. What is left of it is no further request.
#[tokio::test]
async fn close_after_answers_closes_behind_a_body_that_isnt_read() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    server.server.close_after_answers();
    let request = "POST /first HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody";
    let mut stream = server.send(request).await;
    assert_order(&rest(&mut stream).await, &["connection: close", "[/first]"]);
}

#[tokio::test]
async fn accept_beyond_the_limit_refuses_each_request_that_was_read() {
    let limits = HttpLimits { connections: 1, ..HttpLimits::default() };
    let mut server = GatedServer::bind(limits).await;
    let _first = server.send(&get("/slow")).await;
    let mut second = TcpStream::connect(server.server.local_addr()).await.expect("a connection");
    let requests = [get("/second"), get("/third")].concat();
    second.write_all(requests.as_bytes()).await.expect("sent requests");
    let text = rest(&mut second).await;
    assert_order(&text, &["HTTP/1.1 503", "HTTP/1.1 503", "connection: close"]);
    assert!(server.begun.try_recv().is_err(), "a refused request began");
}

/// A new idle time applies to later connections; one that ends must not end what waits on a connection either.
#[tokio::test]
async fn idle_time_over_during_a_slow_answer_leaves_the_next_request() {
    let limits = HttpLimits { header_timeout: SETTLE_TIME / 3, ..HttpLimits::default() };
    let mut server = GatedServer::bind(limits.clone()).await;
    let mut stream = server.send(&[get("/slow"), get("/second")].concat()).await;
    server.server.set_limits(HttpLimits { header_timeout: SETTLE_TIME / 6, ..limits });
    tokio::time::sleep(SETTLE_TIME).await;
    server.gate.cancel();
    // The connection ends once it is idle.
    assert_order(&rest(&mut stream).await, &["[/slow]", "[/second]"]);
}

/// A drain beside a change of the idle time.
#[tokio::test]
async fn drain_beside_a_new_idle_time_answers_what_was_read() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&[get("/stream"), get("/second")].concat()).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let limits = HttpLimits { header_timeout: SETTLE_TIME / 6, ..HttpLimits::default() };
    let changing = async {
        tokio::time::sleep(SETTLE_TIME / 2).await;
        server.server.set_limits(limits);
    };
    assert!(tokio::join!(server.drain_and_open(LIMIT), changing).0);
    assert_order(&rest(&mut stream).await, &["/stream]", "connection: close", "[/second]"]);
}

/// Half a head is no request: it must not hold the drain.
#[tokio::test]
async fn drain_half_a_head_behind_an_answer_is_closed() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&[get("/slow").as_str(), "GET /second HTT"].concat()).await;
    assert!(server.drain_and_open(LIMIT / 2).await, "the connection stays open");
    assert_order(&rest(&mut stream).await, &["[/slow]"]);
}

/// A caller that closes after its request gets one answer.
#[tokio::test]
async fn request_behind_a_close_of_its_caller_isnt_run() {
    let mut server = GatedServer::bind(HttpLimits::default()).await;
    let first = "GET /first HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let mut stream = server.send(&[first, &get("/second")].concat()).await;
    let text = rest(&mut stream).await;
    assert_order(&text, &["connection: close", "[/first]"]);
    assert!(server.begun.try_recv().is_err(), "the second request began");
}
