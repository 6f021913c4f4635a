//! Upstreams that stop anywhere in an answer and then close or reset the connection. No call may take
//! the part for a complete answer.

#![allow(clippy::expect_used)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use common::{ANY_PORT, LONG, booking, engine_client, generate, read_all, service_client};
use http::{HeaderMap, Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wheel_types::{RequestId, RequestOutcome};
use wheel_upstream::{
    ConnectionLimits, DirectClient, FailureKind, PlainDialect, ServiceCall, ServiceClient,
    ServiceDialect, ServiceSettings,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n";
const BODY: &str = "{\"id\":\"r-1\"}";
const FIRST: &str =
    "data: {\"id\":\"r-1\",\"choices\":[{\"finish_reason\":null}],\"wheel\":{\"index\":0}}\n\n";
const LAST: &str = "data: {\"id\":\"r-1\",\"choices\":[{\"finish_reason\":\"length\"}],\"wheel\":{\"index\":1}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// How an upstream ends a connection after it has written its bytes.
#[derive(Clone, Copy, Debug)]
enum RawEnd {
    Close,
    Reset,
}

const ENDS: [RawEnd; 2] = [RawEnd::Close, RawEnd::Reset];

/// An upstream that answers each request with `bytes` and ends the connection.
async fn bind(bytes: &str, end: RawEnd) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
    let address = listener.local_addr().expect("address");
    let bytes = bytes.to_owned();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // The tests' small requests arrive in one piece.
            if !matches!(stream.read(&mut [0; 65_536]).await, Ok(1..)) {
                continue;
            }
            stream.write_all(bytes.as_bytes()).await.expect("write");
            match end {
                RawEnd::Close => stream.shutdown().await.expect("close"),
                RawEnd::Reset => stream.set_zero_linger().expect("reset"),
            }
        }
    });
    address
}

/// A service whose answers may end with their connection.
struct ClosingDialect;

impl ServiceDialect for ClosingDialect {
    fn probe(&self, _: &RequestId) -> Option<Request<Bytes>> {
        None
    }

    fn request(&self, call: &ServiceCall) -> Result<Request<Bytes>, FailureKind> {
        PlainDialect.request(call)
    }

    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        PlainDialect.answer_id(headers)
    }

    fn ends_by_close(&self) -> bool {
        true
    }

    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> RequestOutcome {
        PlainDialect.outcome(status, headers)
    }
}

fn closing_client(address: SocketAddr) -> ServiceClient {
    let settings = ServiceSettings::new("service".into(), address);
    ServiceClient::open(settings.dialect(Arc::new(ClosingDialect)))
}

/// The complete answer to a call of a service, or the failure.
async fn call(client: ServiceClient) -> Result<Bytes, FailureKind> {
    let answering = async {
        let mut answer = client.call(booking("r-1")).await?;
        answer.body.collect(1_000).await
    };
    let answer = tokio::time::timeout(LONG, answering).await.expect("an end");
    answer.map_err(|failure| failure.kind)
}

async fn fetch(address: SocketAddr) -> Result<Bytes, FailureKind> {
    let client = DirectClient::open(address, ConnectionLimits::default());
    let answer = client.fetch(Request::new(Bytes::new()), LONG).await;
    answer.map(|answer| answer.body).map_err(|failure| failure.kind)
}

async fn complete(address: SocketAddr) -> Result<Bytes, FailureKind> {
    let answer = engine_client(address).complete(generate("r-1", 2)).await;
    answer.map(|answer| answer.body).map_err(|failure| failure.kind)
}

/// The tokens of a complete stream, or the failure.
async fn stream(address: SocketAddr) -> Result<Vec<Bytes>, FailureKind> {
    let mut stream = engine_client(address)
        .generate(generate("r-1", 2))
        .await
        .map_err(|failure| failure.kind)?;
    let (tokens, end) = tokio::time::timeout(LONG, read_all(&mut stream)).await.expect("an end");
    end.map(|()| tokens).map_err(|failure| failure.kind)
}

