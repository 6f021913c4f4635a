//! What stand-ins answer, and what they tell of it.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio::sync::mpsc::UnboundedReceiver;
use wheel_harness::{HttpClient, HttpReply};
use wheel_platform::wire_names::{
    ATTEMPT_ID, MODEL, NOT_EXECUTED, ORDER_PATH, REPORT_PATH, TARGET,
};
use wheel_soak::{
    ListFault, ListStandIn, ONCE_PREFIX, Observation, ObservationSink, RESUMABLE_PREFIX, SeenEvent,
    UpstreamFault, UpstreamStandIn,
};

/// The time in which an answer comes, unless it never does.
const LIMIT: Duration = Duration::from_secs(2);
/// The list's lag and a look at the upstreams, on a busy machine.
const LIST_TIME: Duration = Duration::from_millis(1_500);

async fn engine() -> (UpstreamStandIn, UnboundedReceiver<Observation>) {
    let (sink, seen) = ObservationSink::open();
    let upstream = UpstreamStandIn::bind("llm-0".into(), "llm", "z0", sink).await;
    (upstream.expect("a port"), seen)
}

async fn ask(upstream: &UpstreamStandIn, path: &str, more: &[(&str, &str)]) -> Option<HttpReply> {
    let mut headers = vec![(ATTEMPT_ID, "id-1"), (MODEL, "m0"), (TARGET, "llm-0")];
    headers.retain(|(name, _)| more.iter().all(|(other, _)| other != name));
    headers.extend(more);
    // A kept connection might have been spoilt by the answer before.
    let caller = HttpClient::default();
    let asking = caller.call(Method::POST, upstream.address(), path, &headers, "body");
    tokio::time::timeout(LIMIT, asking).await.ok()?.ok()
}

async fn order(upstream: &UpstreamStandIn, operation: &str, model: &str, fencing: u64) -> u16 {
    let body = format!(
        "{{\"operation\":\"{operation}\",\"model\":\"{model}\",\"holder\":\"a\",\"fencingToken\":{fencing}}}"
    );
    let caller = HttpClient::default();
    let ordering = caller.call(Method::POST, upstream.address(), ORDER_PATH, &[], body);
    ordering.await.expect("an answer").status.as_u16()
}

/// Orders a model and waits until the order is done.
async fn load(upstream: &UpstreamStandIn, model: &str) {
    assert_eq!(order(upstream, "load", model, 1).await, 202);
    wait_idle(upstream).await;
}

async fn wait_idle(upstream: &UpstreamStandIn) {
    let caller = HttpClient::default();
    let report = || caller.get(upstream.address(), REPORT_PATH);
    while report().await.expect("a report").json()["busy"] == true {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Whether runs have ended whole, so far.
fn ends(seen: &mut UnboundedReceiver<Observation>) -> Vec<bool> {
    let mut ends = Vec::new();
    while let Ok(observation) = seen.try_recv() {
        if let SeenEvent::RunEnded { body, .. } = observation.event {
            ends.push(body.is_some());
        }
    }
    ends
}

/// The answer to a request that meets `fault`: one of two does.
async fn faulty(upstream: &UpstreamStandIn, path: &str, fault: UpstreamFault) -> Option<HttpReply> {
    upstream.set_fault(None);
    ask(upstream, path, &[]).await.expect("an answer without a fault");
    upstream.set_fault(Some(fault));
    ask(upstream, path, &[]).await.expect("a request that is spared");
    ask(upstream, path, &[]).await
}

#[tokio::test]
async fn upstream_runs_what_it_holds_and_resumes_streams() {
    let (upstream, mut seen) = engine().await;
    let path = format!("{RESUMABLE_PREFIX}3x1");
    assert_eq!(ask(&upstream, &path, &[]).await.expect("an answer").status.as_u16(), 421);
    load(&upstream, "m0").await;
    let reply = ask(&upstream, &path, &[]).await.expect("an answer");
    let whole = "id: 1\ndata: id-1-1\n\nid: 2\ndata: id-1-2\n\nid: 3\ndata: id-1-3\n\n";
    assert_eq!((reply.text().as_str(), reply.complete), (whole, true));
    let resumed = ask(&upstream, &path, &[("last-event-id", "2")]).await.expect("an answer");
    assert_eq!(resumed.text(), "id: 3\ndata: id-1-3\n\n");
    let other = ask(&upstream, &path, &[(TARGET, "llm-1")]).await;
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
    // It has been here, so that this load isn't one from the store.
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
async fn upstream_faults_are_what_they_say() {
    let (sink, mut seen) = ObservationSink::open();
    let upstream = UpstreamStandIn::bind("llm-0".into(), "app", "z0", sink).await.expect("a port");
    let path = format!("{ONCE_PREFIX}100x10");
    assert!(faulty(&upstream, &path, UpstreamFault::Hang).await.is_none());
    assert!(faulty(&upstream, &path, UpstreamFault::Late).await.is_none());
    assert!(faulty(&upstream, &path, UpstreamFault::Unframed).await.is_none());
    let cut = faulty(&upstream, &path, UpstreamFault::Cut).await;
    assert!(cut.is_none_or(|reply| !reply.complete));
    assert_eq!(ends(&mut seen), [true, true, false].repeat(4));
    let crossed = faulty(&upstream, &path, UpstreamFault::Crossed).await.expect("an answer");
    assert_eq!(crossed.header(ATTEMPT_ID), "other-id-1");
    assert_eq!(ends(&mut seen), [true, true, false]);
    let failed = faulty(&upstream, &path, UpstreamFault::Fail).await.expect("an answer");
    assert_eq!(failed.status.as_u16(), 500);
    faulty(&upstream, &path, UpstreamFault::Doubled).await.expect("an answer");
    assert_eq!(ends(&mut seen), [true; 6]);
}

#[tokio::test]
async fn list_shows_changes_late_and_entries_that_cannot_be_read() {
    let (upstream, mut seen) = engine().await;
    let upstreams: Arc<[UpstreamStandIn]> = vec![upstream].into();
    let list = ListStandIn::bind(Arc::clone(&upstreams)).await.expect("a port");
    tokio::time::sleep(LIST_TIME).await;
    let caller = HttpClient::default();
    let read = || async { caller.get(list.address(), "/instances").await.expect("a list") };
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
