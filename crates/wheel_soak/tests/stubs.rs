//! The answers of stubs, and the observations that they record.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use tokio::sync::mpsc::UnboundedReceiver;
use wheel_harness::{HttpClient, HttpReply};
use wheel_platform::wire_names::{
    ATTEMPT_ID, MODEL, NOT_EXECUTED, ORDER_PATH, REPORT_PATH, TARGET,
};
use wheel_soak::{
    AnswerPhase, ListFault, ListStub, ONCE_PREFIX, Observation, ObservationSink, OddEntry,
    RESUMABLE_PREFIX, SeenEvent, UpstreamFault, UpstreamStub,
};

/// Timeout for an answer.
const LIMIT: Duration = Duration::from_secs(2);
/// Time for the list's lag and one poll of the upstreams, sized for a busy machine.
const LIST_TIME: Duration = Duration::from_millis(1_500);

async fn engine() -> (UpstreamStub, UnboundedReceiver<Observation>) {
    let (sink, seen) = ObservationSink::open();
    let upstream = UpstreamStub::bind("llm-0".into(), "llm", "z0", sink).await;
    (upstream.expect("a port"), seen)
}

async fn request(
    upstream: &UpstreamStub,
    path: &str,
    extra_headers: &[(&str, &str)],
) -> Option<HttpReply> {
    let mut headers = vec![(ATTEMPT_ID, "id-1"), (MODEL, "m0"), (TARGET, "llm-0")];
    headers.retain(|(name, _)| extra_headers.iter().all(|(other, _)| other != name));
    headers.extend(extra_headers);
    call(upstream, path, &headers, LIMIT).await
}

async fn request_within(upstream: &UpstreamStub, path: &str, limit: Duration) -> Option<HttpReply> {
    let headers = [(ATTEMPT_ID, "id-1"), (MODEL, "m0"), (TARGET, "llm-0")];
    call(upstream, path, &headers, limit).await
}

async fn call(
    upstream: &UpstreamStub,
    path: &str,
    headers: &[(&str, &str)],
    limit: Duration,
) -> Option<HttpReply> {
    // Opens a new connection, since the previous answer might have broken a reused one.
    let client = HttpClient::default();
    let response = client.call(Method::POST, upstream.address(), path, headers, "body");
    tokio::time::timeout(limit, response).await.ok()?.ok()
}

async fn order(upstream: &UpstreamStub, operation: &str, model: &str, fencing: u64) -> u16 {
    let body = format!(
        "{{\"operation\":\"{operation}\",\"model\":\"{model}\",\"holder\":\"a\",\"fencingToken\":{fencing}}}"
    );
    let client = HttpClient::default();
    let response = client.call(Method::POST, upstream.address(), ORDER_PATH, &[], body);
    response.await.expect("an answer").status.as_u16()
}

/// Orders the load of a model and waits until it is loaded.
async fn load(upstream: &UpstreamStub, model: &str) {
    assert_eq!(order(upstream, "load", model, 1).await, 202);
    wait_idle(upstream).await;
}

