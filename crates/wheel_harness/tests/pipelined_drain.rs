//! Requests that wait on their connection behind one that an instance handles when it is terminated.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use support::{LIMIT, booking_runs, engine_runs, owner_of, set_faults, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheel_harness::{ClusterSettings, LocalCluster, ProcessSignal};

/// Time between the requests and the signal.
const READ_TIME: Duration = Duration::from_millis(200);

/// Settings with a drain limit in seconds, and an engine that sends a token each 20 ms.
fn drain_limit(limit_s: &str) -> ClusterSettings {
    let mut settings = ClusterSettings::default();
    settings.daemon_flags.extend(["--drain-limit", limit_s].map(str::to_owned));
    settings.engine_flags = ["--token-us", "20000", "--load-ms", "100"].map(str::to_owned).into();
    settings.preload = vec!["engine-a=guide".to_owned()];
    settings
}

fn post(path: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: h\r\n{more}content-length: {length}\r\n\r\n{body}")
}

fn booking(key: &str) -> String {
    let more =
        format!("wheel-caller: hotel\r\nidempotency-key: {key}\r\nwheel-deadline-ms: 30000\r\n");
    post("/booking/seats", &more, "{}")
}

/// Sends two requests on one connection.
async fn send(at: SocketAddr, first: &str, second: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let requests = [first, second].concat();
    stream.write_all(requests.as_bytes()).await.expect("sent requests");
    stream
}

/// Terminates an instance, and returns what it sends on `stream`.
async fn terminate(cluster: &LocalCluster, index: usize, mut stream: TcpStream) -> String {
    tokio::time::sleep(READ_TIME).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    let mut answers = Vec::new();
    let reading = stream.read_to_end(&mut answers);
    tokio::time::timeout(LIMIT, reading).await.expect("an end").expect("no reset");
    String::from_utf8_lossy(&answers).into_owned()
}

/// Has the booking services answer after `delay_ms`.
async fn delay_bookings(cluster: &LocalCluster, delay_ms: u64) {
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(cluster, upstream, json!({ "answer_delay_ms": delay_ms })).await;
    }
}

async fn wait_for_booking(cluster: &LocalCluster) {
    let running = cluster.wait_until("the booking at its service", LIMIT, || async {
        (booking_runs(cluster).await == 1).then_some(())
    });
    running.await.expect("a running booking");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_booking_behind_a_late_one_is_answered() {
    let cluster = start(drain_limit("8")).await;
    delay_bookings(&cluster, 1_500).await;
    let at = cluster.instances[0].ports.callers;
    let stream = send(at, &booking("first"), &booking("second")).await;
    wait_for_booking(&cluster).await;
    let answers = terminate(&cluster, 0, stream).await;
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "{answers}");
    assert!(answers.contains("wheel-outcome: ran"), "{answers}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_request_behind_a_stream_is_answered() {
    let cluster = start(drain_limit("8")).await;
    let index = owner_of(&cluster, cluster.instances[0].ports.operators, "engine-a").await;
    // The stream takes 2 s.
    let body =
        json!({ "model": "guide", "stream": true, "max_tokens": 100, "messages": [] }).to_string();
    let more = "wheel-caller: desk\r\nwheel-deadline-ms: 20000\r\n";
    let models = "GET /v1/models HTTP/1.1\r\nhost: h\r\nwheel-caller: desk\r\n\r\n";
    let at = cluster.instances[index].ports.callers;
    let stream = send(at, &post("/v1/chat/completions", more, &body), models).await;
    let running = cluster.wait_until("the stream at its engine", LIMIT, || async {
        (engine_runs(&cluster).await.len() == 1).then_some(())
    });
    running.await.expect("a running stream");
    let answers = terminate(&cluster, index, stream).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert!(answers.contains("data: [DONE]"), "{answers}");
}

/// The first booking may have run. The second one never runs, and its caller may send it elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn drain_booking_behind_an_unanswered_one_is_refused() {
    let cluster = start(drain_limit("2")).await;
    delay_bookings(&cluster, 40_000).await;
    let at = cluster.instances[0].ports.callers;
    let stream = send(at, &booking("first"), &booking("second")).await;
    wait_for_booking(&cluster).await;
    let answers = terminate(&cluster, 0, stream).await;
    assert!(answers.starts_with("HTTP/1.1 502"), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 503").count(), 1, "{answers}");
    assert!(answers.contains("wheel-outcome: not-run"), "{answers}");
    assert_eq!(booking_runs(&cluster).await, 1);
}
