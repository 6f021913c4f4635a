//! What callers and operators get from an instance that is told to end while it has their requests.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use support::{ask, start};
use tokio::task::JoinHandle;
use wheel_harness::{ClusterSettings, HttpReply, LocalCluster, ProcessSignal};

/// Time from a signal to the end of the drain, in the settings of these processes.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time that the rest of an end takes, on a busy machine.
const END_TIME: Duration = Duration::from_secs(8);

/// Settings with a short drain; loads that engines begin don't end.
fn short_drain() -> ClusterSettings {
    let mut settings = ClusterSettings::default();
    settings.daemon_flags.extend(["--drain-limit".to_owned(), "2".to_owned()]);
    settings.engine_flags = ["--token-us", "2000", "--load-ms", "60000"].map(str::to_owned).into();
    settings
}

/// Settings with a drain that is longer than any test.
fn long_drain() -> ClusterSettings {
    let mut settings = short_drain();
    settings.daemon_flags.truncate(settings.daemon_flags.len() - 2);
    settings
}

/// Asks for a model that isn't loaded in time, and waits until the request waits.
async fn ask_cold(cluster: &LocalCluster, at: SocketAddr) -> JoinHandle<HttpReply> {
    let caller = cluster.caller.clone();
    let asked = tokio::spawn(async move { ask(&caller, at, "guide", 5, 40_000).await });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(!asked.is_finished(), "it waits for a load");
    asked
}

fn assert_refused(reply: &HttpReply) {
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{}", reply.text());
    assert_eq!(reply.header("wheel-outcome"), "not-run");
    let wait: u64 = reply.header("retry-after").parse().expect("a number of seconds");
    assert!(wait >= 1);
}

/// Waits for the end of the process at `place` and returns its code.
fn end_code(cluster: &mut LocalCluster, place: usize) -> Option<i32> {
    let process = cluster.instances[place].process().expect("a process");
    process.wait(DRAIN_LIMIT + END_TIME).expect("an end").code()
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_generation_waiting_for_a_load_is_refused_before_the_process_ends() {
    let mut cluster = start(short_drain()).await;
    let asked = ask_cold(&cluster, cluster.instances[0].ports.callers).await;
    let began = Instant::now();
    cluster.instances[0].signal(ProcessSignal::Terminate);
    assert_refused(&asked.await.expect("an answer before the process ends"));
    assert!(began.elapsed() >= DRAIN_LIMIT, "it may be served as long as the drain has time");
    assert_eq!(end_code(&mut cluster, 0), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_refuses_a_generation_waiting_for_a_load() {
    let mut cluster = start(long_drain()).await;
    let asked = ask_cold(&cluster, cluster.instances[0].ports.callers).await;
    cluster.instances[0].signal(ProcessSignal::Terminate);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(!asked.is_finished(), "the drain has time");
    cluster.instances[0].signal(ProcessSignal::Terminate);
    assert_refused(&asked.await.expect("an answer before the process ends"));
    assert_eq!(end_code(&mut cluster, 0), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_shorter_than_any_load_refuses_a_waiting_generation_at_once() {
    // Even the fastest load takes 4 s then.
    let text = include_str!("../../../examples/minimal.toml");
    let text = text.replace("load_ms = 2000", "load_ms = 200000");
    let mut cluster = support::start_text(&text, short_drain()).await;
    let asked = ask_cold(&cluster, cluster.instances[0].ports.callers).await;
    let began = Instant::now();
    cluster.instances[0].signal(ProcessSignal::Terminate);
    assert_refused(&asked.await.expect("an answer before the process ends"));
    assert!(began.elapsed() < DRAIN_LIMIT, "refused after {:?}", began.elapsed());
    assert_eq!(end_code(&mut cluster, 0), Some(0));
}
