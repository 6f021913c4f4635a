//! Callers that don't read their answers. What is held for them, the slot at the engine too, is needed by others.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use serde_json::json;
use support::{LIMIT, engine_runs, neighbour, owner_of, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};
use wheel_harness::{ClusterSettings, LocalCluster};

/// Deadline of the answer's first byte, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Time after it by which an unread answer must be given up, on a busy machine.
const GIVE_UP_TIME: Duration = Duration::from_secs(10);
/// Receive buffer of a caller that reads nothing, in bytes.
const RECEIVE_BYTES: u32 = 4 << 10;

/// A system whose engine sends more in a request's time than the buffers of a connection hold.
async fn start_fast() -> LocalCluster {
    let settings = ClusterSettings {
        engine_flags: ["--token-us", "200", "--load-ms", "100"].map(str::to_owned).into(),
        preload: vec!["engine-a=guide".to_owned()],
        ..ClusterSettings::default()
    };
    start(settings).await
}

/// Sends a request for a long stream to an instance, and returns its connection once the engine runs it.
async fn send_unread(cluster: &LocalCluster, index: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a receive buffer");
    let at = cluster.instances[index].ports.callers;
    let mut stream = socket.connect(at).await.expect("a connection");
    let body = json!({ "model": "guide", "stream": true, "max_tokens": 500_000, "messages": [] })
        .to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nwheel-caller: desk\r\n\
         wheel-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let running = cluster.wait_until("the stream at its engine", LIMIT, || async {
        (engine_runs(cluster).await.len() == 1).then_some(())
    });
    running.await.expect("a running stream");
    stream
}

/// The value of a metric without labels at an instance.
async fn metric(cluster: &LocalCluster, index: usize, name: &str) -> Option<f64> {
    let at = cluster.instances[index].ports.operators;
    let text = cluster.client.get(at, "/metrics").await.expect("metrics").text().to_owned();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|value| value.parse().ok())
}

async fn expect_given_up(cluster: &LocalCluster, index: usize) {
    let mut stream = send_unread(cluster, index).await;
    let begin = Instant::now();
    assert_eq!(metric(cluster, index, "wheel_requests_open").await, Some(1.0));
    while metric(cluster, index, "wheel_requests_open").await != Some(0.0) {
        let held = begin.elapsed();
        let limit = Duration::from_millis(DEADLINE_MS) + GIVE_UP_TIME;
        assert!(held < limit, "the request is still open after {held:?}");
        sleep(Duration::from_millis(100)).await;
    }
    // A part of an answer doesn't end like a whole one.
    let mut answer = Vec::new();
    let ended = tokio::time::timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    let error = ended.expect("an end").expect_err("a clean end of a part of the answer");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_nobody_reads_is_given_up_after_its_time() {
    let cluster = start_fast().await;
    let seen_at = cluster.instances[0].ports.operators;
    let index = owner_of(&cluster, seen_at, "engine-a").await;
    expect_given_up(&cluster, index).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relayed_stream_that_nobody_reads_is_given_up_after_its_time() {
    let cluster = start_fast().await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    expect_given_up(&cluster, neighbour(&cluster, owner)).await;
}
