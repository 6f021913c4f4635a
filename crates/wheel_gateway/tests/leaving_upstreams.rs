//! Upstreams that announce in an answer that they leave, while the fleet's view still shows them as
//! ready. None of their answers may be overlooked: no later request is sent there.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const EVENT: &str = "id: 1\ndata: t1\n\n";

/// Sends two requests; only the first one may reach the upstream that announces its end.
async fn expect_avoided(kind: RouteKind, reply: Reply) {
    let context = format!("{kind:?} {reply:?}");
    let leaving = TestUpstream::bind("u1", vec![reply.leaving()]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, EVENT); 2]).await;
    let ingress = TestIngress::bind(kind, &[&leaving, &other]).await;
    ingress.prefer("u1");
    ingress.post("/a/", &[]).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 200, "{context}");
    assert_eq!(leaving.seen().len(), 1, "{context}");
    let reported = ingress.state.prepare_sync("me".into()).leaving;
    assert_eq!(reported.len(), 1, "{context}");
}

#[tokio::test]
async fn leaving_announced_in_any_answer_is_kept() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent, STREAM] {
        for reply in [
            Reply::ran(200, EVENT),
            Reply::ran(500, "why"),
            Reply::unsigned(EVENT),
            Reply::not_executed(503),
            Reply::not_executed(421),
            Reply::resting("0.01"),
            Reply::cut(EVENT),
        ] {
            expect_avoided(kind, reply).await;
        }
    }
}

#[tokio::test]
async fn leaving_announced_by_the_last_upstream_is_kept() {
    let leaving = TestUpstream::bind("u1", vec![Reply::ran(200, EVENT).leaving()]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&leaving]).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    assert_eq!(ingress.post("/a/", &[]).await.status, 503);
    assert_eq!(leaving.seen().len(), 1);
}
