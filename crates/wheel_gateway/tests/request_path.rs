//! Answers to callers through the request proxy, with fake upstreams on loopback.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use support::{Reply, TestIngress, TestUpstream};
use tokio::time::Instant;
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const FINAL_STREAM: RouteKind = RouteKind::Streaming { resumable: false };

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}

#[tokio::test]
async fn answer_forwards_the_upstreams_response() {
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, "body")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&upstream]).await;
    let answer = ingress.post("/a/x?y=1", &[("x-other", "kept")]).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "body"));
    assert_eq!(answer.header("x-signature"), Some("signed-by-u1"));
    let seen = upstream.seen();
    assert_eq!(seen[0].path, "/a/x?y=1");
    assert_eq!(seen[0].header("x-other"), Some("kept"));
    assert_eq!(seen[0].header("x-target"), Some("u1"));
    let left: u64 = seen[0].header("x-left").and_then(|left| left.parse().ok()).expect("time left");
    assert!(left <= 2_000, "{left}");
}

#[tokio::test]
async fn answer_unrouted_and_unready() {
    let upstream = TestUpstream::bind("u1", vec![]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&upstream]).await;
    assert_eq!(ingress.post("/other/", &[]).await.status, 404);
    let empty = TestIngress::without_config().await;
    let answer = empty.post("/a/", &[]).await;
    assert_eq!(answer.status, 503, "without a configuration no route can be called unknown");
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn answer_not_executed_goes_elsewhere() {
    // Even a non-idempotent request is retried if the upstream states that it didn't run.
    let full = TestUpstream::bind("u1", vec![Reply::not_executed(503)]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&full, &other]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
    assert_eq!((full.seen().len(), other.seen().len()), (1, 1));
}

#[tokio::test]
async fn answer_unsent_goes_elsewhere_without_budget() {
    // A send that never left is no retry, so that it needs no retry budget.
    let closed = TestUpstream::closed("u1");
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::without_budget(RouteKind::NonIdempotent, &[&closed, &other]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
}

#[tokio::test]
async fn answer_not_executed_without_budget_is_refused() {
    let full = TestUpstream::bind("u1", vec![Reply::not_executed(503)]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::without_budget(RouteKind::NonIdempotent, &[&full, &other]).await;
    ingress.prefer("u1");
    assert_eq!(ingress.post("/a/", &[]).await.status, 503);
    assert_eq!((full.seen().len(), other.seen().len()), (1, 0));
}

#[tokio::test]
async fn answer_lost_isnt_repeated() {
    // The upstream has read the request and its answer is lost: the request may have run.
    let lossy = TestUpstream::bind("u1", vec![Reply::Reset]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&lossy, &other]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.status, 502);
    assert!(answer.header("retry-after").is_none());
    assert_eq!((lossy.seen().len(), other.seen().len()), (1, 0));
}

#[tokio::test]
async fn answer_lost_is_repeated_if_idempotent() {
    let lossy = TestUpstream::bind("u1", vec![Reply::Reset]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&lossy, &other]).await;
    ingress.prefer("u1");
    assert_eq!(ingress.post("/a/", &[]).await.body, "ok");
}

#[tokio::test]
async fn answer_stays_within_attempts() {
    let first = TestUpstream::bind("u1", vec![Reply::Reset; 4]).await;
    let second = TestUpstream::bind("u2", vec![Reply::Reset; 4]).await;
    let third = TestUpstream::bind("u3", vec![Reply::Reset; 4]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&first, &second, &third]).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 502);
    let sends = first.seen().len() + second.seen().len() + third.seen().len();
    assert_eq!(sends, 2, "the route allows two");
}

#[tokio::test]
async fn answer_of_another_request_goes_to_nobody() {
    let upstream = TestUpstream::bind("u1", vec![Reply::with_other_id("secret")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&upstream]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("secret"));
}

