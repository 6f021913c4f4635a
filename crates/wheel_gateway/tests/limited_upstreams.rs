//! Upstreams that name in an answer how many requests they take from all instances together. From
//! that answer on, a request of any kind reaches them only with a permit, by whichever way it is
//! sent.

#![allow(clippy::expect_used)]

mod support;

use std::time::{Duration, Instant};

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::{LimitGrant, RouteKind, SyncReply};

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const KINDS: [RouteKind; 4] = [
    RouteKind::NonIdempotent,
    RouteKind::Idempotent,
    STREAM,
    RouteKind::Streaming { resumable: false },
];
const EVENT: &str = "id: 1\ndata: t1\n\n";

/// Lets a control instance reply that knows a leader, with permits for the first upstream.
fn reply(ingress: &TestIngress, permits: u32) {
    let view = ingress.state.view();
    let engine = view.engines[0].id.clone();
    let grant = LimitGrant { engine, count: permits, life_ms: 1_000 };
    ingress.state.apply_reply(&SyncReply {
        version: 1,
        fleet: None,
        control: Vec::new(),
        limit_grants: vec![grant],
        proof_age_ms: Some(0),
    });
}

#[tokio::test]
async fn limit_named_in_any_answer_is_kept_by_each_kind() {
    for kind in KINDS {
        for first in [
            Reply::ran(200, EVENT),
            Reply::ran(500, "why"),
            Reply::unsigned(EVENT),
            Reply::not_executed(503),
            Reply::cut(EVENT),
        ] {
            let context = format!("{kind:?} {first:?}");
            let limited = TestUpstream::bind("u1", vec![first.limited("1")]).await;
            let other = TestUpstream::bind("u2", vec![Reply::ran(200, EVENT); 5]).await;
            let ingress = TestIngress::bind(kind, &[&limited, &other]).await;
            reply(&ingress, 0);
            ingress.prefer("u1");
            ingress.post("/a/", &[]).await;
            for _ in 0..4 {
                assert_eq!(ingress.post("/a/", &[]).await.status, 200, "{context}");
            }
            assert_eq!(limited.seen().len(), 1, "{context}");
            let request = ingress.state.prepare_sync("me".into());
            assert_eq!(request.limits.len(), 1, "{context}");
            assert_eq!(request.limit_demand.len(), 1, "{context}");
        }
    }
}

#[tokio::test]
async fn limit_is_kept_by_a_stream_that_resumes() {
    let named = Reply::ran(200, EVENT).limited("0");
    let limited = TestUpstream::bind("u1", vec![named]).await;
    let first = TestUpstream::bind("u2", vec![Reply::cut(EVENT)]).await;
    let ingress = TestIngress::bind(STREAM, &[&limited, &first]).await;
    reply(&ingress, 0);
    ingress.set_models("u1", &["m"]);
    assert_eq!(ingress.post("/a/", &[("x-model", "m")]).await.status, 200);
    ingress.set_models("u2", &["m"]);
    let broken = ingress.post("/a/", &[("x-model", "m")]).await;
    assert!(!broken.is_whole, "there is no upstream to resume at");
    assert_eq!((limited.seen().len(), first.seen().len()), (1, 1));
}

#[tokio::test]
async fn limit_of_the_only_upstream_is_told_to_callers_at_once() {
    // The route allows two seconds; the next permit would come up after five.
    let named = Reply::ran(200, EVENT).limited("0");
    let limited = TestUpstream::bind("u1", vec![named]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&limited]).await;
    reply(&ingress, 0);
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    ingress.state.apply_reply(&SyncReply {
        version: 1,
        fleet: Some(wheel_route::FleetView {
            limits: ingress
                .state
                .prepare_sync("me".into())
                .limits
                .into_iter()
                .map(|report| wheel_route::UpstreamLimit { report, waiting: vec![(0, 1)] })
                .collect(),
            ..(*ingress.state.view()).clone()
        }),
        control: Vec::new(),
        limit_grants: Vec::new(),
        proof_age_ms: Some(0),
    });
    let began = Instant::now();
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(began.elapsed() < Duration::from_millis(400));
    let after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(after.is_some_and(|after| after > 0.4), "{after:?}");
    assert_eq!(limited.seen().len(), 1);
}

#[tokio::test]
async fn permit_lets_one_request_be_sent() {
    let replies = vec![Reply::ran(200, EVENT).limited("5"), Reply::ran(200, EVENT).limited("5")];
    let limited = TestUpstream::bind("u1", replies).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, EVENT); 3]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&limited, &other]).await;
    reply(&ingress, 0);
    ingress.prefer("u1");
    ingress.post("/a/", &[]).await;
    reply(&ingress, 1);
    for _ in 0..3 {
        assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    }
    assert_eq!((limited.seen().len(), other.seen().len()), (2, 2));
}

#[tokio::test]
async fn limit_of_an_earlier_start_is_forgotten() {
    let replies = vec![Reply::ran(200, EVENT).limited("0"), Reply::ran(200, EVENT)];
    let limited = TestUpstream::bind("u1", replies).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&limited]).await;
    reply(&ingress, 0);
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    ingress.restart_upstream("u1");
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    assert_eq!(limited.seen().len(), 2);
}
