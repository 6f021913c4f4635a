//! Streams whose bytes aren't events of theirs, and continuations that don't prove the end of a
//! stream. An upstream's form alone, a success and an orderly end, must not be taken for content.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const FINAL_STREAM: RouteKind = RouteKind::Streaming { resumable: false };
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: signed-by-u\r\n";
/// The whole head of an answer, where events are due.
const FALSE_HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\nx-id: id-1\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n";

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}

/// An answer that ends with its connection.
fn closed(body: &str) -> String {
    format!("{HEAD}\r\n{body}")
}

/// An answer that ends with a last chunk.
fn chunked(body: &str) -> String {
    let chunk =
        if body.is_empty() { String::new() } else { format!("{:x}\r\n{body}\r\n", body.len()) };
    format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
}

/// An answer with a length.
fn sized(body: &str) -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len())
}

/// Answers that don't continue a stream after its third event.
fn false_continuations() -> Vec<(&'static str, String)> {
    let typed = HEAD.to_owned() + "content-type: text/plain\r\n";
    let rest = events(4..=6);
    vec![
        ("no bytes, with a length", sized("")),
        ("no bytes, in chunks", chunked("")),
        ("no bytes, closed", closed("")),
        ("no content", format!("{}\r\n", HEAD.replace("200 OK", "204 No Content"))),
        ("text, with a length", sized("upstream failed\n\n")),
        ("text, in chunks", chunked("upstream failed\n\n")),
        ("a head, with a length", sized(FALSE_HEAD)),
        ("a head, closed", closed(FALSE_HEAD)),
        ("an error event", sized("event: error\ndata: failed\n\n")),
        ("an event without an id", chunked("data: t4\n\n")),
        ("comments", chunked(": failed\n\n: failed\n\n")),
        ("blank lines", sized("\n\n\r\n\n")),
        ("events that the caller has", chunked(&events(1..=3))),
        ("half an event", chunked("id: 4\nda")),
        ("a type of its own", format!("{typed}content-length: {}\r\n\r\n{rest}", rest.len())),
        ("a failure", sized("").replace("200 OK", "500 Internal Server Error")),
        ("half a head", "HTTP/1.1 200 OK\r\nx-id".to_owned()),
    ]
}