#[tokio::test]
async fn answer_unsigned_is_no_success() {
    let upstream = TestUpstream::bind("u1", vec![Reply::unsigned("forged")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&upstream]).await;
    assert_eq!(ingress.post("/a/", &[]).await.status, 502);
}

#[tokio::test]
async fn answer_failure_keeps_its_signature() {
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(500, "why")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&upstream]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "why"));
    assert!(answer.header("x-signature").is_some());
}

#[tokio::test]
async fn stream_goes_on_elsewhere() {
    // The first engine fails in the middle of an event. The second one resumes after the last
    // complete event, and repeats one that the caller already has.
    let cut = format!("{}id: 4\nda", events(1..=3));
    let first = TestUpstream::bind("u1", vec![Reply::cut(&cut)]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(3..=6))]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=6));
    assert_eq!(answer.header("x-signature"), Some("signed-by-u1"));
    assert_eq!(second.seen()[0].header("last-event-id"), Some("3"));
}

#[tokio::test]
async fn stream_that_cant_go_on_is_cut() {
    let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
    let ingress = TestIngress::bind(FINAL_STREAM, &[&first, &second]).await;
    ingress.prefer("u1");
    let answer = ingress.post("/a/", &[]).await;
    assert!(!answer.is_whole, "a part must not look like the whole");
    assert_eq!(answer.body, events(1..=3));
    assert!(second.seen().is_empty());
}

#[tokio::test]
async fn cold_model_is_waited_for() {
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &events(1..=2))]).await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &[]);
    let waiting = ingress.post("/a/", &[("x-model", "m")]);
    let loading = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let request = ingress.state.prepare_sync("me".into());
        assert_eq!(request.demand[0].waiting, 1, "the sync reports the waiting request");
        ingress.set_models("u1", &["m"]);
    };
    let (answer, ()) = tokio::join!(waiting, loading);
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn cold_model_missing_from_a_view_between_two_orders_is_waited_for() {
    // Memory has been freed for the model, and the order to load it is on its way.
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &events(1..=2))]).await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &[]);
    ingress.set_loading("m", Duration::from_millis(800));
    let waiting = ingress.post("/a/", &[("x-model", "m")]);
    let loading = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        ingress.set_loads(&[]);
        tokio::time::sleep(Duration::from_millis(200)).await;
        ingress.set_models("u1", &["m"]);
    };
    let (answer, ()) = tokio::join!(waiting, loading);
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[tokio::test]
async fn cold_model_is_waited_for_until_its_first_load_ends() {
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &events(1..=2))]).await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &[]);
    ingress.set_loads(&[("m", Duration::from_secs(30)), ("m", Duration::from_millis(300))]);
    let waiting = ingress.post("/a/", &[("x-model", "m")]);
    let loading = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        ingress.set_models("u1", &["m"]);
    };
    let (answer, ()) = tokio::join!(waiting, loading);
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[tokio::test]
async fn cold_model_too_late_is_refused_at_once() {
    let upstream = TestUpstream::bind("u1", vec![]).await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &[]);
    ingress.set_loading("m", Duration::from_secs(30));
    let began = std::time::Instant::now();
    let answer = ingress.post("/a/", &[("x-model", "m")]).await;
    assert_eq!(answer.status, 503);
    assert!(began.elapsed() < Duration::from_millis(400));
    let after: f64 =
        answer.header("retry-after").and_then(|text| text.parse().ok()).expect("a time");
    assert!(after <= 2.0 / 3.0, "callers honour at most a third of their time: {after}");
    assert!(upstream.seen().is_empty());
}

#[tokio::test]
async fn drain_wait_longer_than_it_is_refused_at_once() {
    // The load would end within the caller's time, but after the drain deadline.
    let upstream = TestUpstream::bind("u1", vec![]).await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &[]);
    ingress.set_loading("m", Duration::from_millis(1_500));
    let began = Instant::now();
    let waiting = ingress.post("/a/", &[("x-model", "m")]);
    let draining = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        ingress.drain.begin(began + Duration::from_millis(900));
    };
    let (answer, ()) = tokio::join!(waiting, draining);
    assert_eq!((answer.status, answer.body.as_str()), (503, "draining\n"));
    assert!(answer.header("retry-after").is_some(), "another ingress instance can serve it");
    assert!(began.elapsed() < Duration::from_millis(600), "{:?}", began.elapsed());
    assert!(upstream.seen().is_empty());
}

