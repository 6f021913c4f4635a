//! Upstreams that stop anywhere in an answer and then close or reset the connection. No part may reach
//! a caller as a whole success.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;

use support::{RawEnd, Reply, TestIngress, TestUpstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_route::RouteKind;

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Streaming { resumable: true },
    RouteKind::Streaming { resumable: false },
];
const ENDS: [RawEnd; 2] = [RawEnd::Close, RawEnd::Reset];
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: signed-by-u1\r\n";
const EVENT: &str = "id: 1\ndata: t1\n\n";

/// Heads that end before their blank line, and what may precede a head.
fn cut_heads() -> Vec<(&'static str, String)> {
    vec![
        ("nothing", String::new()),
        ("in the status line", "HTTP/1.1 20".to_owned()),
        ("in a header's name", format!("{HEAD}x-mo")),
        ("after a header's line", HEAD.to_owned()),
        ("in the line break of a header", format!("{HEAD}x-more: 1\r")),
        ("in a length that would be a shorter one", format!("{HEAD}content-length: 1")),
        ("after a length", format!("{HEAD}content-length: 16\r\n")),
        ("before the last byte of the head", format!("{HEAD}content-length: 16\r\n\r")),
        ("in an interim answer", "HTTP/1.1 103 Early Hints\r\nlink: a".to_owned()),
        ("after 100", "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        ("after 103", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".to_owned()),
        ("in the head after 103", format!("HTTP/1.1 103 Early Hints\r\n\r\n{HEAD}")),
    ]
}

/// Bodies that end before their marked end.
fn cut_bodies() -> Vec<(&'static str, String)> {
    let chunked = |body: &str| format!("{HEAD}transfer-encoding: chunked\r\n\r\n{body}");
    let chunk = format!("{:x}\r\n{EVENT}\r\n", EVENT.len());
    vec![
        ("before a body with a length", format!("{HEAD}content-length: 16\r\n\r\n")),
        ("in a body with a length", format!("{HEAD}content-length: 17\r\n\r\n{EVENT}")),
        ("before the first chunk", chunked("")),
        ("in a chunk's size", chunked("1")),
        ("after a chunk's size", chunked("10\r\n")),
        ("in a chunk's extension", chunked("10;more")),
        ("in a chunk", chunked("10\r\nid: 1\nda")),
        ("after a chunk's data", chunked(&format!("10\r\n{EVENT}"))),
        ("after a chunk", chunked(&chunk)),
        ("in the last chunk's size", chunked(&format!("{chunk}0"))),
        ("after the last chunk's size", chunked(&format!("{chunk}0\r\n"))),
        ("in a trailer", chunked(&format!("{chunk}0\r\nx-more: 1"))),
        ("after a trailer", chunked(&format!("{chunk}0\r\nx-more: 1\r\n"))),
        ("before the last byte", chunked(&format!("{chunk}0\r\n\r"))),
    ]
}

/// Heads whose body can't be told apart from other bytes.
fn unclear_framings() -> Vec<(&'static str, String)> {
    vec![
        ("two lengths", format!("{HEAD}content-length: 8\r\ncontent-length: 16\r\n\r\n{EVENT}")),
        ("a list of lengths", format!("{HEAD}content-length: 8, 16\r\n\r\n{EVENT}")),
        ("a length that is no number", format!("{HEAD}content-length: +16\r\n\r\n{EVENT}")),
        ("another coding", format!("{HEAD}transfer-encoding: gzip\r\n\r\n{EVENT}")),
        (
            "another coding and a length",
            format!("{HEAD}transfer-encoding: gzip\r\ncontent-length: 8\r\n\r\n{EVENT}"),
        ),
        (
            "a coding over chunks",
            format!("{HEAD}transfer-encoding: chunked, gzip\r\n\r\n10\r\n{EVENT}\r\n0\r\n\r\n"),
        ),
        (
            "a coding under chunks",
            format!("{HEAD}transfer-encoding: gzip, chunked\r\n\r\n10\r\n{EVENT}\r\n0\r\n\r\n"),
        ),
        (
            "an encoding that nobody asked for",
            format!("{HEAD}content-encoding: gzip\r\ncontent-length: 16\r\n\r\n{EVENT}"),
        ),
    ]
}

/// Sends a request on a route of `kind` to upstreams that all stop after `bytes`; returns what the
/// caller got if that is a whole success.
async fn whole_success(kind: RouteKind, bytes: &str, end: RawEnd) -> Option<String> {
    let answers = || vec![bytes.to_owned(); 4];
    let first = TestUpstream::bind_raw_ending("u1", answers(), end).await;
    let second = TestUpstream::bind_raw_ending("u2", answers(), end).await;
    let ingress = TestIngress::bind(kind, &[&first, &second]).await;
    let answer = ingress.try_post("/a/", &[]).await?;
    let is_success = (200..300).contains(&answer.status);
    (is_success && answer.is_whole).then(|| format!("{} {:?}", answer.status, answer.body))
}

