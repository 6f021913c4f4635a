//! An upstream whose answers have sound heads and bodies that are no answers. Requests must go
//! elsewhere, although each head by itself looks like a success.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::RouteKind;

/// Requests while the faulty upstream is the least busy one.
const REQUESTS: usize = 16;
/// Requests that may reach it until it is avoided.
const MAX_REACHED: usize = 6;

/// Sends [`REQUESTS`] to four upstreams, the first of which sends `answer`; returns how many
/// reached it.
async fn reached(kind: RouteKind, answer: &str) -> usize {
    let faulty = TestUpstream::bind_raw("u1", vec![answer.to_owned(); REQUESTS]).await;
    let replies = || (0..REQUESTS).map(|_| Reply::ran(200, "id: 1\ndata: a\n\n")).collect();
    let second = TestUpstream::bind("u2", replies()).await;
    let third = TestUpstream::bind("u3", replies()).await;
    let fourth = TestUpstream::bind("u4", replies()).await;
    let ingress = TestIngress::bind(kind, &[&faulty, &second, &third, &fourth]).await;
    for sound in ["u2", "u3", "u4"] {
        ingress.prefer(sound);
        assert_eq!(ingress.post("/a/", &[]).await.status, 200, "{sound} serves");
    }
    ingress.prefer("u1");
    for _ in 0..REQUESTS {
        let _ = ingress.try_post("/a/", &[]).await;
    }
    faulty.seen().len()
}

#[tokio::test]
async fn length_beyond_the_limit_ejects_its_upstream() {
    let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: signed-by-u1\r\n";
    let answer = format!("{head}content-length: 99999999999\r\n\r\nxxxx");
    let reached = reached(RouteKind::NonIdempotent, &answer).await;
    assert!((1..=MAX_REACHED).contains(&reached), "{reached} requests reached it");
}

#[tokio::test]
async fn event_without_end_ejects_its_upstream() {
    let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signature: signed-by-u1\r\n";
    let answer = format!("{head}\r\ndata: {}", "x".repeat(2 << 20));
    let reached = reached(RouteKind::Streaming { resumable: false }, &answer).await;
    assert!((1..=MAX_REACHED).contains(&reached), "{reached} requests reached it");
}
