//! The answers of stubs, and the observations that they record.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use wheel_harness::{HttpClient, HttpReply};
use wheel_platform::wire_names::{
    ATTEMPT_ID, MODEL, NOT_EXECUTED, ORDER_PATH, REPORT_PATH, TARGET,
};
use wheel_soak::{
    AnswerPhase, HeadPart, ListFault, ListStub, ONCE_PREFIX, Observation, ObservationSink,
    OddEntry, RESUMABLE_PREFIX, ResumeAnswer, SeenEvent, UpstreamFault, UpstreamStub,
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

/// The head of an answer to a request with `extra` headers, and the bytes that follow it; empty if the
/// connection ended before.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

async fn send_raw(stream: &mut TcpStream, path: &str, id: &str) {
    let request = format!(
        "POST {path} HTTP/1.1\r\n{ATTEMPT_ID}: {id}\r\n{MODEL}: m0\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("a request");
}

#[tokio::test]
async fn upstream_refusal_comes_twice_on_its_connection_alone() {
    let (upstream, mut seen) = engine().await;
    load(&upstream, "m0").await;
    upstream.set_fault(Some(UpstreamFault::Refuses));
    let path = format!("{RESUMABLE_PREFIX}2x1");
    let mut kept = TcpStream::connect(upstream.address()).await.expect("a connection");
    send_raw(&mut kept, &path, "id-1").await;
    let refusal = read_head(&mut kept).await;
    assert!(
        refusal.starts_with("HTTP/1.1 503") && refusal.contains("retry-after: 0.2"),
        "{refusal}"
    );
    assert_eq!(ends(&mut seen), [false; 0]);
    send_raw(&mut kept, &path, "id-1").await;
    assert_eq!(read_head(&mut kept).await, refusal);
    assert!(read_head(&mut kept).await.starts_with("HTTP/1.1 200"));
    // The same request on another connection is run, and only its first refusal was one.
    let mut other = TcpStream::connect(upstream.address()).await.expect("a connection");
    send_raw(&mut other, &path, "id-1").await;
    assert!(read_head(&mut other).await.starts_with("HTTP/1.1 200"));
    tokio::time::sleep(LIMIT / 10).await;
    assert_eq!(ends(&mut seen), [true; 2]);
}

#[tokio::test]
async fn upstream_odd_answers_to_resumed_streams_dont_complete_them() {
    let (upstream, mut seen) = engine().await;
    load(&upstream, "m0").await;
    let path = format!("{RESUMABLE_PREFIX}3x1");
    let odd_answers = {
        use ResumeAnswer::*;
        [NoBytes, NoChunks, NoContent, Text, EventAndHead, ClosedHead, ErrorEvent]
    };
    for answer in odd_answers {
        upstream.set_fault(None);
        request(&upstream, &path, &[]).await.expect("an answer without a fault");
        upstream.set_fault(Some(UpstreamFault::Resumes(answer)));
        request(&upstream, &path, &[]).await.expect("a request that isn't affected");
        let broken = request(&upstream, &path, &[]).await.expect("a part");
        assert!(!broken.complete && broken.text().starts_with("id: 1\n"), "{answer:?}");
        let resumed = [("last-event-id", "1")];
        request(&upstream, &path, &resumed).await.expect("a request that isn't affected");
        let odd = request(&upstream, &path, &resumed).await.expect("an odd answer");
        assert!(odd.status.is_success() && odd.complete, "{answer:?}");
        let events = usize::from(answer == ResumeAnswer::EventAndHead);
        assert_eq!(odd.text().matches("id:").count(), events, "{answer:?}: {}", odd.text());
        let is_empty = {
            use ResumeAnswer::*;
            matches!(answer, NoBytes | NoChunks | NoContent)
        };
        assert_eq!(odd.text().is_empty(), is_empty, "{answer:?}");
        // With nothing left to send, an empty answer is right.
        let end = [("last-event-id", "3")];
        request(&upstream, &path, &end).await.expect("a request that isn't affected");
        let end = request(&upstream, &path, &end).await.expect("an answer");
        assert!(end.complete && end.text().is_empty(), "{answer:?}");
        tokio::time::sleep(LIMIT / 10).await;
        let sound = [true, true, false, true, false, true, true];
        assert_eq!(ends(&mut seen), sound, "{answer:?}");
    }
}

#[tokio::test]
async fn upstream_that_stops_in_its_head_sends_the_part_before() {
    let (sink, _seen) = ObservationSink::open();
    let upstream = UpstreamStub::bind("app-0".into(), "app", "z0", sink).await.expect("a port");
    let path = format!("{ONCE_PREFIX}100x20");
    let ends = [
        (HeadPart::HeaderName, "\r\nx-wis"),
        (HeadPart::HeaderLine, "-id: id-1\r\n"),
        (HeadPart::Length, "\r\ncontent-length: 10"),
        (HeadPart::LastBreak, "\r\ncontent-length: 107\r\n"),
        (HeadPart::Unbounded, "\r\ncontent-type: text/plain\r\n\r\n"),
    ];
    for (part, end) in ends {
        for is_reset in [false, true] {
            upstream.set_fault(None);
            request(&upstream, &path, &[(TARGET, "app-0")]).await.expect("an answer");
            upstream.set_fault(Some(UpstreamFault::StopsInHead { part, is_reset }));
            let mut stream = TcpStream::connect(upstream.address()).await.expect("a connection");
            for is_affected in [false, true] {
                send_raw(&mut stream, &path, "id-1").await;
                let head = read_head(&mut stream).await;
                match is_affected {
                    true => assert!(head.ends_with(end), "{part:?}: {head:?}"),
                    false => assert!(head.ends_with("\r\n\r\n"), "{part:?}: {head:?}"),
                }
                let mut body = [0; 107];
                let rest = stream.read_exact(&mut body).await;
                assert_eq!(rest.is_err(), is_affected, "{part:?}");
            }
        }
    }
}