#[tokio::test]
async fn drain_wait_within_the_deadline_is_served() {
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &events(1..=2))]).await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &[]);
    ingress.set_loading("m", Duration::from_millis(400));
    let waiting = ingress.post("/a/", &[("x-model", "m")]);
    let draining = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        ingress.drain.begin(Instant::now() + Duration::from_secs(1));
        tokio::time::sleep(Duration::from_millis(300)).await;
        ingress.set_models("u1", &["m"]);
    };
    let (answer, ()) = tokio::join!(waiting, draining);
    assert_eq!(answer.status, 200);
    let left: u64 =
        upstream.seen()[0].header("x-left").and_then(|left| left.parse().ok()).expect("time left");
    assert!(left <= 700, "the time sent to the upstream ends before the drain: {left}");
}

#[tokio::test]
async fn drain_without_time_for_an_answer_sends_nothing() {
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&upstream]).await;
    ingress.drain.begin(Instant::now() + Duration::from_millis(100));
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(upstream.seen().is_empty(), "a request that was sent couldn't be refused any more");
}

#[tokio::test]
async fn drain_ended_keeps_an_upstreams_own_failure() {
    // The first upstream fails, and the second one doesn't answer until the end of the drain.
    let failing = TestUpstream::bind("u1", vec![Reply::ran(500, "why")]).await;
    let silent = TestUpstream::bind("u2", vec![Reply::Silent]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&failing, &silent]).await;
    ingress.prefer("u1");
    ingress.drain.begin(Instant::now() + Duration::from_millis(800));
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "why"));
    assert_eq!((failing.seen().len(), silent.seen().len()), (1, 1));
}

#[tokio::test]
async fn drain_stream_that_cant_go_on_here_ends_at_once() {
    // Its caller may resume it at another instance; until the deadline nothing would work on it.
    let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
    let without_model = TestUpstream::bind("u2", vec![]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &without_model]).await;
    ingress.set_models("u1", &["m"]);
    ingress.drain.begin(Instant::now() + Duration::from_millis(1_200));
    let began = Instant::now();
    let answer = ingress.post("/a/", &[("x-model", "m")]).await;
    assert_eq!((answer.body, answer.is_whole), (events(1..=3), false));
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

#[tokio::test]
async fn drain_stream_whose_model_is_being_loaded_elsewhere_goes_on_there() {
    let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
    let second = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &second]).await;
    ingress.set_models("u1", &["m"]);
    ingress.set_loading("m", Duration::from_millis(400));
    ingress.drain.begin(Instant::now() + Duration::from_millis(1_500));
    let streaming = ingress.post("/a/", &[("x-model", "m")]);
    let loading = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        ingress.set_models("u2", &["m"]);
    };
    let (answer, ()) = tokio::join!(streaming, loading);
    assert_eq!((answer.body, answer.is_whole), (events(1..=6), true));
}

#[tokio::test]
async fn drain_ended_before_the_first_event_isnt_a_cut() {
    // The drain begins after the head of the upstream's answer has arrived.
    let upstream = TestUpstream::bind("u1", vec![Reply::falls_silent(&[]); 2]).await;
    for kind in [STREAM, FINAL_STREAM] {
        let ingress = TestIngress::bind(kind, &[&upstream]).await;
        let streaming = ingress.post("/a/", &[]);
        let draining = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            ingress.drain.begin(Instant::now() + Duration::from_millis(300));
        };
        let (answer, ()) = tokio::join!(streaming, draining);
        assert_eq!((answer.status, answer.is_whole), (504, true), "it may have run");
        assert!(answer.header("x-signature").is_none());
    }
}

