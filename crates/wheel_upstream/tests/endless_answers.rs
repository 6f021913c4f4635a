//! Upstreams that send bytes without end where an answer, or a part of one, should end. Each call must end
//! in bounded time, after a bounded number of bytes, and close the connection.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wheel_types::{RequestId, RequestOutcome};
use wheel_upstream::{
    CallTimeouts, ConnectionLimits, DirectClient, FailureKind, PlainDialect, ServiceCall,
    ServiceClient, ServiceDialect, ServiceSettings,
};

/// Time limit of a call.
const LIMIT: Duration = Duration::from_millis(800);
/// Time beyond it for closing the connection, on a busy machine.
const SLACK: Duration = Duration::from_millis(1_500);
/// What an upstream may send before its connection is closed, including what the sockets buffer.
const MAX_SENT_BYTES: u64 = 24 << 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: id-1\r\n";

/// What follows the request on a connection: a beginning, and what is repeated without end.
#[derive(Clone)]
struct Endless {
    name: &'static str,
    beginning: String,
    repeated: String,
    /// Time between two repetitions.
    pause: Duration,
}

fn endless(name: &'static str, beginning: &str, repeated: &str) -> Endless {
    Endless {
        name,
        beginning: beginning.to_owned(),
        repeated: repeated.to_owned(),
        pause: Duration::ZERO,
    }
}

/// Every place of an answer that may have no end, each as fast as possible and as a trickle.
fn all_endless() -> Vec<Endless> {
    let piece = "x".repeat(4_096);
    let fast = vec![
        endless("fields", HEAD, "x-more: 1\r\n"),
        endless("a field's line", &format!("{HEAD}x-more: "), &piece),
        endless("a status line", "HTTP/1.1 200 ", &piece),
        endless("bytes before an answer", "", &piece),
        endless("interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        endless("a body until the close", &format!("{HEAD}\r\n"), &piece),
        endless(
            "a body of great length",
            &format!("{HEAD}content-length: 99999999999\r\n\r\n"),
            &piece,
        ),
        endless(
            "chunks",
            &format!("{HEAD}transfer-encoding: chunked\r\n\r\n"),
            &format!("1000\r\n{piece}\r\n"),
        ),
        endless(
            "a chunk's extension",
            &format!("{HEAD}transfer-encoding: chunked\r\n\r\n4;"),
            &piece,
        ),
        endless(
            "trailers",
            &format!("{HEAD}transfer-encoding: chunked\r\n\r\n0\r\n"),
            "x-more: 1\r\n",
        ),
    ];
    let trickle =
        fast.iter().map(|fast| Endless { pause: Duration::from_millis(50), ..fast.clone() });
    fast.clone().into_iter().chain(trickle).collect()
}

/// An upstream that sends `endless` after each request; counts the bytes that it could send.
struct EndlessUpstream {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
    is_closed: Arc<AtomicBool>,
}

impl EndlessUpstream {
    /// The first `sound` requests are answered well.
    async fn bind(endless: Endless, sound: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (sent, is_closed) = <(Arc<AtomicU64>, Arc<AtomicBool>)>::default();
        let (counted, closed) = (Arc::clone(&sent), Arc::clone(&is_closed));
        tokio::spawn(async move {
            let mut answered = 0;
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buffer = [0; 4_096];
                while let Ok(read @ 1..) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..read]);
                    let probe_id = text.lines().find_map(|line| line.strip_prefix("x-id: "));
                    let beginning = endless.beginning.replace("id-1", probe_id.unwrap_or("id-1"));
                    if answered < sound {
                        answered += 1;
                        let answer = format!("{HEAD}content-length: 2\r\n\r\nok");
                        let _ = stream.write_all(answer.as_bytes()).await;
                        continue;
                    }
                    let _ = stream.write_all(beginning.as_bytes()).await;
                    while stream.write_all(endless.repeated.as_bytes()).await.is_ok() {
                        counted.fetch_add(endless.repeated.len() as u64, Ordering::SeqCst);
                        if !endless.pause.is_zero() {
                            tokio::time::sleep(endless.pause).await;
                        }
                    }
                    closed.store(true, Ordering::SeqCst);
                    break;
                }
            }
        });
        Self { address, sent, is_closed }
    }

    async fn assert_closed(&self, name: &str) {
        let began = Instant::now();
        while !self.is_closed.load(Ordering::SeqCst) {
            assert!(began.elapsed() < SLACK, "{name}: the connection stays open");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let sent = self.sent.load(Ordering::SeqCst);
        assert!(sent < MAX_SENT_BYTES, "{name}: {sent} bytes were taken");
    }
}