/// A false continuation must not reach the caller, and must not make a part look like the whole.
#[tokio::test]
async fn stream_continued_falsely_is_cut() {
    let mut failures = Vec::new();
    for (name, second) in false_continuations() {
        let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
        let second = TestUpstream::bind_raw("u2", vec![second]).await;
        let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
        ingress.prefer("u1");
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!(second.seen().len(), 1, "{name}");
        if (answer.body.as_str(), answer.is_whole) != (events(1..=3).as_str(), false) {
            failures.push((name, answer.body, answer.is_whole));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// With attempts left, a stream must go on at a sound upstream after a false continuation.
#[tokio::test]
async fn stream_continued_falsely_goes_on_elsewhere() {
    let mut failures = Vec::new();
    for (name, second) in false_continuations() {
        let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
        let second = TestUpstream::bind_raw("u2", vec![second]).await;
        let third = TestUpstream::bind("u3", vec![Reply::ran(200, &events(4..=6))]).await;
        let change = |route: &mut wheel_route::RouteSpec| route.max_attempts = 3;
        let ingress = TestIngress::with_route(STREAM, &[&first, &second], change).await;
        ingress.prefer("u1");
        ingress.add_upstream(&third, 4);
        let answer = ingress.post("/a/", &[]).await;
        let asked =
            third.seen().first().and_then(|seen| seen.header("last-event-id").map(str::to_owned));
        if (answer.body.as_str(), answer.is_whole) != (events(1..=6).as_str(), true)
            || asked.as_deref() != Some("3")
        {
            failures.push((name, answer.body, answer.is_whole, asked));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Bytes that aren't events of a stream, after two that are.
const FALSE_REMAINDERS: [(&str, &str); 8] = [
    ("a head", FALSE_HEAD),
    ("text", "upstream failed\n\n"),
    ("a word", "failed\n\n"),
    ("text in an event", "id: 3\nupstream failed\n\n"),
    ("text after a return", "id: 3\ndata: t3\rupstream failed\n\n"),
    ("an error event", "event: error\ndata: failed\n\n"),
    ("an event again", "id: 2\ndata: t2\n\n"),
    ("an earlier event", "id: 1\ndata: t1\n\n"),
];

/// Events reach the caller, what follows them doesn't, and the part doesn't look like the whole.
#[tokio::test]
async fn stream_with_false_bytes_after_its_events_is_cut() {
    let mut failures = Vec::new();
    for (name, rest) in FALSE_REMAINDERS {
        let body = events(1..=2) + rest;
        for (kind, answer) in [STREAM, FINAL_STREAM]
            .iter()
            .flat_map(|kind| [sized, chunked, closed].map(|frame| (*kind, frame(&body))))
        {
            let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
            let ingress = TestIngress::bind(kind, &[&upstream]).await;
            let answer = ingress.post("/a/", &[]).await;
            if (answer.body.as_str(), answer.is_whole) != (events(1..=2).as_str(), false) {
                failures.push((name, kind, answer.body, answer.is_whole));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Events in the same bytes as a false one mustn't be lost, nor repeated by the next upstream.
#[tokio::test]
async fn stream_with_false_bytes_after_its_events_goes_on_elsewhere() {
    let mut failures = Vec::new();
    for (name, rest) in FALSE_REMAINDERS {
        let first = TestUpstream::bind_raw("u1", vec![sized(&(events(1..=2) + rest))]).await;
        let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(3..=4))]).await;
        let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
        ingress.prefer("u1");
        let answer = ingress.post("/a/", &[]).await;
        if (answer.body.as_str(), answer.is_whole) != (events(1..=4).as_str(), true) {
            failures.push((name, answer.body, answer.is_whole));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A success whose body isn't made of events is no answer on a route whose answers are streams.
#[tokio::test]
async fn stream_of_no_events_is_no_answer() {
    for body in [FALSE_HEAD, "upstream failed\n\n", "<html>\n\n</html>\n\n"] {
        let upstream = TestUpstream::bind_raw("u1", vec![sized(body)]).await;
        let other = TestUpstream::bind("u2", vec![]).await;
        let ingress = TestIngress::bind(FINAL_STREAM, &[&upstream, &other]).await;
        ingress.prefer("u1");
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.status, answer.is_whole), (502, true), "{body:?}: it may have run");
        assert!(answer.header("x-signature").is_none(), "no upstream's answer");
        assert!(other.seen().is_empty(), "it may not run twice");

        let upstream = TestUpstream::bind_raw("u1", vec![sized(body)]).await;
        let other = TestUpstream::bind("u2", vec![Reply::ran(200, &events(1..=2))]).await;
        let ingress = TestIngress::bind(STREAM, &[&upstream, &other]).await;
        ingress.prefer("u1");
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, &*events(1..=2)), "{body:?}");
        assert_eq!(answer.headers("x-signature"), ["signed-by-u2"]);
    }
}

/// All that events may hold must pass, byte for byte.
#[tokio::test]
async fn stream_with_all_fields_of_events_is_complete() {
    let bodies = [
        ": queued\n\nretry: 500\n\nid: 1\nevent: token\ndata: a\ndata\ndata:b\n\nid:4\ndata: c\n\n: idle\n\n",
        "x-version: 7\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nx-version: 8\nid: 3\ndata: c\n\n",
        "id: 1\r\nx-version: 8\r\ndata: a\r\n\r\n\r\n\r\nid: 2\r\nevent: error\r\ndata: b\r\n\r\n",
        "data: a\n\nevent: error\ndata: b\n\n",
        "",
        ": nothing\n\n",
    ];
    for (kind, body) in
        [STREAM, FINAL_STREAM].iter().flat_map(|kind| bodies.map(|body| (*kind, body)))
    {
        for answer in [sized(body), chunked(body)] {
            let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
            let ingress = TestIngress::bind(kind, &[&upstream]).await;
            let answer = ingress.post("/a/", &[]).await;
            assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (200, body, true));
        }
    }
}

/// Events that the caller has, and comments before the first new one, don't hinder a continuation.
#[tokio::test]
async fn stream_continued_after_comments_and_repeats_is_complete() {
    let typed = "content-type: text/event-stream; charset=utf-8\r\ncontent-length";
    let second = sized(&format!(": queued\n\n{}", events(2..=6))).replace("content-length", typed);
    let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
    let second = TestUpstream::bind_raw("u2", vec![second]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    let whole = format!("{}: queued\n\n{}", events(1..=3), events(4..=6));
    assert_eq!((answer.body, answer.is_whole), (whole, true));
}

/// Nothing tells another upstream where a stream without ids goes on.
#[tokio::test]
async fn stream_without_ids_isnt_continued_elsewhere() {
    for part in ["data: a\n\n", "data: a\n\nid: 2\ndata: b\n\n"] {
        let first = TestUpstream::bind("u1", vec![Reply::cut(part)]).await;
        let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(1..=6))]).await;
        let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
        ingress.prefer("u1");
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.body.as_str(), answer.is_whole), (part, false));
        assert!(second.seen().is_empty());
    }
}

/// A caller that resumes has a part as well: what it has, and no more, isn't its whole stream.
#[tokio::test]
async fn stream_resumed_by_its_caller_isnt_ended_by_events_that_it_has() {
    let resuming = [("last-event-id", "3")];
    for (kind, status) in [(STREAM, 200), (FINAL_STREAM, 502)] {
        for repeated in [sized(&events(1..=3)), chunked("data: a\n\n"), sized("failed\n\n")] {
            if kind == FINAL_STREAM && !repeated.contains("failed") {
                continue;
            }
            let first = TestUpstream::bind_raw("u1", vec![repeated]).await;
            let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
            let ingress = TestIngress::bind(kind, &[&first, &second]).await;
            ingress.prefer("u1");
            let answer = ingress.post("/a/", &resuming).await;
            assert_eq!((answer.status, answer.is_whole), (status, true), "{}", answer.body);
            if kind == STREAM {
                assert_eq!(answer.body, events(4..=6));
            }
        }
    }
}

/// An upstream's own empty answer to a caller that resumes is its whole answer.
#[tokio::test]
async fn stream_resumed_by_its_caller_after_its_last_event_is_empty() {
    for kind in [STREAM, FINAL_STREAM] {
        let upstream = TestUpstream::bind_raw("u1", vec![sized("")]).await;
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let answer = ingress.post("/a/", &[("last-event-id", "3")]).await;
        assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (200, "", true));
    }
}

