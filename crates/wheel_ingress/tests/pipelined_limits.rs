//! What requests that are sent ahead on a connection, and parts of them, must not hold or begin.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use wheel_ingress::{HttpLimits, HttpServer, full_body};

/// Time limit of a drain, far beyond what it needs.
const LIMIT: Duration = Duration::from_secs(8);
/// Time by which a drain that has nothing to answer ends, on a busy machine.
const END_TIME: Duration = Duration::from_secs(4);
/// Time until a request for `/paced` is answered.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// Time within which the server learns what was sent, or that its caller has left.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A server whose requests for `/slow` end once `gate` is cancelled, and those for `/paced` after [`ANSWER_TIME`].
struct SlowServer {
    server: HttpServer,
    gate: CancellationToken,
    begun: UnboundedReceiver<String>,
    running: Arc<AtomicUsize>,
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl SlowServer {
    async fn bind(limits: HttpLimits) -> Self {
        let gate = CancellationToken::new();
        let (begins, begun) = unbounded_channel();
        let running: Arc<AtomicUsize> = Arc::default();
        let (opened, count) = (gate.clone(), Arc::clone(&running));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = HttpServer::bind(address, limits, move |request| {
            let path = request.uri().path().to_owned();
            let (opened, begins) = (opened.clone(), begins.clone());
            count.fetch_add(1, Ordering::SeqCst);
            let guard = RunningGuard(Arc::clone(&count));
            async move {
                let _guard = guard;
                let _ = begins.send(path.clone());
                match path.as_str() {
                    "/slow" => opened.cancelled().await,
                    "/paced" => sleep(ANSWER_TIME).await,
                    _ => {}
                }
                Response::new(full_body(path))
            }
        });
        Self { server: server.await.expect("a server"), gate, begun, running }
    }

    async fn send(&mut self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.server.local_addr()).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("sent requests");
        self.begun.recv().await.expect("a request");
        stream
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Sends a further request after each answer, until the connection ends. Returns the number of answers.
async fn keep_ahead(mut stream: TcpStream) -> usize {
    let (mut answers, mut buffer) = (0, vec![0; 4 << 10]);
    while let Ok(1..) = stream.read(&mut buffer).await {
        answers += 1;
        if stream.write_all(get("/paced").as_bytes()).await.is_err() {
            break;
        }
    }
    answers
}

/// A caller that sends its next request before it has read the answer to the one before must not hold a drain to its
/// deadline.
#[tokio::test]
async fn drain_ends_beside_a_caller_that_keeps_one_request_ahead() {
    let mut server = SlowServer::bind(HttpLimits::default()).await;
    let stream = server.send(&get("/paced").repeat(2)).await;
    let calling = tokio::spawn(keep_ahead(stream));
    sleep(SETTLE_TIME).await;
    let begin = Instant::now();
    let all_ended = server.server.drain(LIMIT).await;
    let held = begin.elapsed();
    let answers = calling.await.expect("a caller");
    assert!(
        all_ended && held < END_TIME,
        "held for {held:?}, all ended: {all_ended}, {answers} answers"
    );
}

/// The places for refusals beyond the limit must not be held by callers that go on asking.
#[tokio::test]
async fn connection_beyond_the_limit_ends_although_its_caller_goes_on_sending() {
    let limits = HttpLimits { connections: 1, ..HttpLimits::default() };
    let mut server = SlowServer::bind(limits).await;
    let _open = server.send(&get("/slow")).await;
    let stream = TcpStream::connect(server.server.local_addr()).await.expect("a connection");
    let (mut answers, mut requests) = stream.into_split();
    let sending =
        async move { while requests.write_all(get("/paced").as_bytes()).await.is_ok() {} };
    let mut sink = tokio::io::sink();
    let reading = tokio::io::copy(&mut answers, &mut sink);
    let end = timeout(END_TIME, async { tokio::join!(sending, reading) }).await;
    assert!(end.is_ok(), "the connection stays open");
}

/// Callers that go on sending in a drain must learn that their requests don't run.
#[tokio::test]
async fn drain_second_request_sent_after_its_begin_is_refused_as_not_run() {
    let mut server = SlowServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&get("/slow")).await;
    let late = async {
        for path in ["/first", "/second"] {
            sleep(SETTLE_TIME).await;
            stream.write_all(get(path).as_bytes()).await.expect("a sent request");
        }
        sleep(SETTLE_TIME).await;
        server.gate.cancel();
        let mut answers = String::new();
        stream.read_to_string(&mut answers).await.expect("answers");
        answers
    };
    let (all_ended, answers) = tokio::join!(server.server.drain(LIMIT), late);
    assert!(all_ended, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 503").count(), 1, "{answers}");
    assert!(answers.contains("wheel-outcome: not-run"), "{answers}");
    assert_eq!(server.begun.try_recv().as_deref(), Ok("/first"));
    assert!(server.begun.try_recv().is_err(), "a second late request began");
}

/// Half a head is no request, however slowly the rest of it comes.
#[tokio::test]
async fn drain_ends_beside_a_head_that_comes_byte_by_byte() {
    let mut server = SlowServer::bind(HttpLimits::default()).await;
    let mut stream = server.send(&get("/first")).await;
    let mut buffer = [0; 4096];
    assert!(stream.read(&mut buffer).await.expect("an answer") > 0);
    let sending = tokio::spawn(async move {
        let head = format!("GET /second HTTP/1.1\r\nx: {}", "x".repeat(4_000));
        for byte in head.into_bytes() {
            if stream.write_all(&[byte]).await.is_err() {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
    });
    sleep(SETTLE_TIME).await;
    let begin = Instant::now();
    let all_ended = server.server.drain(LIMIT).await;
    let held = begin.elapsed();
    sending.abort();
    assert!(all_ended && held < END_TIME, "held for {held:?}, all ended: {all_ended}");
}

/// A request whose caller has left before it begins must not begin.
#[tokio::test]
async fn request_behind_an_answer_isnt_begun_once_its_caller_has_left() {
    let mut server = SlowServer::bind(HttpLimits::default()).await;
    let stream = server.send(&[get("/slow"), get("/second")].concat()).await;
    drop(stream);
    sleep(SETTLE_TIME).await;
    server.gate.cancel();
    let begun = timeout(SETTLE_TIME, server.begun.recv()).await.ok().flatten();
    assert_eq!(begun, None, "a request began after its caller had left");
}

/// A caller that leaves ends its request, whether or not it has sent a further one.
#[tokio::test]
async fn request_ends_with_its_caller_although_a_further_one_was_sent() {
    let mut server = SlowServer::bind(HttpLimits::default()).await;
    let stream = server.send(&[get("/slow"), get("/second")].concat()).await;
    drop(stream);
    sleep(SETTLE_TIME).await;
    assert_eq!(server.running.load(Ordering::SeqCst), 0, "the request still runs");
}
