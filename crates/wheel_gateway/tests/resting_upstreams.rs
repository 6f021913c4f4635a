//! Upstreams that refuse a request and ask not to be called for a while. Until that time is over,
//! no further request of this instance may reach them, by whichever way it is sent.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use support::{Reply, TestIngress, TestUpstream};
use tokio::time::{Instant, sleep};
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const KINDS: [RouteKind; 4] = [
    RouteKind::NonIdempotent,
    RouteKind::Idempotent,
    STREAM,
    RouteKind::Streaming { resumable: false },
];
const EVENT: &str = "id: 1\ndata: t1\n\n";

fn served(count: usize) -> Vec<Reply> {
    vec![Reply::ran(200, EVENT); count]
}

#[tokio::test]
async fn rest_is_kept_by_later_requests_of_each_kind() {
    for kind in KINDS {
        let resting = TestUpstream::bind("u1", vec![Reply::resting("30")]).await;
        let other = TestUpstream::bind("u2", served(6)).await;
        let ingress = TestIngress::bind(kind, &[&resting, &other]).await;
        // The upstream that refuses is always idle, so that it looks like the best choice.
        ingress.prefer("u1");
        for _ in 0..6 {
            assert_eq!(ingress.post("/a/", &[]).await.status, 200);
        }
        assert_eq!((resting.seen().len(), other.seen().len()), (1, 6), "{kind:?}");
    }
}

#[tokio::test]
async fn rest_in_a_failure_is_kept() {
    // The upstream doesn't say whether the request ran; its answer is forwarded.
    let busy = Reply::Busy { status: 503, retry_after: "30", refused: false };
    let resting = TestUpstream::bind("u1", vec![busy]).await;
    let other = TestUpstream::bind("u2", served(1)).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&resting, &other]).await;
    ingress.prefer("u1");
    assert_eq!(ingress.post("/a/", &[]).await.status, 503);
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    assert_eq!(resting.seen().len(), 1);
}

#[tokio::test]
async fn rest_is_kept_by_a_stream_that_resumes() {
    let first = TestUpstream::bind("u1", vec![Reply::cut(EVENT)]).await;
    let resting = TestUpstream::bind("u2", vec![Reply::resting("30")]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &resting]).await;
    ingress.set_models("u2", &["m"]);
    assert_eq!(ingress.post("/a/", &[("x-model", "m")]).await.status, 503);
    ingress.set_models("u1", &["m"]);
    let broken = ingress.post("/a/", &[("x-model", "m")]).await;
    assert!(!broken.is_whole, "there is no upstream to resume at");
    assert_eq!((first.seen().len(), resting.seen().len()), (1, 1));
}

#[tokio::test]
async fn rest_over_is_forgotten() {
    let resting = TestUpstream::bind("u1", [vec![Reply::resting("0.3")], served(1)].concat()).await;
    let other = TestUpstream::bind("u2", served(1)).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&resting, &other]).await;
    ingress.prefer("u1");
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    sleep(Duration::from_millis(350)).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    assert_eq!((resting.seen().len(), other.seen().len()), (2, 1));
}

#[tokio::test]
async fn rest_of_an_earlier_start_is_forgotten() {
    let resting = TestUpstream::bind("u1", [vec![Reply::resting("30")], served(1)].concat()).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&resting]).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 503);
    ingress.restart_upstream("u1");
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
}

#[tokio::test]
async fn rest_longer_than_the_request_is_refused_at_once() {
    // The route allows two seconds; waiting until shortly before its end would help nobody.
    for headers in [&[][..], &[("x-model", "m")][..]] {
        let resting = TestUpstream::bind("u1", vec![Reply::resting("30")]).await;
        let ingress = TestIngress::bind(STREAM, &[&resting]).await;
        ingress.set_models("u1", &["m"]);
        ingress.post("/a/", headers).await;
        let began = Instant::now();
        let answer = ingress.post("/a/", headers).await;
        assert_eq!(answer.status, 503);
        assert!(began.elapsed() < Duration::from_millis(400));
        let after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        // Callers honour at most a third of their time.
        assert!(after.is_some_and(|after| (0.4..=2.0 / 3.0).contains(&after)), "{after:?}");
        assert_eq!(resting.seen().len(), 1);
    }
}

#[tokio::test]
async fn rest_is_told_to_callers_without_retry_budget() {
    let resting = TestUpstream::bind("u1", vec![Reply::resting("0.6")]).await;
    let ingress = TestIngress::without_budget(RouteKind::NonIdempotent, &[&resting]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.status, 503);
    let after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(after.is_some_and(|after| after > 0.5), "{after:?}");
}

#[tokio::test]
async fn rest_shorter_than_the_request_is_waited_for() {
    for headers in [&[][..], &[("x-model", "m")][..]] {
        let replies = [vec![Reply::resting("0.5")], served(2)].concat();
        let resting = TestUpstream::bind("u1", replies).await;
        let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&resting]).await;
        ingress.set_models("u1", &["m"]);
        let began = Instant::now();
        // The first request is refused and sent again after the rest, the second one only then.
        let second = async {
            sleep(Duration::from_millis(100)).await;
            ingress.post("/a/", headers).await
        };
        let (first, second) = tokio::join!(ingress.post("/a/", headers), second);
        assert_eq!((first.status, second.status), (200, 200));
        assert!(began.elapsed() >= Duration::from_millis(500));
        assert_eq!(resting.seen().len(), 3);
    }
}

#[tokio::test]
async fn rest_that_is_shortened_later_is_kept() {
    // Both requests are on their way before the first answer; the second answer asks for less.
    let replies = vec![Reply::resting("30"), Reply::resting("0.1")];
    let resting = TestUpstream::bind("u1", replies).await;
    let other = TestUpstream::bind("u2", served(3)).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&resting, &other]).await;
    ingress.prefer("u1");
    tokio::join!(ingress.post("/a/", &[]), ingress.post("/a/", &[]));
    let before = resting.seen().len();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    assert_eq!(resting.seen().len(), before);
}