/// The rest of a stream that its caller resumed must be asked for after the newest event, and events that the
/// caller has mustn't come again.
#[tokio::test]
async fn stream_resumed_by_its_caller_goes_on_after_the_newest_event() {
    let first = TestUpstream::bind("u1", vec![Reply::cut(&events(2..=5))]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=7))]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[("last-event-id", "3")]).await;
    assert_eq!((answer.body, answer.is_whole), (events(4..=7), true));
    assert_eq!(first.seen()[0].header("last-event-id"), Some("3"));
    assert_eq!(second.seen()[0].header("last-event-id"), Some("5"));
}

/// A failure's body isn't a stream: it passes as it is, and a part of it doesn't look like the whole.
#[tokio::test]
async fn failure_on_a_stream_route_passes_as_it_is() {
    let body = format!("{}{FALSE_HEAD}failed\n\n", events(1..=2));
    let as_failure = |answer: String| answer.replace("200 OK", "500 Internal Server Error");
    for kind in [STREAM, FINAL_STREAM] {
        for frame in [sized, chunked, closed] {
            let answer = as_failure(frame(&body));
            let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
            let ingress = TestIngress::bind(kind, &[&upstream]).await;
            let answer = ingress.post("/a/", &[]).await;
            assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (500, &*body, true));
        }
        for frame in [sized, chunked] {
            let mut answer = as_failure(frame(&body));
            answer.truncate(answer.len() - 8);
            let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
            let ingress = TestIngress::bind(kind, &[&upstream]).await;
            let answer = ingress.post("/a/", &[]).await;
            assert_eq!((answer.status, answer.is_whole), (500, false));
            assert!(body.starts_with(&answer.body), "{}", answer.body);
        }
    }
}

/// The answer to a `HEAD` announces a body that never comes, and has no event to wait for.
#[tokio::test]
async fn head_of_a_stream_passes_without_a_body() {
    for (kind, resume) in [(STREAM, ""), (STREAM, "last-event-id: 3\r\n"), (FINAL_STREAM, "")] {
        let answer = format!("{HEAD}content-length: 32\r\ncontent-type: text/event-stream\r\n\r\n");
        let upstream = TestUpstream::bind_raw("u1", vec![answer]).await;
        let other = TestUpstream::bind("u2", vec![]).await;
        let ingress = TestIngress::bind(kind, &[&upstream, &other]).await;
        ingress.prefer("u1");
        let mut stream = TcpStream::connect(ingress.address()).await.expect("a connection");
        let request = format!(
            "HEAD /a/ HTTP/1.1\r\nhost: test\r\nx-id: id-1\r\n{resume}connection: close\r\n\
             content-length: 5\r\n\r\nasked"
        );
        stream.write_all(request.as_bytes()).await.expect("a sent request");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(answer.contains("content-length: 32\r\n"), "{answer}");
        assert!(answer.contains("x-signature: signed-by-u\r\n"), "{answer}");
        assert!(answer.ends_with("\r\n\r\n"), "{answer}");
        assert!(other.seen().is_empty());
    }
}
