//! Upstreams that fall silent and go on, or never do. Silence alone must not end an answer: only
//! another upstream that can serve the request at once takes it over.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use support::{Reply, TestIngress, TestUpstream};
use tokio::time::Instant;
use wheel_route::RouteKind;

const STREAM: RouteKind = RouteKind::Streaming { resumable: true };
const FINAL_STREAM: RouteKind = RouteKind::Streaming { resumable: false };
/// Longer than the silences in these tests together.
const TIME_LIMIT: Duration = Duration::from_secs(8);

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: t{id}\n\n")).collect()
}

async fn ingress(kind: RouteKind, upstreams: &[&TestUpstream]) -> TestIngress {
    let ingress =
        TestIngress::with_route(kind, upstreams, |route| route.time_limit = TIME_LIMIT).await;
    ingress.prefer("u1");
    ingress
}

/// The only upstream with the model answers with `reply`; its answer must arrive whole.
async fn expect_whole(kind: RouteKind, reply: Reply, body: &str) {
    let upstream = TestUpstream::bind("u1", vec![reply]).await;
    let without_model = TestUpstream::bind("u2", vec![]).await;
    let ingress = ingress(kind, &[&upstream, &without_model]).await;
    ingress.set_models("u1", &["m"]);
    let answer = ingress.post("/a/", &[("x-model", "m")]).await;
    assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (200, body, true));
    assert_eq!((upstream.seen().len(), without_model.seen().len()), (1, 0));
}

#[tokio::test]
async fn stream_of_a_lone_upstream_silent_midway_isnt_cut() {
    let (first, second, third) = (events(1..=2), events(3..=3), events(4..=5));
    let pieces = [(0, &*first), (1_500, &*second), (2_000, &*third)];
    let whole = events(1..=5);
    tokio::join!(
        expect_whole(STREAM, Reply::paced(&pieces), &whole),
        expect_whole(FINAL_STREAM, Reply::paced(&pieces), &whole),
    );
}

#[tokio::test]
async fn stream_of_a_lone_upstream_silent_before_its_first_event_isnt_cut() {
    let body = events(1..=2);
    tokio::join!(
        expect_whole(STREAM, Reply::paced(&[(1_500, &body)]), &body),
        expect_whole(STREAM, Reply::paced(&[(2_000, &body)]), &body),
        expect_whole(STREAM, Reply::ran(200, &body).late(2_000), &body),
        expect_whole(FINAL_STREAM, Reply::paced(&[(2_000, &body)]), &body),
    );
}

#[tokio::test]
async fn answer_of_a_lone_upstream_after_a_silence_isnt_given_up() {
    tokio::join!(
        expect_whole(RouteKind::Idempotent, Reply::ran(200, "ok").late(2_000), "ok"),
        expect_whole(RouteKind::Idempotent, Reply::paced(&[(0, "o"), (2_000, "k")]), "ok"),
        expect_whole(RouteKind::NonIdempotent, Reply::ran(200, "ok").late(2_000), "ok"),
    );
}

#[tokio::test]
async fn stream_at_an_upstream_silent_for_good_goes_on_elsewhere() {
    let part = events(1..=3);
    let silent = TestUpstream::bind("u1", vec![Reply::falls_silent(&[(0, &part)])]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
    let ingress = ingress(STREAM, &[&silent, &other]).await;
    let began = Instant::now();
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.body, answer.is_whole), (events(1..=6), true));
    assert_eq!(other.seen()[0].header("last-event-id"), Some("3"));
    assert!(began.elapsed() < Duration::from_millis(1_800), "{:?}", began.elapsed());
}