#[tokio::test]
async fn drain_ended_cuts_a_stream_whose_resumption_is_silent() {
    // The resumption may take the request's whole time, which is longer than the drain that begins
    // afterwards.
    let first = TestUpstream::bind("u1", vec![Reply::cut(&events(1..=3))]).await;
    let silent = TestUpstream::bind("u2", vec![Reply::Silent]).await;
    let ingress = TestIngress::bind(STREAM, &[&first, &silent]).await;
    ingress.prefer("u1");
    let began = Instant::now();
    let streaming = ingress.post("/a/", &[]);
    let draining = async {
        while silent.seen().is_empty() {
            assert!(began.elapsed() < Duration::from_secs(1), "the stream isn't resumed");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let end = Instant::now() + Duration::from_millis(300);
        ingress.drain.begin(end);
        end
    };
    let (answer, end) = tokio::join!(streaming, draining);
    assert!(!answer.is_whole, "a part must not look like the whole");
    assert_eq!(answer.body, events(1..=3));
    assert!(
        end.elapsed() < Duration::from_millis(300),
        "the stream was open {:?} too long",
        end.elapsed()
    );
}

#[tokio::test]
async fn drain_refusal_of_an_upstream_whose_time_is_over_reaches_the_caller() {
    // The upstream knows when this instance ends, and refuses the request as not run at that time.
    let upstream = TestUpstream::bind("u1", vec![Reply::RefusedAtTimeLeft]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&upstream]).await;
    ingress.drain.begin(Instant::now() + Duration::from_millis(800));
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(upstream.seen().len(), 1);
    assert_eq!(answer.status, 503, "it didn't run, and another ingress instance can serve it");
}

#[tokio::test]
async fn drain_ended_at_a_silent_upstream_is_a_gateway_timeout() {
    // Sent during the drain, so that the send's own time ends with it.
    let silent = TestUpstream::bind("u1", vec![Reply::Silent]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&silent]).await;
    ingress.drain.begin(Instant::now() + Duration::from_millis(800));
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!(silent.seen().len(), 1);
    assert_eq!(answer.status, 504, "the upstream didn't fail, the time was over");
}

#[tokio::test]
async fn cold_model_refused_before_its_load_ended_is_sent_there_once_loaded() {
    // The view lists the model a moment before the only upstream has loaded it.
    let upstream =
        TestUpstream::bind("u1", vec![Reply::not_executed(421), Reply::ran(200, &events(1..=2))]);
    let upstream = upstream.await;
    let ingress = TestIngress::bind(STREAM, &[&upstream]).await;
    ingress.set_models("u1", &["m"]);
    let waiting = ingress.post("/a/", &[("x-model", "m")]);
    let loading = async {
        let began = Instant::now();
        while upstream.seen().is_empty() {
            assert!(began.elapsed() < Duration::from_secs(1), "the request isn't sent");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        ingress.set_models("u1", &[]);
        ingress.set_loading("m", Duration::from_millis(300));
        tokio::time::sleep(Duration::from_millis(300)).await;
        ingress.set_models("u1", &["m"]);
    };
    let (answer, ()) = tokio::join!(waiting, loading);
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(upstream.seen().len(), 2);
}

/// Comments and settings of a stream are no event: the request may not have begun yet.
#[tokio::test]
async fn drain_ended_after_a_comment_and_no_event_isnt_a_cut() {
    for lead in [": queued\n\n", "\n\n", "retry: 500\n\n"] {
        let upstream = TestUpstream::bind("u1", vec![Reply::falls_silent(&[(0, lead)])]).await;
        let ingress = TestIngress::bind(FINAL_STREAM, &[&upstream]).await;
        ingress.drain.begin(Instant::now() + Duration::from_millis(600));
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.status, answer.is_whole), (504, true), "{lead:?}");
    }
}
