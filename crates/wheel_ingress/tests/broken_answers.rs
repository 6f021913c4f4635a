//! Answers that break off on their way to a caller of HTTP/1.0, whose answers of unknown length end
//! with their connection. An orderly close would make a part look like the whole.
#![allow(clippy::expect_used)]

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_ingress::{AnswerBody, AnswerError, HttpLimits, HttpServer};

/// How an answer goes on after its first part.
#[derive(Clone, Copy)]
enum BodyEnd {
    Complete,
    Broken,
    Silent,
}

/// A body of unknown length that begins with `part`.
fn body(end: BodyEnd) -> AnswerBody {
    let first = stream::iter([Ok(Frame::data(Bytes::from_static(b"part")))]);
    let rest = stream::once(async move {
        // The part is sent before the body ends.
        tokio::time::sleep(Duration::from_millis(50)).await;
        match end {
            BodyEnd::Complete => None,
            BodyEnd::Broken => {
                Some(Err(AnswerError::BrokeOff { reason: "the upstream crashed".to_owned() }))
            }
            BodyEnd::Silent => std::future::pending().await,
        }
    });
    let rest = rest.filter_map(|frame| async { frame });
    StreamBody::new(first.chain(rest)).boxed_unsync()
}

async fn bind(end: BodyEnd) -> HttpServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |_| async move { Response::new(body(end)) };
    HttpServer::bind(address, HttpLimits::default(), answer).await.expect("a server")
}

/// Sends a request of HTTP/1.0 with `method`.
async fn send(server: &HttpServer, method: &str) -> TcpStream {
    let mut stream = TcpStream::connect(server.local_addr()).await.expect("a connection");
    let request = format!("{method} / HTTP/1.0\r\nhost: h\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    stream
}

#[tokio::test]
async fn answer_broken_for_http_10_is_reset() {
    let server = bind(BodyEnd::Broken).await;
    let mut answer = Vec::new();
    let end = send(&server, "GET").await.read_to_end(&mut answer).await;
    assert_eq!(end.expect_err("a part").kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn answer_cut_by_the_end_of_the_process_for_http_10_is_reset() {
    let process = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let server = process.spawn(bind(BodyEnd::Silent)).await.expect("a server");
    let mut stream = send(&server, "GET").await;
    let mut answer = Vec::new();
    while !answer.ends_with(b"part") {
        assert!(stream.read_buf(&mut answer).await.expect("a part") > 0);
    }
    process.shutdown_background();
    let end = stream.read_to_end(&mut answer).await;
    assert_eq!(end.expect_err("a part").kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn answer_complete_for_http_10_ends_in_order() {
    let server = bind(BodyEnd::Complete).await;
    let mut answer = Vec::new();
    send(&server, "GET").await.read_to_end(&mut answer).await.expect("an orderly end");
    assert!(answer.ends_with(b"\r\n\r\npart"), "{}", String::from_utf8_lossy(&answer));
}

#[tokio::test]
async fn answer_without_body_for_http_10_ends_in_order() {
    let server = bind(BodyEnd::Complete).await;
    let mut answer = Vec::new();
    send(&server, "HEAD").await.read_to_end(&mut answer).await.expect("an orderly end");
    assert!(answer.ends_with(b"\r\n\r\n"), "{}", String::from_utf8_lossy(&answer));
}