#[tokio::test]
async fn request_at_an_upstream_silent_for_good_is_served_elsewhere() {
    let head = || Reply::falls_silent(&[]);
    for (kind, reply) in [
        (STREAM, head()),
        (STREAM, Reply::Silent),
        (RouteKind::Idempotent, head()),
        (RouteKind::Idempotent, Reply::Silent),
    ] {
        let silent = TestUpstream::bind("u1", vec![reply]).await;
        let other = TestUpstream::bind("u2", vec![Reply::ran(200, &events(1..=2))]).await;
        let ingress = ingress(kind, &[&silent, &other]).await;
        let began = Instant::now();
        let answer = ingress.post("/a/", &[]).await;
        assert_eq!((answer.status, answer.body, answer.is_whole), (200, events(1..=2), true));
        assert!(other.seen()[0].header("last-event-id").is_none());
        assert!(began.elapsed() < Duration::from_millis(1_800), "{:?}", began.elapsed());
    }
}

#[tokio::test]
async fn request_at_an_upstream_silent_for_good_isnt_repeated_if_it_may_not_be() {
    let silent = TestUpstream::bind("u1", vec![Reply::Silent]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, "ok")]).await;
    let ingress = TestIngress::bind(RouteKind::NonIdempotent, &[&silent, &other]).await;
    ingress.prefer("u1");
    assert_eq!(ingress.post("/a/", &[]).await.status, 504);
    assert!(other.seen().is_empty());
}

#[tokio::test]
async fn stream_at_an_upstream_silent_for_good_goes_on_once_another_has_the_model() {
    let part = events(1..=3);
    let silent = TestUpstream::bind("u1", vec![Reply::falls_silent(&[(0, &part)])]).await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, &events(4..=6))]).await;
    let ingress = ingress(STREAM, &[&silent, &other]).await;
    ingress.set_models("u1", &["m"]);
    let streaming = ingress.post("/a/", &[("x-model", "m")]);
    let loading = async {
        tokio::time::sleep(Duration::from_millis(1_400)).await;
        let request = ingress.state.prepare_sync("me".into());
        assert_eq!(request.demand[0].waiting, 1, "the model may have to be loaded elsewhere");
        ingress.set_models("u2", &["m"]);
        Instant::now()
    };
    let (answer, loaded) = tokio::join!(streaming, loading);
    assert_eq!((answer.body, answer.is_whole), (events(1..=6), true));
    assert!(loaded.elapsed() < Duration::from_millis(500), "{:?}", loaded.elapsed());
}

#[tokio::test]
async fn stream_with_its_attempts_used_up_waits_for_a_silent_upstream() {
    let part = events(1..=3);
    let silent = TestUpstream::bind("u1", vec![Reply::falls_silent(&[(0, &part)])]).await;
    let rest = events(4..=5);
    let slow = TestUpstream::bind("u2", vec![Reply::paced(&[(1_500, &rest)])]).await;
    let ingress = ingress(STREAM, &[&silent, &slow]).await;
    let third = TestUpstream::bind("u3", vec![]).await;
    let adding = async {
        // The stream goes on at the second upstream by then.
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        assert_eq!(slow.seen().len(), 1);
        ingress.add_upstream(&third, 0);
    };
    let (answer, ()) = tokio::join!(ingress.post("/a/", &[]), adding);
    assert_eq!((answer.body, answer.is_whole), (events(1..=5), true));
    assert!(third.seen().is_empty());
}

#[tokio::test]
async fn stream_at_a_silent_upstream_stays_if_the_others_are_full() {
    let (first, second) = (events(1..=2), events(3..=3));
    let slow = Reply::paced(&[(0, &first), (1_500, &second)]);
    let slow = TestUpstream::bind("u1", vec![slow]).await;
    let full = TestUpstream::bind("u2", vec![]).await;
    let ingress = ingress(STREAM, &[&slow]).await;
    ingress.add_upstream(&full, 4);
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.body, answer.is_whole), (events(1..=3), true));
    assert!(full.seen().is_empty());
}

