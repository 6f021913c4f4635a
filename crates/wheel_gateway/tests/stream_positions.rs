//! Events whose id alone says where a stream is. A new upstream must go on where the events end that
//! the caller has.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::{RouteKind, RouteSpec};

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: signed-by-u\r\n";
/// Bytes with the id of an event that nobody has sent.
const IDS_WITHOUT_DATA: [(&str, &str); 4] = [
    ("an id", "id: 5\n\n"),
    ("an id after a comment", ": queued\nid: 5\n\n"),
    ("an id and text", "id: 5\n\nupstream failed\n\n"),
    ("an id and a version", "x-version: 8\nid: 5\n\n"),
];

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}

fn sized(body: &str) -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len())
}

/// A sound upstream, which sends what follows `Last-Event-Id`, up to the id 7.
async fn sound_upstream(name: &'static str) -> TestUpstream {
    TestUpstream::bind(name, vec![Reply::Continued { events: 9, total: 7 }]).await
}

fn last_event_id(upstream: &TestUpstream) -> Option<String> {
    upstream.seen().first()?.header("last-event-id").map(str::to_owned)
}

/// Events that a refused continuation only named must not be missing from a stream that ends whole.
#[tokio::test]
async fn stream_resumed_after_an_id_without_data_misses_no_event() {
    let mut failures = Vec::new();
    for (name, part) in IDS_WITHOUT_DATA {
        let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
        let second = TestUpstream::bind_raw("u2", vec![sized(part)]).await;
        let third = sound_upstream("u3").await;
        let change = |route: &mut RouteSpec| route.max_attempts = 3;
        let ingress = TestIngress::with_route(STREAM, &[&first, &second], change).await;
        ingress.prefer("u1");
        ingress.add_upstream(&third, 4);
        let answer = ingress.post("/a/", &[]).await;
        if answer.is_whole && answer.body != events(1..=7) {
            failures.push((name, answer.body, last_event_id(&third)));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The same after an upstream whose stream breaks off behind such an id.
#[tokio::test]
async fn stream_broken_off_after_an_id_without_data_misses_no_event() {
    let mut failures = Vec::new();
    for (name, part) in IDS_WITHOUT_DATA {
        let first = TestUpstream::bind("u1", vec![Reply::cut(&(events(1..=3) + part))]).await;
        let second = sound_upstream("u2").await;
        let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
        ingress.prefer("u1");
        let answer = ingress.post("/a/", &[]).await;
        let has_all = (4..=7).all(|id| answer.body.contains(&format!("data: t{id}\n")));
        if answer.is_whole && !has_all {
            failures.push((name, answer.body, last_event_id(&second)));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