/// Plain calls, with a probe of idle connections.
struct ProbingDialect;

impl ServiceDialect for ProbingDialect {
    fn probe(&self, id: &RequestId) -> Option<Request<Bytes>> {
        Request::get("/").header("x-id", id.as_str()).body(Bytes::new()).ok()
    }

    fn request(&self, call: &ServiceCall) -> Result<Request<Bytes>, FailureKind> {
        PlainDialect.request(call)
    }

    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get("x-id")?.to_str().ok()
    }

    fn ends_by_close(&self) -> bool {
        true
    }

    fn outcome(&self, _: StatusCode, _: &HeaderMap) -> RequestOutcome {
        RequestOutcome::Ran
    }
}

fn service(address: SocketAddr) -> ServiceClient {
    let limits = ConnectionLimits {
        probe_after_idle: Duration::ZERO,
        probe_timeout: LIMIT,
        ..ConnectionLimits::default()
    };
    let settings = ServiceSettings::new("u1".into(), address).limits(limits);
    ServiceClient::open(settings.dialect(Arc::new(ProbingDialect)))
}

fn call(id: &str) -> ServiceCall {
    ServiceCall {
        request_id: RequestId::new(id),
        method: http::Method::POST,
        path: http::uri::PathAndQuery::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        idempotency_key: None,
        idempotent: true,
        timeouts: CallTimeouts::default().total(LIMIT),
    }
}

/// Makes a call and reads its whole answer.
async fn call_whole(client: &ServiceClient, id: &str) -> bool {
    match client.call(call(id)).await {
        Ok(mut answer) => answer.body.collect(1 << 20).await.is_ok(),
        Err(_) => false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_to_a_service_without_end_is_closed() {
    for endless in all_endless() {
        let name = endless.name;
        let upstream = EndlessUpstream::bind(endless, 0).await;
        let began = Instant::now();
        assert!(!call_whole(&service(upstream.address), "id-1").await, "{name}: taken for whole");
        assert!(began.elapsed() < LIMIT + SLACK, "{name}: {:?}", began.elapsed());
        upstream.assert_closed(name).await;
    }
}

/// Such an upstream hasn't ended under the request. Were it taken for a crash, the request's prompt
/// would be blamed for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn head_without_end_is_no_answer_and_no_crash() {
    let heads = ["fields", "a field's line", "a status line", "bytes before an answer"];
    let is_fast_head = |endless: &Endless| heads.contains(&endless.name) && endless.pause.is_zero();
    // Many at once, so that the limit is reached before the deadline.
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000);
    let interim = endless("interim answers", "", &interim);
    for endless in all_endless().into_iter().filter(is_fast_head).chain([interim]) {
        let name = endless.name;
        let upstream = EndlessUpstream::bind(endless, 0).await;
        let failure = service(upstream.address).call(call("id-1")).await.err().expect("no answer");
        assert!(failure.is_no_answer(), "{name}: {failure}");
        assert!(!failure.is_closed_by_upstream(), "{name}: {failure}");
        assert_eq!(failure.outcome(), RequestOutcome::Unknown, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fetch_without_end_is_closed() {
    for endless in all_endless() {
        let name = endless.name;
        let upstream = EndlessUpstream::bind(endless, 0).await;
        let began = Instant::now();
        let client = DirectClient::open(upstream.address, ConnectionLimits::default());
        let answer = client.fetch(Request::new(Bytes::new()), LIMIT).await;
        assert!(answer.is_err(), "{name}: taken for whole");
        assert!(began.elapsed() < LIMIT + SLACK, "{name}: {:?}", began.elapsed());
        upstream.assert_closed(name).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn probe_without_end_is_closed() {
    // The first call is answered well; its connection is probed before the second one.
    for endless in all_endless() {
        let name = endless.name;
        let upstream = EndlessUpstream::bind(endless, 1).await;
        let client = service(upstream.address);
        assert!(call_whole(&client, "id-1").await, "{name}: the first call");
        let began = Instant::now();
        assert!(!call_whole(&client, "id-2").await, "{name}: taken for whole");
        assert!(began.elapsed() < LIMIT * 2 + SLACK, "{name}: {:?}", began.elapsed());
        upstream.assert_closed(name).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_without_end_after_an_answer_close_the_connection() {
    let beginning = format!("{HEAD}content-length: 2\r\n\r\nok");
    let upstream = EndlessUpstream::bind(endless("after", &beginning, &"x".repeat(4_096)), 0).await;
    let client = service(upstream.address);
    assert!(call_whole(&client, "id-1").await, "the answer itself is whole");
    upstream.assert_closed("bytes after an answer").await;
}
