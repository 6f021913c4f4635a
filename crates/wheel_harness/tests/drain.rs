//! Answers that callers and operators get from an instance that is terminated while it handles
//! their requests.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;
use support::{
    LIMIT, book, booking_runs, engine_runs, generate, neighbour, owner_of, set_faults, start,
};
use tokio::task::JoinHandle;
use wheel_harness::{ClusterSettings, HttpReply, LocalCluster, ProcessSignal};
use wheel_types::CentreName;

/// Drain limit in the settings of these processes, counted from the signal.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for the rest of a shutdown, sized for a busy machine.
const END_TIME: Duration = Duration::from_secs(8);

/// Settings with a short drain limit, and with loads that don't finish during a test.
fn short_drain() -> ClusterSettings {
    let mut settings = ClusterSettings::default();
    settings.daemon_flags.extend(["--drain-limit".to_owned(), "2".to_owned()]);
    settings.engine_flags = ["--token-us", "2000", "--load-ms", "60000"].map(str::to_owned).into();
    settings
}

/// Settings with a drain limit that is longer than any test.
fn long_drain() -> ClusterSettings {
    let mut settings = short_drain();
    settings.daemon_flags.truncate(settings.daemon_flags.len() - 2);
    settings
}

/// Sends a request for a model that won't be loaded in time, and returns once it is queued.
async fn generate_cold(cluster: &LocalCluster, at: SocketAddr) -> JoinHandle<HttpReply> {
    let client = cluster.client.clone();
    let pending = tokio::spawn(async move { generate(&client, at, "guide", 5, 40_000).await });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(!pending.is_finished(), "it must wait for a load");
    pending
}

fn assert_refused(reply: &HttpReply) {
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{}", reply.text());
    assert_eq!(reply.header("wheel-outcome"), "not-run");
    let wait: u64 = reply.header("retry-after").parse().expect("a number of seconds");
    assert!(wait >= 1);
}

/// The index of the instance called `name`.
fn index_of(cluster: &LocalCluster, name: &str) -> usize {
    let index = cluster.instances.iter().position(|one| one.name.as_str() == name);
    index.expect("an instance of the manifest")
}

