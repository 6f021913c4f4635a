//! Headers that only this system sets, in a plain service's answer or a caller's request.
//!
//! An owner passes a service's answer on to the instance that relayed the call, and both use headers of
//! their own for it. A service that sets one, or repeats one that its caller sent, must not speak for the
//! owner: a call that ran would be sent again.

#![allow(clippy::expect_used)]

mod support;

use http::Method;
use serde_json::json;
use support::scripted_upstream::{ScriptedUpstream, start_scripted};
use support::{booking_runs, neighbour, owner_of};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_harness::{ClusterSettings, HttpReply, LocalCluster};

/// Headers with which instances and callers speak of a call's outcome.
const SYSTEM_HEADERS: [(&str, &str); 5] = [
    ("wheel-relay", "{}"),
    ("wheel-relay-code", "0"),
    ("wheel-relay-refusal", "1"),
    ("wheel-outcome", "not-run"),
    ("wheel-replayed", "1"),
];

/// A system, its scripted service, and the indexes of an instance that relays to that service's owner
/// and of the owner.
async fn start() -> (LocalCluster, ScriptedUpstream, [usize; 2]) {
    let settings = ClusterSettings::default();
    let (cluster, service) = start_scripted("bookings-a", "POST /", settings).await;
    let owner = owner_of(&cluster, cluster.instances[0].ports.operators, "bookings-a").await;
    let relaying = neighbour(&cluster, owner);
    (cluster, service, [relaying, owner])
}

/// An answer of the service with a refusal in its body.
fn answer(status: &str, header: &str, code: &str) -> String {
    let body = json!({ "code": code, "message": "m", "outcome": "not-run", "retry_after_ms": 10 });
    let body = body.to_string();
    format!(
        "HTTP/1.1 {status}\r\nwheel-request-id: ID\r\n{header}: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Makes calls with the headers of the system until the script is used up; the reply to the last one.
async fn call_until_used_up(
    cluster: &LocalCluster,
    service: &ScriptedUpstream,
    index: usize,
) -> (HttpReply, u64) {
    let at = cluster.instances[index].ports.callers;
    let headers: Vec<_> = [("wheel-caller", "hotel")].into_iter().chain(SYSTEM_HEADERS).collect();
    loop {
        let runs_before = booking_runs(cluster).await;
        // The call may also go to the other upstream of the service, which answers it.
        let reply = cluster.client.call(Method::POST, at, "/booking/seats", &headers, "").await;
        let reply = reply.expect("an answer");
        if service.is_used_up() {
            return (reply, booking_runs(cluster).await - runs_before);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_marked_as_a_refusal_is_still_the_services() {
    let (cluster, service, at) = start().await;
    for index in at {
        for code in ["elsewhere", "overloaded", "upstream-failed", "no-such-code"] {
            for (status, outcome) in [("200 OK", "ran"), ("500 Failed", "unknown")] {
                let place = format!("{code} with {status} at {index}");
                service.answer_with([answer(status, "wheel-relay-refusal", code)]);
                let (reply, other_runs) = call_until_used_up(&cluster, &service, index).await;
                assert_eq!(other_runs, 0, "{place}: sent again: {}", reply.text());
                assert_eq!(reply.status.as_str(), &status[..3], "{place}: {}", reply.text());
                assert_eq!(reply.header("wheel-outcome"), outcome, "{place}");
                assert!(reply.text().contains(code), "{place}: {}", reply.text());
                assert_eq!(reply.header("wheel-relay-refusal"), "", "{place}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answer_isnt_marked_as_recorded_by_its_service() {
    let (cluster, service, at) = start().await;
    for index in at {
        service.answer_with([answer("200 OK", "wheel-replayed", "elsewhere")]);
        let (reply, _) = call_until_used_up(&cluster, &service, index).await;
        assert_eq!((reply.status.as_u16(), reply.header("wheel-replayed")), (200, ""));
    }
}

/// A service that repeats what it was sent would otherwise answer that it hasn't run the call.
#[tokio::test(flavor = "multi_thread")]
async fn plain_call_carries_no_header_of_the_system_from_its_caller() {
    let (cluster, service, at) = start().await;
    for index in at {
        service.answer_with([answer("200 OK", "x-own", "elsewhere")]);
        let (reply, _) = call_until_used_up(&cluster, &service, index).await;
        assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    }
    for request in service.requests() {
        for (name, _) in SYSTEM_HEADERS {
            assert!(!request.contains(&format!("{name}: ")), "{request}");
        }
    }
}

/// A call that the owner can't authenticate hasn't run, and its answer isn't a service's.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_call_of_another_group_is_refused_as_not_run() {
    let (cluster, _service, [_, owner]) = start().await;
    let mut stream =
        TcpStream::connect(cluster.instances[owner].ports.relay).await.expect("a connection");
    let request = "POST /seats HTTP/1.1\r\nhost: h\r\nwheel-request-id: r-1\r\n\
                   connection: close\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    for line in ["HTTP/1.1 403", "wheel-relay-refusal: 1", "wheel-outcome: not-run"] {
        assert!(answer.contains(line), "{answer}");
    }
}

/// The owner's relay has paths of its own, with which instances probe connections and cancel calls.
#[tokio::test(flavor = "multi_thread")]
async fn plain_call_with_a_path_of_the_relay_reaches_its_service() {
    let (cluster, _service, at) = start().await;
    let headers = [("wheel-caller", "hotel")];
    let calls = [(Method::POST, "/engine/v1/cancel"), (Method::GET, "/engine/v1/load")];
    for (index, (method, path)) in
        at.into_iter().flat_map(|index| calls.clone().map(|call| (index, call)))
    {
        let at = cluster.instances[index].ports.callers;
        let reply = cluster
            .client
            .call(method, at, &format!("/booking{path}"), &headers, "")
            .await
            .expect("an answer");
        assert_eq!(reply.json()["path"], path, "at {index}: {}", reply.text());
    }
}
