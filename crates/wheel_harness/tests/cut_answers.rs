//! Upstreams of whole processes that stop anywhere in their answers, or answer with something else: a
//! caller gets the whole answer, or one that doesn't look complete.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::json;
use support::scripted_upstream::{ScriptedUpstream, start_scripted as start};
use support::{assert_whole, engine_runs, generate, neighbour, owner_of, preloaded, token_indexes};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_harness::{ClusterSettings, HttpReply, LocalCluster};

const HEAD: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\n";
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";

/// A system whose only engine with the model is scripted, and where callers are served: at its owner,
/// and at an instance that relays.
async fn start_engine() -> (LocalCluster, ScriptedUpstream, [SocketAddr; 2]) {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let (cluster, engine) = start("engine-a", "POST /v1/", settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let relaying = neighbour(&cluster, owner);
    let at = [owner, relaying].map(|index| cluster.instances[index].ports.callers);
    (cluster, engine, at)
}

/// One event with the token `index` of the request.
fn token(index: u64, is_last: bool) -> String {
    let choice = json!({ "index": 0, "delta": { "content": " w" },
        "finish_reason": if is_last { json!("length") } else { json!(null) } });
    let event = json!({ "id": "ID", "choices": [choice], "wheel": { "index": index } });
    format!("data: {event}\n\n")
}

/// An answer whose body ends with its connection.
fn closed(body: &str) -> String {
    format!("{HEAD}content-type: text/event-stream\r\n\r\n{body}")
}

/// Sends sound requests, each of which gives an instance a part of a retry back.
async fn refill_budget(cluster: &LocalCluster, at: SocketAddr, requests: u64) {
    for _ in 0..requests {
        assert_whole(&generate(&cluster.client, at, "guide", 1, 20_000).await, 1);
    }
}

/// What an engine may answer to the rest of a stream that isn't the rest.
fn wrong_rests() -> Vec<(&'static str, String)> {
    let error = "event: error\ndata: {\"error\":{\"message\":\"upstream failed\"}}\n\n";
    let end = "data: [DONE]\n\n";
    let sized = |body: &str| {
        let head = format!("{HEAD}content-type: text/event-stream\r\n");
        format!("{head}content-length: {}\r\n\r\n{body}", body.len())
    };
    vec![
        ("nothing, with a length", sized("")),
        ("nothing, in chunks", format!("{HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n")),
        ("nothing, and a close", closed("")),
        ("no body", format!("{HEAD}\r\n").replace("200 OK", "204 No Content")),
        ("the end alone", sized(end)),
        ("text", sized("upstream failed\n\n")),
        ("text and the end", sized(&format!("upstream failed\n\n{end}"))),
        ("a head", sized(FAILURE)),
        ("a head and the end", sized(&format!("{FAILURE}{end}"))),
        ("an error event and the end", sized(&format!("{error}{end}"))),
        ("another content", sized("{}").replace("text/event-stream", "application/json")),
        ("a cut head", HEAD.to_owned()),
        ("a failure", FAILURE.replace("\r\n\r\n", "\r\nwheel-request-id: ID\r\n\r\n")),
    ]
}

/// The owner of the engine serves the caller itself, so that both runs need a slot of one queue.
#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_at_its_only_engine_goes_on_there() {
    let (cluster, engine, at) = start_engine().await;
    for at in at {
        engine.answer_with([closed(&(token(0, false) + &token(1, false)))]);
        let reply = generate(&cluster.client, at, "guide", 5, 20_000).await;
        assert_whole(&reply, 5);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_with_something_else_goes_on_to_its_last_token() {
    let (cluster, engine, at) = start_engine().await;
    for (name, wrong) in wrong_rests() {
        for at in at {
            engine.answer_with([closed(&(token(0, false) + &token(1, false))), wrong.clone()]);
            let reply = generate(&cluster.client, at, "guide", 5, 20_000).await;
            assert_eq!(token_indexes(&reply), [0, 1, 2, 3, 4], "{name}: {}", reply.text());
            assert_whole(&reply, 5);
            assert!(!reply.text().contains("upstream failed"), "{name}: {}", reply.text());
            assert!(engine.is_used_up(), "{name}");
            refill_budget(&cluster, at, 15).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_begins_with_something_else_is_sent_again() {
    let (cluster, engine, at) = start_engine().await;
    for (name, wrong) in wrong_rests() {
        for at in at {
            engine.answer_with([wrong.clone()]);
            let reply = generate(&cluster.client, at, "guide", 5, 20_000).await;
            assert_eq!(reply.status.as_u16(), 200, "{name}: {}", reply.text());
            assert_whole(&reply, 5);
            assert!(engine.is_used_up(), "{name}");
            refill_budget(&cluster, at, 5).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_with_an_end_marker_before_its_last_token_never_looks_complete() {
    let (cluster, engine, at) = start_engine().await;
    for at in at {
        let early = closed(&format!("{}data: [DONE]\n\n", token(0, false)));
        let again = closed("data: [DONE]\n\n");
        engine.answer_with([early].into_iter().chain(std::iter::repeat_n(again, 20)));
        let reply = generate(&cluster.client, at, "guide", 5, 20_000).await;
        let is_success = reply.complete && reply.status.is_success();
        assert!(!is_success && !reply.text().contains("[DONE]"), "{}", reply.text());
        engine.forget_script();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_after_its_last_token_is_complete_without_another_run() {
    let (cluster, engine, at) = start_engine().await;
    for at in at {
        engine.answer_with([closed(&(token(0, false) + &token(1, true)))]);
        let reply = generate(&cluster.client, at, "guide", 5, 20_000).await;
        assert_whole(&reply, 2);
    }
    let runs = engine_runs(&cluster).await;
    assert!(runs.is_empty(), "the engine was asked again for nothing: {runs:?}");
}

/// Sends a call to the plain service.
async fn call_service(cluster: &LocalCluster, at: SocketAddr, method: Method) -> HttpReply {
    let headers = [("wheel-caller", "hotel")];
    cluster.client.call(method, at, "/booking/seats", &headers, "").await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_cut_before_its_body_is_a_whole_failure() {
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let cuts = [
        ("in the head", HEAD.to_owned()),
        ("in a length", format!("{HEAD}content-length: 1")),
        ("without a marked end", format!("{HEAD}\r\n")),
        ("before a body with a length", format!("{HEAD}content-length: 9\r\n\r\n")),
        ("before the first chunk", chunked.clone()),
        ("in the first chunk's size", format!("{chunked}9")),
        ("with another coding", format!("{HEAD}transfer-encoding: gzip\r\n\r\nabc")),
    ];
    let (cluster, service) = start("bookings-a", "POST /", ClusterSettings::default()).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "bookings-a").await;
    for index in [owner, neighbour(&cluster, owner)] {
        let at = cluster.instances[index].ports.callers;
        for (place, cut) in &cuts {
            service.answer_with([cut.clone()]);
            // The call may also go to the other upstream of the service, which answers it.
            while !service.is_used_up() {
                let reply = call_service(&cluster, at, Method::POST).await;
                if service.is_used_up() {
                    assert!(reply.complete, "{place}: a whole answer is still possible");
                    assert_eq!(reply.status.as_u16(), 502, "{place}: {}", reply.text());
                    assert_eq!(reply.header("wheel-outcome"), "unknown", "{place}");
                }
            }
        }
    }
}

/// Only the end of the connection ends such an answer, so that an orderly one would make a part look
/// like the whole.
#[tokio::test(flavor = "multi_thread")]
async fn stream_for_http_10_from_a_killed_process_is_reset() {
    let settings = preloaded(&["engine-a=guide"], "20000");
    let (mut cluster, _engine) = start("engine-a", "POST /v1/", settings).await;
    let mut stream =
        TcpStream::connect(cluster.instances[0].ports.callers).await.expect("a connection");
    let body = json!({ "model": "guide", "stream": true, "max_tokens": 500, "messages": [] });
    let body = body.to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nhost: h\r\nwheel-caller: desk\r\n\
         wheel-deadline-ms: 20000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains("\"index\":2}") {
        let reading = tokio::time::timeout(Duration::from_secs(30), stream.read_buf(&mut answer));
        let read = reading.await.expect("a token in time").expect("a token");
        assert!(read > 0, "ended after {}", String::from_utf8_lossy(&answer));
    }
    cluster.instances[0].kill();
    let end = stream.read_to_end(&mut answer).await;
    let error = end.expect_err("a part looks like the whole");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
