//! An upstream that refuses a request, is sent it again after the rest that it asked for, and then
//! writes its refusal once more while it runs the request. Taken for the answer to the second send,
//! the refusal has the request run again, there or at another upstream.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use support::{Reply, TestIngress, TestUpstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wheel_route::{EngineId, EngineInfo, FleetView, RouteKind, UpstreamState};

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const KINDS: [RouteKind; 4] = [
    STREAM,
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Streaming { resumable: false },
];
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nx-id: id-1\r\nx-not-executed: 1\r\n\
                       retry-after: 0.2\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nx-id: id-1\r\nx-signature: signed-by-u1\r\n\
                      content-length: 16\r\n\r\nid: 1\ndata: t1\n\n";
/// How long the upstream runs a request.
const RUN_TIME: Duration = Duration::from_millis(700);

/// Refuses its first request and runs all others, each after it has written the last answer of the
/// connection once more.
struct RepeatingUpstream {
    address: SocketAddr,
    requests: watch::Receiver<u32>,
}

impl RepeatingUpstream {
    async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (count, requests) = watch::channel(0);
        let count = Arc::new(count);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&count)));
            }
        });
        Self { address, requests }
    }

    /// Requests read so far.
    fn requests(&self) -> u32 {
        *self.requests.borrow()
    }

    fn info(&self) -> EngineInfo {
        EngineInfo {
            id: EngineId { name: "u1".into(), started_unix_ms: 1 },
            service: "s".into(),
            address: self.address,
            centre: "here".into(),
            slots: 4,
            state: UpstreamState::Ready,
            models: Vec::new(),
        }
    }
}

async fn serve(mut stream: TcpStream, count: Arc<watch::Sender<u32>>) {
    let mut earlier = "";
    loop {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\nasked") {
            match stream.read_buf(&mut bytes).await {
                Ok(1..) => {}
                _ => return,
            }
        }
        count.send_modify(|count| *count += 1);
        let is_first = *count.borrow() == 1;
        let answer = if is_first { REFUSAL } else { ANSWER };
        if stream.write_all(earlier.as_bytes()).await.is_err() {
            return;
        }
        if !is_first {
            tokio::time::sleep(RUN_TIME).await;
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        earlier = answer;
    }
}

/// An ingress instance with `upstream` alone.
async fn bind_ingress(kind: RouteKind, upstream: &RepeatingUpstream) -> TestIngress {
    let ingress = TestIngress::bind(kind, &[]).await;
    let view = FleetView { engines: vec![upstream.info()], ..FleetView::default() };
    ingress.state.set_view(view);
    ingress
}

#[tokio::test]
async fn refusal_written_once_more_has_the_request_run_once() {
    for kind in KINDS {
        let upstream = RepeatingUpstream::bind().await;
        let ingress = bind_ingress(kind, &upstream).await;
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.status, upstream.requests()), (200, 2), "{kind:?}");
        assert!(answer.is_whole && answer.body == "id: 1\ndata: t1\n\n", "{kind:?}");
    }
}

#[tokio::test]
async fn refusal_written_once_more_sends_the_request_nowhere_else() {
    for kind in KINDS {
        let upstream = RepeatingUpstream::bind().await;
        let other = TestUpstream::bind("u2", vec![Reply::ran(200, "id: 1\ndata: u2\n\n")]).await;
        let ingress = bind_ingress(kind, &upstream).await;
        let mut requests = upstream.requests.clone();
        let second_send = async {
            requests.wait_for(|count| *count == 2).await.expect("a second send");
            ingress.add_upstream(&other, 0);
        };
        let (answer, ()) = tokio::join!(ingress.post("/a/", &[]), second_send);
        assert_eq!((answer.status, other.seen().len()), (200, 0), "{kind:?}");
        assert_eq!(answer.body, "id: 1\ndata: t1\n\n", "{kind:?}");
    }
}

/// Writes an answer to a request that nobody waits for any more before each answer but a connection's first.
async fn bind_late() -> (SocketAddr, watch::Receiver<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (count, requests) = watch::channel(0);
    let count = Arc::new(count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut late = String::new();
                while let Some(id) = read_id(&mut stream).await {
                    count.send_modify(|count| *count += 1);
                    let answers = late + &ANSWER.replace("id-1", &id);
                    if stream.write_all(answers.as_bytes()).await.is_err() {
                        return;
                    }
                    late = ANSWER.replace("id-1", "id-0").replace("t1", "t0");
                }
            });
        }
    });
    (address, requests)
}

/// Reads a request and returns its id; `None` if the connection ends.
async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nasked") {
        let read = stream.read_buf(&mut bytes).await;
        read.ok().filter(|read| *read > 0)?;
    }
    let head = String::from_utf8(bytes).expect("text");
    head.lines().find_map(|line| line.strip_prefix("x-id: ")).map(str::to_owned)
}

/// Sends a request with an id of its own and reads the whole answer.
async fn ask(at: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let request = format!(
        "POST /a/ HTTP/1.1\r\nhost: test\r\nx-id: {id}\r\nconnection: close\r\n\
         content-length: 5\r\n\r\nasked"
    );
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

/// The id of a late answer tells it apart. What may not be repeated has a connection of its own, where none
/// can come; what may be repeated loses one send.
#[tokio::test]
async fn late_answer_goes_to_nobody_and_costs_one_send_at_most() {
    for kind in KINDS {
        for attempts in [1, 2] {
            let (address, requests) = bind_late().await;
            let ingress = TestIngress::with_route(kind, &[], |route| route.max_attempts = attempts);
            let ingress = ingress.await;
            let upstream = RepeatingUpstream { address, requests: requests.clone() };
            let view = FleetView { engines: vec![upstream.info()], ..FleetView::default() };
            ingress.state.set_view(view);
            let reply = || Reply::ran(200, "id: 1\ndata: t1\n\n");
            let other = TestUpstream::bind("u2", vec![reply(), reply(), reply()]).await;
            ingress.add_upstream(&other, 3);
            let mut whole = 0;
            for id in ["id-2", "id-3", "id-4"] {
                let answer = ask(ingress.address(), id).await;
                assert!(!answer.contains("t0") && !answer.contains("id-0"), "{kind:?}: {answer}");
                whole += u32::from(answer.starts_with("HTTP/1.1 200") && answer.contains("t1"));
            }
            // The second request loses its send, and the third one has a new connection.
            let lost = u32::from(kind.is_repeatable());
            let lost_for_good = if attempts == 1 { lost } else { 0 };
            let sends = (*requests.borrow(), other.seen().len() as u32);
            let expected = (3 - lost_for_good, (3, lost - lost_for_good));
            assert_eq!((whole, sends), expected, "{kind:?} with {attempts} attempts");
        }
    }
}