/// Asserts that none of `cuts` is a whole success for any kind of route and end of connection.
async fn expect_no_success(cuts: Vec<(&'static str, String)>) {
    let mut wrong = Vec::new();
    for (place, bytes) in cuts {
        for (kind, end) in KINDS.into_iter().flat_map(|kind| ENDS.map(|end| (kind, end))) {
            if let Some(got) = whole_success(kind, &bytes, end).await {
                wrong.push(format!("{place}, {kind:?}, {end:?}: {got}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn head_cut_anywhere_is_no_success() {
    expect_no_success(cut_heads()).await;
}

#[tokio::test]
async fn body_cut_before_its_marked_end_is_no_success() {
    expect_no_success(cut_bodies()).await;
}

#[tokio::test]
async fn framing_that_is_unclear_is_no_success() {
    expect_no_success(unclear_framings()).await;
}

#[tokio::test]
async fn empty_success_ended_by_its_connection_is_no_success() {
    let cut = |status: &str| format!("{HEAD}\r\n").replace("200 OK", status);
    expect_no_success(vec![
        ("200", cut("200 OK")),
        ("201", cut("201 Created")),
        ("HTTP/1.0", cut("200 OK").replace("HTTP/1.1", "HTTP/1.0")),
    ])
    .await;
}

#[tokio::test]
async fn empty_success_ended_by_its_connection_is_repeated_elsewhere() {
    let first = TestUpstream::bind_raw("u1", vec![format!("{HEAD}\r\n")]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, "whole")]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    assert_eq!(answer.headers("x-signature"), ["signed-by-u2"]);
}

#[tokio::test]
async fn success_reset_after_bytes_without_a_marked_end_is_no_success() {
    for kind in KINDS {
        let got = whole_success(kind, &format!("{HEAD}\r\n{EVENT}"), RawEnd::Reset).await;
        assert_eq!(got, None, "{kind:?}");
    }
}

#[tokio::test]
async fn success_closed_after_bytes_without_a_marked_end_is_whole() {
    for kind in KINDS {
        let got = whole_success(kind, &format!("{HEAD}\r\n{EVENT}"), RawEnd::Close).await;
        assert_eq!(got, Some(format!("200 {EVENT:?}")), "{kind:?}");
    }
}

/// Answers whose status or head says that they have no body, or a failure's, are forwarded.
#[tokio::test]
async fn answer_that_is_whole_without_a_body_is_forwarded() {
    let answer = |status: &str, more: &str| format!("{HEAD}{more}\r\n").replace("200 OK", status);
    let cases = [
        (204, answer("204 No Content", "")),
        (304, answer("304 Not Modified", "")),
        (304, answer("304 Not Modified", "content-length: 16\r\n")),
        (200, answer("200 OK", "content-length: 0\r\n")),
        (200, format!("{HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n")),
        (404, answer("404 Not Found", "")),
        (500, answer("500 Internal Server Error", "")),
    ];
    for kind in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
        for (status, bytes) in &cases {
            let upstream = TestUpstream::bind_raw("u1", vec![bytes.clone(); 4]).await;
            let ingress = TestIngress::bind(kind, &[&upstream]).await;
            let answer = ingress.post("/a/", &[]).await;
            let got = (answer.status, answer.body.as_str(), answer.is_whole);
            assert_eq!(got, (*status, "", true), "{kind:?} {bytes:?}");
            assert_eq!(answer.headers("x-signature"), ["signed-by-u1"]);
        }
    }
}

/// Sends a request with `method` and reads the connection to its end.
async fn exchange(at: SocketAddr, method: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let request = format!(
        "{method} /a/ HTTP/1.1\r\nhost: test\r\nx-id: id-1\r\nconnection: close\r\n\
         content-length: 5\r\n\r\nasked"
    );
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an orderly end");
    answer
}

#[tokio::test]
async fn answer_to_head_has_no_body_and_is_forwarded() {
    let cases = |kind| ["", "content-length: 16\r\n"].map(|more| (kind, more));
    for (kind, more) in KINDS.into_iter().flat_map(cases) {
        let answer = format!("{HEAD}{more}\r\n");
        let upstream = TestUpstream::bind_raw("u1", vec![answer; 4]).await;
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = exchange(ingress.address(), "HEAD").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{kind:?} {more:?}: {answer}");
        assert!(answer.ends_with("\r\n\r\n"), "{kind:?} {more:?}: {answer}");
    }
}

/// One length that is stated twice is that length.
#[tokio::test]
async fn length_stated_twice_is_forwarded_once() {
    for kind in KINDS {
        let lengths = "content-length: 16\r\ncontent-length: 16\r\n";
        let answer = format!("{HEAD}{lengths}\r\n{EVENT}");
        let upstream = TestUpstream::bind_raw("u1", vec![answer; 4]).await;
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = ingress.post("/a/", &[]).await;
        let got = (answer.status, answer.body.as_str(), answer.is_whole);
        assert_eq!(got, (200, EVENT, true), "{kind:?}");
        assert!(answer.headers("content-length").len() < 2, "{kind:?}");
    }
}

/// Chunks count, and the length beside them isn't passed on.
#[tokio::test]
async fn length_beside_chunks_doesnt_shorten_the_body() {
    for (kind, length) in KINDS.into_iter().flat_map(|kind| [5, 99].map(|length| (kind, length))) {
        let codings = format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n");
        let answer = format!("{HEAD}{codings}\r\n10\r\n{EVENT}\r\n0\r\n\r\n");
        let upstream = TestUpstream::bind_raw("u1", vec![answer; 4]).await;
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = ingress.post("/a/", &[]).await;
        let got = (answer.status, answer.body.as_str(), answer.is_whole);
        assert_eq!(got, (200, EVENT, true), "{kind:?} {length}");
    }
}

/// Nothing asks for another protocol, so that a switch to one is no answer.
#[tokio::test]
async fn switch_of_protocols_is_no_answer() {
    for kind in KINDS {
        let answer = format!("{HEAD}upgrade: other\r\nconnection: upgrade\r\n\r\n{EVENT}");
        let answer = answer.replace("200 OK", "101 Switching Protocols");
        let upstream = TestUpstream::bind_raw("u1", vec![answer; 4]).await;
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = exchange(ingress.address(), "POST").await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{kind:?}: {answer}");
    }
}