/// The rest of a stream, or the whole of a request, that its silent upstream would still deliver.
async fn expect_asked_again(kind: RouteKind, drain: Option<Duration>, other: TestUpstream) {
    let (first, rest) = (events(1..=2), events(3..=4));
    let replies = match kind {
        STREAM => vec![Reply::paced(&[(0, &first), (1_500, &rest)]), Reply::ran(200, &rest)],
        _ => vec![Reply::ran(200, &events(1..=4)).late(1_500), Reply::ran(200, &events(1..=4))],
    };
    let silent = TestUpstream::bind("u1", replies).await;
    let ingress = ingress(kind, &[&silent, &other]).await;
    if let Some(left) = drain {
        ingress.drain.begin(Instant::now() + left);
    }
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body, answer.is_whole), (200, events(1..=4), true));
}

/// A request leaves its silent upstream for one that then refuses it or can't be reached.
#[tokio::test]
async fn request_whose_replacement_doesnt_take_it_goes_back() {
    let refusing = || TestUpstream::bind("u2", vec![Reply::not_executed(503); 4]);
    let resting = TestUpstream::bind("u2", vec![Reply::resting("1"); 4]).await;
    let drain = Some(Duration::from_secs(4));
    tokio::join!(
        expect_asked_again(STREAM, None, refusing().await),
        expect_asked_again(STREAM, drain, refusing().await),
        expect_asked_again(STREAM, None, resting),
        expect_asked_again(STREAM, None, TestUpstream::closed("u2")),
        expect_asked_again(RouteKind::Idempotent, None, refusing().await),
    );
}

/// A failure's body can't be resumed, so that a request that left it would be cut.
#[tokio::test]
async fn failure_silent_midway_isnt_cut() {
    let head =
        "HTTP/1.1 404 Not Found\r\nx-id: ID\r\nx-signature: s\r\ncontent-length: 4\r\n\r\nno";
    let slow = TestUpstream::bind_raw_paused("u1", head.to_owned(), 1_500, "pe").await;
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, &events(1..=2)); 2]).await;
    let ingress = ingress(STREAM, &[&slow, &other]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.status, answer.body.as_str(), answer.is_whole), (404, "nope", true));
    assert!(other.seen().is_empty());
}

/// Three requests that leave one upstream at once eject it; it must be tried again later.
#[tokio::test]
async fn upstream_ejected_for_a_silence_is_used_again() {
    let mut replies = vec![Reply::ran(200, "ok").late(1_400); 3];
    replies.extend(vec![Reply::ran(200, "back"); 20]);
    let silent = TestUpstream::bind("u1", replies).await;
    let sound = || vec![Reply::ran(200, "ok"); 30];
    let others = [
        TestUpstream::bind("u2", sound()).await,
        TestUpstream::bind("u3", sound()).await,
        TestUpstream::bind("u4", sound()).await,
    ];
    let [second, third, fourth] = &others;
    let ingress = ingress(RouteKind::Idempotent, &[&silent, second, third, fourth]).await;
    for name in ["u2", "u3", "u4"] {
        ingress.prefer(name);
        ingress.post("/a/", &[]).await;
    }
    ingress.prefer("u1");
    futures_util::future::join_all((0..3).map(|_| ingress.post("/a/", &[]))).await;
    let reached = silent.seen().len();
    let began = Instant::now();
    while silent.seen().len() == reached {
        assert!(began.elapsed() < Duration::from_secs(10), "never used again");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(ingress.post("/a/", &[]).await.status, 200);
    }
}

/// Without ids nothing tells where a stream goes on, so that another upstream begins anew.
#[tokio::test]
async fn stream_without_ids_isnt_repeated_after_a_silence() {
    let slow = Reply::paced(&[(0, "data: a\n\n"), (1_500, "data: b\n\n")]);
    let slow = TestUpstream::bind("u1", vec![slow]).await;
    let whole = "data: a\n\ndata: b\n\n";
    let other = TestUpstream::bind("u2", vec![Reply::ran(200, whole)]).await;
    let ingress = ingress(STREAM, &[&slow, &other]).await;
    let answer = ingress.post("/a/", &[]).await;
    assert_eq!((answer.body.as_str(), answer.is_whole), (whole, true));
}