/// Answers with `body` that stop before their end. `body` is what a sound answer carries.
fn cut_answers(body: &str) -> Vec<(&'static str, String)> {
    let chunked = |rest: &str| format!("{HEAD}transfer-encoding: chunked\r\n\r\n{rest}");
    let (size, half) = (body.len(), &body[..body.len() / 2]);
    vec![
        ("nothing", String::new()),
        ("in the status line", "HTTP/1.1 20".to_owned()),
        ("in a header's name", format!("{HEAD}x-mo")),
        ("after a header's line", HEAD.to_owned()),
        ("in a length that would be a shorter one", format!("{HEAD}content-length: 1")),
        ("before the last byte of the head", format!("{HEAD}content-length: {size}\r\n\r")),
        ("in an interim answer", "HTTP/1.1 103 Early Hints\r\nlink: a".to_owned()),
        ("after 100", "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        ("in the head after 103", format!("HTTP/1.1 103 Early Hints\r\n\r\n{HEAD}")),
        ("before a body with a length", format!("{HEAD}content-length: {size}\r\n\r\n")),
        ("in a body with a length", format!("{HEAD}content-length: {size}\r\n\r\n{half}")),
        ("before the first chunk", chunked("")),
        ("in a chunk's size", chunked("1")),
        ("in a chunk's extension", chunked(&format!("{size:x};more"))),
        ("in a chunk", chunked(&format!("{size:x}\r\n{half}"))),
        ("before a body without a marked end", format!("{HEAD}\r\n")),
    ]
}

/// Answers whose whole body has come, but not the mark of its end.
fn cut_ends(body: &str) -> Vec<(&'static str, String)> {
    let head = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let chunk = format!("{head}{:x}\r\n{body}\r\n", body.len());
    vec![
        ("after a chunk's data", chunk.trim_end_matches("\r\n").to_owned()),
        ("after a chunk", chunk.clone()),
        ("in the last chunk's size", format!("{chunk}0")),
        ("after the last chunk's size", format!("{chunk}0\r\n")),
        ("in a trailer", format!("{chunk}0\r\nx-more: 1")),
        ("after a trailer", format!("{chunk}0\r\nx-more: 1\r\n")),
    ]
}

/// Answers with an unclear framing of `body`.
fn unclear_framings(body: &str) -> Vec<(&'static str, String)> {
    let size = body.len();
    let chunked = format!("{size:x}\r\n{body}\r\n0\r\n\r\n");
    let coded =
        |coding: &str, rest: &str| format!("{HEAD}transfer-encoding: {coding}\r\n\r\n{rest}");
    vec![
        ("two lengths", format!("{HEAD}content-length: 2\r\ncontent-length: {size}\r\n\r\n{body}")),
        ("no number", format!("{HEAD}content-length: +{size}\r\n\r\n{body}")),
        ("another coding", coded("gzip", body)),
        ("a coding over chunks", coded("chunked, gzip", &chunked)),
        ("a coding under chunks", coded("gzip, chunked", &chunked)),
        (
            "a switch of protocols",
            format!("{HEAD}upgrade: other\r\nconnection: upgrade\r\n\r\n{body}")
                .replace("200 OK", "101 Switching Protocols"),
        ),
    ]
}

#[tokio::test]
async fn call_cut_anywhere_is_a_failure() {
    let cuts = [cut_answers(BODY), cut_ends(BODY), unclear_framings(BODY)].concat();
    for (place, bytes) in cuts {
        for end in ENDS {
            let address = bind(&bytes, end).await;
            let got = call(service_client(address)).await;
            assert!(got.is_err(), "{place}, {end:?}: {got:?}");
            let got = call(closing_client(address)).await;
            assert!(got.is_err(), "may end by a close, {place}, {end:?}: {got:?}");
            let got = fetch(address).await;
            assert!(got.is_err(), "direct, {place}, {end:?}: {got:?}");
        }
    }
}

#[tokio::test]
async fn complete_cut_anywhere_is_a_failure() {
    let cuts = [cut_answers(BODY), cut_ends(BODY), unclear_framings(BODY)].concat();
    for (place, bytes) in cuts {
        for end in ENDS {
            let got = complete(bind(&bytes, end).await).await;
            assert!(got.is_err(), "{place}, {end:?}: {got:?}");
        }
    }
}

#[tokio::test]
async fn generate_cut_anywhere_is_a_failure() {
    let events = format!("{FIRST}{LAST}{DONE}");
    for (place, bytes) in [cut_answers(&events), unclear_framings(&events)].concat() {
        for end in ENDS {
            let got = stream(bind(&bytes, end).await).await;
            assert!(got.is_err(), "{place}, {end:?}: {got:?}");
        }
    }
}

/// The end marker of the events counts, whatever follows it.
#[tokio::test]
async fn generate_with_its_end_marker_is_complete() {
    for (place, bytes) in cut_ends(&format!("{FIRST}{LAST}{DONE}")) {
        let got = stream(bind(&bytes, RawEnd::Close).await).await;
        assert_eq!(got.map(|tokens| tokens.len()).map_err(|_| ()), Ok(2), "{place}");
    }
}

#[tokio::test]
async fn generate_with_other_bytes_than_its_tokens_is_a_failure() {
    let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
    let error = "event: error\ndata: {\"error\":{\"message\":\"upstream failed\"}}\n\n";
    let bodies = [
        ("nothing", String::new()),
        ("text", "upstream failed\n\n".to_owned()),
        ("a head", head.to_owned()),
        ("a head after a token", format!("{FIRST}{head}")),
        ("no end marker", format!("{FIRST}{LAST}")),
        ("an end marker alone", DONE.to_owned()),
        ("an end marker before the last token", format!("{FIRST}{DONE}")),
        ("an end marker after a head", format!("{FIRST}{head}{DONE}")),
        ("an error event", format!("{error}{DONE}")),
        ("an error event after a token", format!("{FIRST}{error}{DONE}")),
        ("a list", "{\"object\":\"list\",\"data\":[]}".to_owned()),
    ];
    for (name, body) in bodies {
        for kind in ["text/event-stream", "application/json"] {
            let head = format!("{HEAD}content-type: {kind}\r\ncontent-length: {}", body.len());
            let got = stream(bind(&format!("{head}\r\n\r\n{body}"), RawEnd::Close).await).await;
            assert!(got.is_err(), "{name}, {kind}: {got:?}");
        }
    }
}

#[tokio::test]
async fn call_with_bytes_until_an_orderly_close_is_complete() {
    let address = bind(&format!("{HEAD}\r\n{BODY}"), RawEnd::Close).await;
    assert_eq!(call(closing_client(address)).await.map_err(|_| ()), Ok(Bytes::from(BODY)));
    let address = bind(&format!("{HEAD}\r\n{BODY}"), RawEnd::Reset).await;
    assert!(matches!(call(closing_client(address)).await, Err(FailureKind::CutShort)));
}

#[tokio::test]
async fn call_that_states_an_empty_body_is_complete() {
    let answers = [
        format!("{HEAD}content-length: 0\r\n\r\n"),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{HEAD}\r\n").replace("200 OK", "204 No Content"),
        format!("{HEAD}\r\n").replace("200 OK", "304 Not Modified"),
    ];
    for answer in answers {
        let address = bind(&answer, RawEnd::Close).await;
        for client in [service_client(address), closing_client(address)] {
            assert_eq!(call(client).await.map_err(|_| ()), Ok(Bytes::new()), "{answer}");
        }
    }
    // A failure says all that it has to say in its head.
    let answer = format!("{HEAD}\r\n").replace("200 OK", "500 Oops");
    let address = bind(&answer, RawEnd::Close).await;
    assert_eq!(call(closing_client(address)).await.map_err(|_| ()), Ok(Bytes::new()));
}
