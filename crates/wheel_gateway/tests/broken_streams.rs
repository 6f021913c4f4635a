//! Streams whose upstream breaks off although its connection or its last chunk ends in an orderly
//! way. A partial stream must not reach its caller as a complete one.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const FINAL_STREAM: RouteKind = RouteKind::Streaming { resumable: false };
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: signed-by-u1\r\n";

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}

/// An answer that ends with its connection.
fn closed(body: &str) -> String {
    format!("{HEAD}\r\n{body}")
}

/// An answer that ends with a last chunk.
fn chunked(body: &str) -> String {
    format!("{HEAD}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// An answer with a length.
fn sized(body: &str) -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len())
}

fn inside_an_event() -> String {
    format!("{}id: 4\nda", events(1..=3))
}

/// A resumable stream that begins with `first` must go on at another upstream.
async fn expect_resumed(first: String) {
    let first = TestUpstream::bind_raw("u1", vec![first]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.body, events(1..=6));
    assert!(answer.is_whole);
    assert_eq!(second.seen()[0].header("last-event-id"), Some("3"));
}

/// A stream that can't be resumed must be cut after `first`.
async fn expect_cut(first: String) {
    let first = TestUpstream::bind_raw("u1", vec![first]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
    let ingress = TestIngress::bind(FINAL_STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert!(!answer.is_whole, "a part must not look like the whole");
    assert!(answer.body.starts_with(&events(1..=3)), "{}", answer.body);
    assert!(second.seen().is_empty());
}

/// A stream must reach its caller whole, whether it may be resumed or not.
async fn expect_complete(answer: String, body: &str) {
    for kind in [STREAM, FINAL_STREAM] {
        let upstream = TestUpstream::bind_raw("u1", vec![answer.clone()]).await;
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = ingress.post("/a/", &[]).await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, body);
    }
}

#[tokio::test]
async fn stream_closed_inside_an_event_is_resumed() {
    expect_resumed(closed(&inside_an_event())).await;
}

#[tokio::test]
async fn stream_closed_inside_an_event_is_cut() {
    expect_cut(closed(&inside_an_event())).await;
}

#[tokio::test]
async fn stream_last_chunk_inside_an_event_is_resumed() {
    expect_resumed(chunked(&inside_an_event())).await;
}

#[tokio::test]
async fn stream_last_chunk_inside_an_event_is_cut() {
    expect_cut(chunked(&inside_an_event())).await;
}

#[tokio::test]
async fn stream_length_reached_inside_an_event_is_resumed() {
    expect_resumed(sized(&inside_an_event())).await;
}

#[tokio::test]
async fn stream_closed_before_its_first_event_is_sent_again() {
    let first = TestUpstream::bind_raw("u1", vec![closed("")]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(1..=3))]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.body, answer.is_whole), (events(1..=3), true));
}

#[tokio::test]
async fn stream_closed_before_its_first_event_is_a_whole_failure() {
    let first = TestUpstream::bind_raw("u1", vec![closed("")]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(1..=3))]).await;
    let ingress = TestIngress::bind(FINAL_STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.is_whole), (502, true), "it may have run");
    assert!(answer.header("x-signature").is_none(), "no upstream's answer");
    assert!(second.seen().is_empty(), "it may not run twice");
}

#[tokio::test]
async fn stream_broken_before_its_first_event_is_sent_again_as_it_came() {
    // Bytes of an event that was never complete haven't reached the caller.
    let first = TestUpstream::bind("u1", vec![Reply::cut("id: 8\nda")]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(8..=9))]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[("last-event-id", "7")]).await;
    assert_eq!((answer.body.as_str(), answer.is_whole), (events(8..=9).as_str(), true));
    assert_eq!(
        answer.headers("x-signature"),
        ["signed-by-u2"],
        "one head, of the one that answers"
    );
    assert_eq!(second.seen()[0].header("last-event-id"), Some("7"));
}

#[tokio::test]
async fn stream_broken_before_its_first_event_everywhere_is_a_whole_failure() {
    let first = TestUpstream::bind("u1", vec![Reply::cut("id: 1\nda")]).await;
    let second = TestUpstream::bind("u2", vec![Reply::cut("")]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.is_whole), (502, true));
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
}

#[tokio::test]
async fn stream_events_arent_held_beyond_their_arrival() {
    let pieces = [(300, "id: 1\ndata: t1\n\n"), (300, "id: 2\ndata: t2\n\n")];
    let upstream = TestUpstream::bind("u1", vec![Reply::paced(&pieces); 2]).await;
    for kind in [STREAM, FINAL_STREAM] {
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.body, answer.is_whole), (events(1..=2), true));
        let millis = answer.arrivals.iter().map(std::time::Duration::as_millis);
        let millis: Vec<u128> = millis.collect();
        let [_, first, second] = millis[..] else { panic!("{millis:?}") };
        assert!((300..550).contains(&first) && second >= 600, "{millis:?}");
    }
}

#[tokio::test]
async fn stream_closed_after_a_whole_event_is_complete() {
    expect_complete(closed(&events(1..=3)), &events(1..=3)).await;
}

#[tokio::test]
async fn stream_with_crlf_lines_is_complete() {
    let body = events(1..=3).replace('\n', "\r\n");
    expect_complete(closed(&body), &body).await;
    expect_complete(sized(&body), &body).await;
}

#[tokio::test]
async fn stream_ended_by_further_blank_lines_is_complete() {
    let body = format!("{}\n", events(1..=3));
    expect_complete(closed(&body), &body).await;
    expect_complete(sized(&body), &body).await;
}

#[tokio::test]
async fn failure_closed_on_a_stream_route_is_forwarded() {
    let failure = closed("no events here").replace("200 OK", "500 Oops");
    let upstream = TestUpstream::bind_raw("u1", vec![failure]).await;
    let ingress = TestIngress::bind(FINAL_STREAM, &[&upstream]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "no events here"));
    assert!(answer.is_whole);
}

/// The body of a failure may come without end; it must not be forwarded for as long as it comes.
#[tokio::test]
async fn failure_without_end_is_cut() {
    let body = "x".repeat(5 << 20);
    let head = "HTTP/1.1 500 Internal Server Error\r\nx-id: ID\r\nx-signature: s";
    let answer = format!("{head}\r\ncontent-length: 99999999\r\n\r\n{body}");
    let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
    let ingress = TestIngress::bind(RouteKind::Streaming { resumable: false }, &[&upstream]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.status, 500);
    assert!(!answer.is_whole);
    assert!(answer.body.len() <= 4 << 20, "{} bytes", answer.body.len());
}

/// Returns alone end no line, so that no event ends in them, and they aren't the blank end of a
/// stream either: they must not be kept for as long as they come.
#[tokio::test]
async fn stream_of_returns_without_end_is_cut() {
    for returns in [2 << 20, 8 << 20] {
        let answer = closed(&format!("{}{}", events(1..=3), "\r".repeat(returns)));
        let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
        let ingress = TestIngress::bind(FINAL_STREAM, &[&upstream]).await;
        let answer = ingress.post("/a/", &[]).await;
        assert!(!answer.is_whole, "{returns} returns are no end of a stream");
        assert_eq!(answer.body, events(1..=3));
    }
}