async fn wait_idle(upstream: &UpstreamStub) {
    let client = HttpClient::default();
    let report = || client.get(upstream.address(), REPORT_PATH);
    while report().await.expect("a report").json()["busy"] == true {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// For each run that has ended so far, whether its answer was complete.
fn ends(seen: &mut UnboundedReceiver<Observation>) -> Vec<bool> {
    let mut ends = Vec::new();
    while let Ok(observation) = seen.try_recv() {
        if let SeenEvent::RunEnded { body, .. } = observation.event {
            ends.push(body.is_some());
        }
    }
    ends
}

/// The answer to a request that is affected by `fault`, as every second one is.
async fn request_with_fault(
    upstream: &UpstreamStub,
    path: &str,
    fault: UpstreamFault,
) -> Option<HttpReply> {
    upstream.set_fault(None);
    request(upstream, path, &[]).await.expect("an answer without a fault");
    upstream.set_fault(Some(fault));
    request(upstream, path, &[]).await.expect("a request that isn't affected");
    request(upstream, path, &[]).await
}

#[tokio::test]
async fn upstream_runs_loaded_models_and_resumes_streams() {
    let (upstream, mut seen) = engine().await;
    let path = format!("{RESUMABLE_PREFIX}3x1");
    assert_eq!(request(&upstream, &path, &[]).await.expect("an answer").status.as_u16(), 421);
    load(&upstream, "m0").await;
    let reply = request(&upstream, &path, &[]).await.expect("an answer");
    let whole = "id: 1\ndata: id-1-1\n\nid: 2\ndata: id-1-2\n\nid: 3\ndata: id-1-3\n\n";
    assert_eq!((reply.text().as_str(), reply.complete), (whole, true));
    let resumed = request(&upstream, &path, &[("last-event-id", "2")]).await.expect("an answer");
    assert_eq!(resumed.text(), "id: 3\ndata: id-1-3\n\n");
    let other = request(&upstream, &path, &[(TARGET, "llm-1")]).await;
    let other = other.expect("an answer");
    assert_eq!(other.status.as_u16(), 421);
    assert!(!other.header(NOT_EXECUTED).is_empty());
    assert_eq!(ends(&mut seen), [true, true]);
}

#[tokio::test]
async fn upstream_carries_out_one_order_at_a_time_and_counts_memory() {
    let (upstream, mut seen) = engine().await;
    assert_eq!(order(&upstream, "load", "m0", 3).await, 202);
    assert_eq!(order(&upstream, "load", "m1", 3).await, 409);
    assert_eq!(order(&upstream, "load", "m2", 2).await, 412);
    wait_idle(&upstream).await;
    assert_eq!(order(&upstream, "load", "m0", 3).await, 200);
    assert_eq!(order(&upstream, "unload", "m0", 3).await, 202);
    // The model has been loaded before, so this isn't a load from the store.
    assert_eq!(order(&upstream, "load", "m0", 3).await, 202);
    let mut orders = Vec::new();
    while let Ok(observation) = seen.try_recv() {
        if let SeenEvent::Ordered(order) = observation.event {
            orders.push((order.status, order.held_mb, order.is_store_load));
        }
    }
    let expected = [
        (202, 90, true),
        (409, 90, false),
        (412, 90, false),
        (200, 90, false),
        (202, 0, false),
        (202, 90, false),
    ];
    assert_eq!(orders, expected);
}

#[tokio::test]
async fn upstream_faults_have_their_effects() {
    let (sink, mut seen) = ObservationSink::open();
    let upstream = UpstreamStub::bind("llm-0".into(), "app", "z0", sink).await.expect("a port");
    let path = format!("{ONCE_PREFIX}100x10");
    assert!(request_with_fault(&upstream, &path, UpstreamFault::Hang).await.is_none());
    assert!(request_with_fault(&upstream, &path, UpstreamFault::Late).await.is_none());
    assert!(request_with_fault(&upstream, &path, UpstreamFault::Unframed).await.is_none());
    let cut = request_with_fault(&upstream, &path, UpstreamFault::Cut).await;
    assert!(cut.is_none_or(|reply| !reply.complete));
    assert_eq!(ends(&mut seen), [true, true, false].repeat(4));
    let crossed =
        request_with_fault(&upstream, &path, UpstreamFault::Crossed).await.expect("an answer");
    assert_eq!(crossed.header(ATTEMPT_ID), "other-id-1");
    assert_eq!(ends(&mut seen), [true, true, false]);
    let failed =
        request_with_fault(&upstream, &path, UpstreamFault::Fail).await.expect("an answer");
    assert_eq!(failed.status.as_u16(), 500);
    request_with_fault(&upstream, &path, UpstreamFault::Doubled).await.expect("an answer");
    assert_eq!(ends(&mut seen), [true; 6]);
}

#[tokio::test]
async fn upstream_cut_closes_every_second_stream_inside_an_event() {
    let (upstream, _seen) = engine().await;
    load(&upstream, "m0").await;
    let path = format!("{RESUMABLE_PREFIX}4x1");
    upstream.set_fault(Some(UpstreamFault::Cut));
    let mut closed = 0;
    for _ in 0..8 {
        let reply = request(&upstream, &path, &[]).await;
        let is_closed =
            |reply: &HttpReply| reply.complete && reply.header("transfer-encoding").is_empty();
        if let Some(reply) = reply.filter(is_closed) {
            assert!(!reply.text().ends_with("\n\n"), "{:?}", reply.text());
            closed += 1;
        }
    }
    assert_eq!(closed, 2, "a client that trusts the close takes them for whole");
}

#[tokio::test]
async fn list_shows_changes_late_and_entries_that_cannot_be_read() {
    let (upstream, mut seen) = engine().await;
    let upstreams: Arc<[UpstreamStub]> = vec![upstream].into();
    let list = ListStub::bind(Arc::clone(&upstreams)).await.expect("a port");
    tokio::time::sleep(LIST_TIME).await;
    let client = HttpClient::default();
    let read = || async { client.get(list.address(), "/instances").await.expect("a list") };
    assert_eq!(read().await.json()["instances"][0]["state"], "ready");
    upstreams[0].leave();
    assert_eq!(read().await.json()["instances"][0]["state"], "ready");
    tokio::time::sleep(LIST_TIME).await;
    assert_eq!(read().await.json()["instances"][0]["state"], "draining");
    assert!(matches!(
        seen.try_recv().map(|seen| seen.event),
        Ok(SeenEvent::UpstreamLeaves { upstream }) if &*upstream == "llm-0"
    ));
    upstreams[0].stop();
    tokio::time::sleep(LIST_TIME).await;
    assert_eq!(read().await.json()["instances"].as_array().map(Vec::len), Some(0));
    list.set_fault(Some(ListFault::Unreadable));
    assert!(std::str::from_utf8(&read().await.body).is_err());
    list.set_fault(Some(ListFault::Fails));
    assert_eq!(read().await.status.as_u16(), 500);
}

#[tokio::test]
async fn upstream_silence_ends_and_other_bytes_do_not() {
    let (sink, mut seen) = ObservationSink::open();
    let upstream = UpstreamStub::bind("llm-0".into(), "llm", "z0", sink).await.expect("a port");
    load(&upstream, "m0").await;
    let path = format!("{RESUMABLE_PREFIX}4x1");
    for phase in [AnswerPhase::Head, AnswerPhase::FirstEvent, AnswerPhase::Middle] {
        upstream.set_fault(Some(UpstreamFault::Silent(phase)));
        request(&upstream, &path, &[]).await.expect("a request that isn't affected");
        let began = Instant::now();
        let reply = request_within(&upstream, &path, 2 * LIMIT).await.expect("an answer");
        assert!(reply.complete && began.elapsed() > LIMIT / 4, "{:?}", began.elapsed());
        upstream.set_fault(Some(UpstreamFault::Endless(phase)));
        request(&upstream, &path, &[]).await.expect("a request that isn't affected");
        assert!(request(&upstream, &path, &[]).await.is_none(), "{phase:?}");
    }
    upstream.set_fault(Some(UpstreamFault::HeadOnly));
    request(&upstream, &path, &[]).await.expect("a request that isn't affected");
    assert!(request(&upstream, &path, &[]).await.is_none());
    // The stub notices the close of the connection later than its client.
    tokio::time::sleep(LIMIT / 10).await;
    let sound = [true, true, true, false].repeat(3);
    assert_eq!(ends(&mut seen), [sound, vec![true, false]].concat());
}

#[tokio::test]
async fn upstream_breaks_each_stream_after_an_event() {
    let (upstream, _seen) = engine().await;
    load(&upstream, "m0").await;
    upstream.set_fault(Some(UpstreamFault::Breaks));
    let path = format!("{RESUMABLE_PREFIX}3x1");
    for event in 1..=3 {
        let after = (event - 1).to_string();
        let reply = request(&upstream, &path, &[("last-event-id", &after)]).await;
        let reply = reply.expect("a part");
        assert_eq!(reply.text(), format!("id: {event}\ndata: id-1-{event}\n\n"));
        assert!(!reply.complete);
    }
}

/// The odd entry stands beside the sound ones, whose bytes stay as they are.
#[tokio::test]
async fn list_with_an_odd_entry_keeps_the_sound_ones() {
    let (upstream, _seen) = engine().await;
    let upstreams: Arc<[UpstreamStub]> = vec![upstream].into();
    let list = ListStub::bind(Arc::clone(&upstreams)).await.expect("a port");
    tokio::time::sleep(LIST_TIME).await;
    let client = HttpClient::default();
    let read = || async { client.get(list.address(), "/instances").await.expect("a list").body };
    let sound = read().await;
    let [start, end] = [&br#"{"instances":["#[..], br#"],"nextToken":null}"#];
    let entry = &sound[start.len()..sound.len() - end.len()];
    let odd_entries = {
        use OddEntry::*;
        [Nested, HugeNumber, Surrogate, Bytes, Port, Slots, Nameless, Twin, SameAddress]
    };
    for odd in odd_entries {
        list.set_fault(Some(ListFault::Odd(odd)));
        let body = read().await;
        let at = body.windows(entry.len()).position(|part| part == entry);
        let at = at.expect("the sound entry");
        assert!(at > start.len() && at + entry.len() + end.len() < body.len(), "{odd:?}");
    }
}