/// Waits for the process at `index` to exit and returns its exit code.
fn end_code(cluster: &mut LocalCluster, index: usize) -> Option<i32> {
    let process = cluster.instances[index].process().expect("a process");
    process.wait(DRAIN_LIMIT + END_TIME).expect("an exit").code()
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_generation_waiting_for_a_load_is_refused_before_the_process_ends() {
    let mut cluster = start(short_drain()).await;
    let pending = generate_cold(&cluster, cluster.instances[0].ports.callers).await;
    let began = Instant::now();
    cluster.instances[0].signal(ProcessSignal::Terminate);
    assert_refused(&pending.await.expect("an answer before the process ends"));
    assert!(began.elapsed() >= DRAIN_LIMIT, "it may be served until the drain limit");
    assert_eq!(end_code(&mut cluster, 0), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_refuses_a_generation_waiting_for_a_load() {
    let mut cluster = start(long_drain()).await;
    let pending = generate_cold(&cluster, cluster.instances[0].ports.callers).await;
    cluster.instances[0].signal(ProcessSignal::Terminate);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(!pending.is_finished(), "the drain has time");
    cluster.instances[0].signal(ProcessSignal::Terminate);
    assert_refused(&pending.await.expect("an answer before the process ends"));
    assert_eq!(end_code(&mut cluster, 0), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_shorter_than_any_load_refuses_a_waiting_generation_at_once() {
    // With this value, even the fastest load takes 4 s.
    let manifest = include_str!("../../../examples/minimal.toml");
    let manifest = manifest.replace("load_ms = 2000", "load_ms = 200000");
    let mut cluster = support::start_manifest(&manifest, short_drain()).await;
    let pending = generate_cold(&cluster, cluster.instances[0].ports.callers).await;
    let began = Instant::now();
    cluster.instances[0].signal(ProcessSignal::Terminate);
    assert_refused(&pending.await.expect("an answer before the process ends"));
    assert!(began.elapsed() < DRAIN_LIMIT, "refused after {:?}", began.elapsed());
    assert_eq!(end_code(&mut cluster, 0), Some(0));
}

/// Sends a booking to `at` that its service doesn't answer, and returns once the service runs it.
async fn book_silent(cluster: &LocalCluster, at: SocketAddr) -> JoinHandle<Option<HttpReply>> {
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(cluster, upstream, json!({ "answer_delay_ms": 40_000 })).await;
    }
    let client = cluster.client.clone();
    let headers =
        [("wheel-caller", "hotel"), ("idempotency-key", "seat"), ("wheel-deadline-ms", "30000")];
    let booked = tokio::spawn(async move {
        client.call(Method::POST, at, "/booking/seats", &headers, "{}").await.ok()
    });
    cluster
        .wait_until("the call at the fake", LIMIT, || async {
            (booking_runs(cluster).await == 1).then_some(())
        })
        .await
        .expect("a running call");
    booked
}

/// Asserts that the outcome of the booking is reported as unknown, and that it never runs again.
async fn assert_unknown(
    cluster: &LocalCluster,
    booked: JoinHandle<Option<HttpReply>>,
    at: SocketAddr,
) {
    let reply = booked.await.expect("the call's task").expect("an answer before the process ends");
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{}", reply.text());
    assert_eq!(reply.header("wheel-outcome"), "unknown");
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(cluster, upstream, json!({})).await;
    }
    let again = book(&cluster.client, at, "seat", "{}").await;
    assert_eq!(again.header("wheel-outcome"), "unknown", "{}", again.text());
    assert_eq!(booking_runs(cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_booking_relayed_to_a_silent_upstream_is_answered_as_unknown() {
    // Data centre c has no booking service, so the owner is in another one.
    let mut cluster = start(short_drain()).await;
    let index = index_of(&cluster, "c2");
    let booked = book_silent(&cluster, cluster.instances[index].ports.callers).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    let other = cluster.instance("c1").ports.callers;
    assert_unknown(&cluster, booked, other).await;
    assert_eq!(end_code(&mut cluster, index), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_answers_a_booking_at_a_silent_upstream_as_unknown() {
    let mut cluster = start(long_drain()).await;
    let seen_at = cluster.instances[0].ports.operators;
    let index = owner_of(&cluster, seen_at, "bookings-a").await;
    let booked = book_silent(&cluster, cluster.instances[index].ports.callers).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(!booked.is_finished(), "the drain has time");
    cluster.instances[index].signal(ProcessSignal::Terminate);
    let other = cluster.instances[neighbour(&cluster, index)].ports.callers;
    assert_unknown(&cluster, booked, other).await;
    assert_eq!(end_code(&mut cluster, index), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_owner_with_a_relayed_booking_has_its_ingress_answer_unknown() {
    let mut cluster = start(short_drain()).await;
    let seen_at = cluster.instances[0].ports.operators;
    let index = owner_of(&cluster, seen_at, "bookings-a").await;
    let ingress = cluster.instances[neighbour(&cluster, index)].ports.callers;
    let booked = book_silent(&cluster, ingress).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    assert_unknown(&cluster, booked, ingress).await;
    assert_eq!(end_code(&mut cluster, index), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_stream_beyond_the_limit_ends_with_the_error_event() {
    let mut settings = short_drain();
    settings.engine_flags = ["--token-us", "20000", "--load-ms", "100"].map(str::to_owned).into();
    settings.preload = vec!["engine-a=guide".to_owned()];
    let mut cluster = start(settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    let index = owner_of(&cluster, seen_at, "engine-a").await;
    let (at, client) = (cluster.instances[index].ports.callers, cluster.client.clone());
    // The stream takes 20 s.
    let stream = tokio::spawn(async move { generate(&client, at, "guide", 1_000, 20_000).await });
    tokio::time::sleep(Duration::from_millis(900)).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    let reply = stream.await.expect("the stream's task");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    assert!(!reply.complete, "a partial answer must not look complete");
    let last = reply.text().lines().rfind(|line| line.starts_with("data: ")).map(str::to_owned);
    let last = last.expect("an event");
    assert!(last.contains("\"error\"") && last.contains("unknown"), "{last}");
    assert_eq!(end_code(&mut cluster, index), Some(3));
}

/// Sends a request for a stream to `at` whose engine sends the head of its answer and no token, and
/// returns once the engine runs it.
async fn generate_without_token(cluster: &LocalCluster, at: SocketAddr) -> JoinHandle<HttpReply> {
    let client = cluster.client.clone();
    let stream = tokio::spawn(async move { generate(&client, at, "guide", 5, 30_000).await });
    cluster
        .wait_until("the stream at the engine", LIMIT, || async {
            (engine_runs(cluster).await.len() == 1).then_some(())
        })
        .await
        .expect("a running stream");
    stream
}

/// Settings of engines that take 60 s for each token.
fn without_tokens(mut settings: ClusterSettings) -> ClusterSettings {
    settings.engine_flags =
        ["--token-us", "60000000", "--load-ms", "60000"].map(str::to_owned).into();
    settings.preload = vec!["engine-a=guide".to_owned()];
    settings
}

/// Asserts that a stream without a token got an answer of its own, and not the head of a stream.
fn assert_unknown_stream(reply: &HttpReply) {
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{}", reply.text());
    assert_eq!(reply.header("wheel-outcome"), "unknown");
    assert!(reply.complete, "a whole answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_stream_without_a_token_is_answered_as_unknown() {
    let mut cluster = start(without_tokens(short_drain())).await;
    let seen_at = cluster.instances[0].ports.operators;
    let index = owner_of(&cluster, seen_at, "engine-a").await;
    let stream = generate_without_token(&cluster, cluster.instances[index].ports.callers).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    assert_unknown_stream(&stream.await.expect("an answer before the process ends"));
    assert_eq!(end_code(&mut cluster, index), Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_answers_a_relayed_stream_without_a_token() {
    let mut cluster = start(without_tokens(long_drain())).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let index = neighbour(&cluster, owner);
    let stream = generate_without_token(&cluster, cluster.instances[index].ports.callers).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(!stream.is_finished(), "the drain has time");
    cluster.instances[index].signal(ProcessSignal::Terminate);
    assert_unknown_stream(&stream.await.expect("an answer before the process ends"));
    assert_eq!(end_code(&mut cluster, index), Some(3));
}

/// Sends a manifest change to `at`, and returns while it is pending.
async fn apply_held(cluster: &LocalCluster, at: SocketAddr) -> JoinHandle<Option<HttpReply>> {
    let source = format!("{}\n# edited\n", cluster.source);
    let client = cluster.client.clone();
    let headers = [("if-match", "\"1\""), ("idempotency-key", "edit")];
    let applied = tokio::spawn(async move {
        client.call(Method::PUT, at, "/admin/v1/text", &headers, source).await.ok()
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    if applied.is_finished() {
        let reply = applied.await.expect("the call's task");
        let reply = reply.map(|reply| format!("{} {}", reply.status, reply.text()));
        let logs =
            cluster.instances.iter().map(|one| (one.log(), std::fs::read_to_string(one.log())));
        for (path, log) in logs {
            println!("{path:?}:\n{}", log.unwrap_or_default());
        }
        panic!("no quorum can commit it, and it is answered: {reply:?}");
    }
    applied
}

/// Sends a signal to all control instances other than `index`.
fn signal_others(cluster: &LocalCluster, index: usize, signal: ProcessSignal) {
    for (other, instance) in cluster.instances.iter().enumerate() {
        if other != index && instance.folder.is_some() {
            instance.signal(signal);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_operators_change_without_a_quorum_is_answered_before_the_process_ends() {
    let mut cluster = start(short_drain()).await;
    let index = cluster.instances.iter().position(|one| one.folder.is_some()).expect("control");
    signal_others(&cluster, index, ProcessSignal::Stop);
    let applied = apply_held(&cluster, cluster.instances[index].ports.operators).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    let reply = applied.await.expect("the call's task");
    signal_others(&cluster, index, ProcessSignal::Continue);
    let reply = reply.expect("an answer before the process ends");
    assert!(reply.status.is_server_error(), "{} {}", reply.status, reply.text());
    assert_eq!(end_code(&mut cluster, index), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_operators_change_committed_meanwhile_is_acknowledged() {
    let mut cluster = start(long_drain()).await;
    let index = cluster.instances.iter().position(|one| one.folder.is_some()).expect("control");
    signal_others(&cluster, index, ProcessSignal::Stop);
    let applied = apply_held(&cluster, cluster.instances[index].ports.operators).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    tokio::time::sleep(Duration::from_millis(900)).await;
    signal_others(&cluster, index, ProcessSignal::Continue);
    let reply = applied.await.expect("the call's task").expect("an answer");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    assert_eq!(end_code(&mut cluster, index), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_answers_an_operators_change() {
    let mut cluster = start(long_drain()).await;
    let index = cluster.instances.iter().position(|one| one.folder.is_some()).expect("control");
    signal_others(&cluster, index, ProcessSignal::Stop);
    let applied = apply_held(&cluster, cluster.instances[index].ports.operators).await;
    cluster.instances[index].signal(ProcessSignal::Terminate);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let began = Instant::now();
    cluster.instances[index].signal(ProcessSignal::Terminate);
    let reply = applied.await.expect("the call's task");
    signal_others(&cluster, index, ProcessSignal::Continue);
    let reply = reply.expect("an answer before the process ends");
    assert!(reply.status.is_server_error(), "{} {}", reply.status, reply.text());
    assert!(began.elapsed() < Duration::from_secs(2), "after {:?}", began.elapsed());
    end_code(&mut cluster, index);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_booking_refused_as_not_run_gives_its_claim_up() {
    // Without an upstream, the booking is claimed and then queued.
    let absent_centres = ["a", "b"].map(CentreName::new).into();
    let settings = ClusterSettings { control: 1, absent_centres, ..short_drain() };
    let mut cluster = start(settings).await;
    let index = index_of(&cluster, "c2");
    let at = cluster.instances[index].ports.callers;
    let client = cluster.client.clone();
    let headers =
        [("wheel-caller", "hotel"), ("idempotency-key", "seat"), ("wheel-deadline-ms", "30000")];
    let booked = tokio::spawn(async move {
        client.call(Method::POST, at, "/booking/seats", &headers, "{}").await.ok()
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(!booked.is_finished(), "it must wait for an upstream");
    cluster.instances[index].signal(ProcessSignal::Terminate);
    // The group is unavailable when the answer is sent, and available again a second later.
    tokio::time::sleep(DRAIN_LIMIT - Duration::from_millis(200)).await;
    let control = index_of(&cluster, "c1");
    cluster.instances[control].kill();
    let reply = booked.await.expect("the call's task").expect("an answer");
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.instances[control].start().expect("a restart");
    assert_refused(&reply);
    assert_eq!(end_code(&mut cluster, index), Some(3));
    let other = cluster.instance("c1").ports.callers;
    let headers =
        [("wheel-caller", "hotel"), ("idempotency-key", "seat"), ("wheel-deadline-ms", "3000")];
    let resent = cluster
        .wait_until("the resend's answer", LIMIT, || async {
            let call = cluster.client.call(Method::POST, other, "/booking/seats", &headers, "{}");
            let reply = call.await.ok()?;
            // Until it has a manifest and a leader, it serves nothing.
            (reply.status != StatusCode::SERVICE_UNAVAILABLE).then_some(reply)
        })
        .await
        .expect("an answer");
    assert_eq!(resent.header("wheel-outcome"), "not-run", "{}", resent.text());
}
