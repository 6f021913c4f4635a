//! Helpers of the process-level tests.
#![allow(dead_code, clippy::expect_used)]

pub(crate) mod scripted_upstream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use wheel_harness::{
    ClusterManifest, ClusterSettings, HttpClient, HttpReply, LocalCluster, LocalInstance,
};

/// Time limit for any awaited event, sized for a busy machine.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

const MINIMAL: &str = include_str!("../../../../examples/minimal.toml");

/// Starts the minimal system and waits until its manifest is in force at every instance.
pub(crate) async fn start(settings: ClusterSettings) -> LocalCluster {
    start_manifest(MINIMAL, settings).await
}

/// The minimal manifest, with `guide` allowed on all engines.
pub(crate) fn replicated_manifest() -> String {
    MINIMAL.replacen("max_replicas = 1", "max_replicas = 3", 1)
}

/// Starts a system with `source` as its manifest.
pub(crate) async fn start_manifest(source: &str, settings: ClusterSettings) -> LocalCluster {
    let manifest = ClusterManifest::parse(source).expect("a valid manifest");
    let cluster = LocalCluster::start(&manifest, &settings).await.expect("a started system");
    cluster.apply_first(LIMIT).await.expect("a manifest in force");
    cluster
}

/// Requests a stream of `tokens` tokens from `model`.
pub(crate) async fn generate(
    client: &HttpClient,
    at: SocketAddr,
    model: &str,
    tokens: u64,
    deadline_ms: u64,
) -> HttpReply {
    let body = json!({ "model": model, "stream": true, "max_tokens": tokens, "messages": [] });
    let deadline = deadline_ms.to_string();
    let headers = [("wheel-caller", "desk"), ("wheel-deadline-ms", deadline.as_str())];
    let path = "/v1/chat/completions";
    client.call(Method::POST, at, path, &headers, body.to_string()).await.expect("an answer")
}

/// Makes a booking under `key`.
pub(crate) async fn book(client: &HttpClient, at: SocketAddr, key: &str, body: &str) -> HttpReply {
    let headers = [("wheel-caller", "hotel"), ("idempotency-key", key)];
    let path = "/booking/seats";
    client.call(Method::POST, at, path, &headers, body.to_owned()).await.expect("an answer")
}

/// The indexes of a stream's tokens, in order of arrival.
pub(crate) fn token_indexes(reply: &HttpReply) -> Vec<u64> {
    let text = reply.text();
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let parsed = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    parsed.filter_map(|event| event["wheel"]["index"].as_u64()).collect()
}

/// Asserts that a stream is complete: each token once and in order, and the end marker.
pub(crate) fn assert_whole(reply: &HttpReply, tokens: u64) {
    assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    let wanted: Vec<u64> = (0..tokens).collect();
    assert_eq!(token_indexes(reply), wanted, "each token once and in order");
    assert!(reply.complete && reply.text().contains("data: [DONE]"), "the end marker");
}

/// Replaces the fault plan of a fake.
pub(crate) async fn set_faults(cluster: &LocalCluster, upstream: &str, faults: Value) {
    let at = cluster.addresses[upstream];
    let reply = cluster.client.call(Method::PUT, at, "/fake/faults", &[], faults.to_string()).await;
    assert!(reply.expect("the fake answers").status.is_success());
}

/// Number of calls that a fake has refused.
pub(crate) async fn refused_calls(cluster: &LocalCluster, upstream: &str) -> u64 {
    let counters = cluster.client.get(cluster.addresses[upstream], "/fake/counters").await;
    let counters = counters.expect("the fake answers").json();
    counters["calls_refused"].as_u64().expect("a count")
}

/// Number of requests that the fake booking services have run, in total.
pub(crate) async fn booking_runs(cluster: &LocalCluster) -> u64 {
    let mut runs = 0;
    for (name, address) in &cluster.addresses {
        if name.as_str().starts_with("bookings") {
            let counters = cluster.client.get(*address, "/fake/counters").await;
            let counters = counters.expect("the fake answers").json();
            runs += counters["by_request"]
                .as_object()
                .into_iter()
                .flat_map(|runs| runs.values())
                .filter_map(Value::as_u64)
                .sum::<u64>();
        }
    }
    runs
}

/// Number of runs of each generation on the fake engines, resumed ones included, by request id.
pub(crate) async fn engine_runs(cluster: &LocalCluster) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for (name, address) in &cluster.addresses {
        if name.as_str().starts_with("engine") {
            let counters = cluster.client.get(*address, "/fake/counters").await;
            let counters = counters.expect("the fake answers").json();
            for kind in ["runs", "resumes"] {
                for (request, count) in counters[kind].as_object().expect("counts by request") {
                    *runs.entry(request.clone()).or_default() += count.as_u64().expect("a count");
                }
            }
        }
    }
    runs
}

/// Number of models that the fake engines hold, in total.
pub(crate) async fn orders_carried(cluster: &LocalCluster) -> u64 {
    let mut carried = 0;
    for (name, address) in &cluster.addresses {
        if name.as_str().starts_with("engine") {
            let state = cluster.client.get(*address, "/engine/v1/state").await;
            let state = state.expect("the fake answers").json();
            carried += state["models"].as_array().map_or(0, Vec::len) as u64;
        }
    }
    carried
}

/// The index of the instance that owns `upstream`, once the instance at `seen_at` knows it.
pub(crate) async fn owner_of(cluster: &LocalCluster, seen_at: SocketAddr, upstream: &str) -> usize {
    let owner = cluster
        .wait_until("an owner", LIMIT, || async {
            let status = cluster.status(seen_at).await.ok()?;
            let engines = status["engines"].as_array()?.clone();
            let engine = engines.into_iter().find(|one| one["name"].as_str() == Some(upstream))?;
            engine["owner"].as_str().map(str::to_owned)
        })
        .await
        .expect("an owner");
    let index = cluster.instances.iter().position(|one| one.name.as_str() == owner);
    index.expect("an owner that was started")
}

/// Settings with models that engines have loaded from the start, and the time per token in
/// microseconds.
pub(crate) fn preloaded(models: &[&str], token_us: &str) -> ClusterSettings {
    ClusterSettings {
        preload: models.iter().map(|model| (*model).to_owned()).collect(),
        engine_flags: ["--token-us", token_us, "--load-ms", "100"].map(str::to_owned).to_vec(),
        ..ClusterSettings::default()
    }
}

/// The index of another instance in the same data centre as the one at `index`.
pub(crate) fn neighbour(cluster: &LocalCluster, index: usize) -> usize {
    let own = &cluster.instances[index];
    let is_beside = |one: &LocalInstance| one.centre == own.centre && one.name != own.name;
    cluster.instances.iter().position(is_beside).expect("another instance")
}
