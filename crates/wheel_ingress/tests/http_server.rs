//! The limit on connections, and draining.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_ingress::{HttpLimits, HttpServer, full_body};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\nwheel-request-id: r-1\r\n\r\n";

async fn bind(connections: usize) -> HttpServer {
    let limits = HttpLimits { connections, ..HttpLimits::default() };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, limits, |_| async { Response::new(full_body("here")) });
    server.await.expect("a server")
}

/// Sends a request and reads the answer up to `end`.
async fn exchange(stream: &mut TcpStream, end: &str) -> String {
    stream.write_all(REQUEST).await.expect("a sent request");
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains(end) {
        let read = stream.read_buf(&mut answer).await.expect("an answer");
        assert!(read > 0, "ended after {:?}", String::from_utf8_lossy(&answer));
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn accept_connection_beyond_the_limit_is_refused_as_not_run() {
    let server = bind(1).await;
    let mut first = TcpStream::connect(server.local_addr()).await.expect("a connection");
    assert!(exchange(&mut first, "here").await.starts_with("HTTP/1.1 200"));
    let mut second = TcpStream::connect(server.local_addr()).await.expect("a connection");
    let refusal = exchange(&mut second, "}}").await;
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    for header in ["wheel-outcome: not-run", "wheel-request-id: r-1", "retry-after: 1"] {
        assert!(refusal.contains(header), "{header} is missing in {refusal}");
    }
    assert_eq!(second.read(&mut [0; 16]).await.expect("an end"), 0, "closed after it");
    // The first connection continues, and closing it frees a slot.
    assert!(exchange(&mut first, "here").await.starts_with("HTTP/1.1 200"));
    drop(first);
    loop {
        let mut third = TcpStream::connect(server.local_addr()).await.expect("a connection");
        if exchange(&mut third, "\r\n\r\n").await.starts_with("HTTP/1.1 200") {
            break;
        }
    }
}

#[tokio::test]
async fn set_limits_applies_to_later_connections_only() {
    let server = bind(4).await;
    let limits = HttpLimits { header_timeout: Duration::from_millis(100), ..HttpLimits::default() };
    let mut before = TcpStream::connect(server.local_addr()).await.expect("a connection");
    assert!(exchange(&mut before, "here").await.starts_with("HTTP/1.1 200"));
    server.set_limits(limits);
    let mut after = TcpStream::connect(server.local_addr()).await.expect("a connection");
    after.write_all(b"GET / HTTP/1.1\r\n").await.expect("half a head");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(5), after.read_to_end(&mut rest)).await;
    closed.expect("a head that doesn't end is given up").expect("the connection ends");
    assert!(exchange(&mut before, "here").await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn close_after_answers_serves_new_connections() {
    // A drain is announced before it starts: new connections are still served, then closed.
    let server = bind(4).await;
    server.close_after_answers();
    let mut late = TcpStream::connect(server.local_addr()).await.expect("a connection");
    let answer = exchange(&mut late, "here").await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
    assert_eq!(late.read(&mut [0; 16]).await.expect("an end"), 0);
}

/// A server whose handler never answers, and a connection that waits for it.
async fn silent_server() -> (HttpServer, TcpStream) {
    let (started, mut starts) = tokio::sync::mpsc::unbounded_channel();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, HttpLimits::default(), move |_| {
        let _ = started.send(());
        std::future::pending()
    });
    let server = server.await.expect("a server");
    let mut waiting = TcpStream::connect(server.local_addr()).await.expect("a connection");
    waiting.write_all(REQUEST).await.expect("a sent request");
    starts.recv().await.expect("the handler has the request");
    (server, waiting)
}

async fn read_rest(stream: &mut TcpStream) -> String {
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("an end");
    String::from_utf8_lossy(&rest).into_owned()
}

#[tokio::test]
async fn drain_unanswered_request_gets_unknown_outcome() {
    let (server, mut waiting) = silent_server().await;
    assert!(!server.drain(Duration::from_millis(200)).await, "not all ended by themselves");
    let answer = read_rest(&mut waiting).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer:?}");
    for header in ["wheel-outcome: unknown", "wheel-request-id: r-1"] {
        assert!(answer.contains(header), "{header} is missing in {answer}");
    }
}

#[tokio::test]
async fn abort_drain_answers_at_once() {
    // A second signal skips the remaining time, and callers still get an answer.
    let (server, mut waiting) = silent_server().await;
    let began = std::time::Instant::now();
    let draining = tokio::spawn({
        let server = server.clone();
        async move { server.drain(Duration::from_secs(600)).await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.abort_drain();
    assert!(!draining.await.expect("the drain ends"));
    assert!(began.elapsed() < Duration::from_secs(10));
    assert!(read_rest(&mut waiting).await.starts_with("HTTP/1.1 504"));
}

#[tokio::test]
async fn drain_connections_not_accepted_yet_are_answered() {
    // Their requests are already sent; closing the listener would reset the connections.
    let server = bind(64).await;
    let connect = |_| {
        let mut stream = std::net::TcpStream::connect(server.local_addr()).expect("a connection");
        std::io::Write::write_all(&mut stream, REQUEST).expect("a sent request");
        stream.set_nonblocking(true).expect("a socket");
        TcpStream::from_std(stream).expect("a socket")
    };
    // This thread also runs the server, so that none is accepted in between.
    let waiting: Vec<TcpStream> = (0..20).map(connect).collect();
    assert!(server.drain(Duration::from_secs(5)).await);
    for mut stream in waiting {
        let mut answer = String::new();
        let reading = stream.read_to_string(&mut answer);
        let read = tokio::time::timeout(Duration::from_secs(5), reading).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{read:?} {answer:?}");
    }
}
