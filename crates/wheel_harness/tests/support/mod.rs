//! What the whole-process tests share.
#![allow(dead_code, clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use wheel_harness::{
    ClusterSettings, ClusterText, HttpCaller, HttpReply, LocalCluster, LocalInstance,
};

/// Time in which anything that must happen happens, on a busy machine.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

const MINIMAL: &str = include_str!("../../../../examples/minimal.toml");

/// Starts the minimal system and waits until every instance follows its text.
pub(crate) async fn start(settings: ClusterSettings) -> LocalCluster {
    start_text(MINIMAL, settings).await
}

/// The minimal text, with `guide` allowed on as many engines as there are.
pub(crate) fn replicated_text() -> String {
    MINIMAL.replacen("max_replicas = 1", "max_replicas = 3", 1)
}

/// Starts a system with `source` as its text.
pub(crate) async fn start_text(source: &str, settings: ClusterSettings) -> LocalCluster {
    let text = ClusterText::parse(source).expect("a text without faults");
    let cluster = LocalCluster::start(&text, &settings).await.expect("a started system");
    cluster.apply_first(LIMIT).await.expect("a followed text");
    cluster
}

/// Asks `model` for `tokens` tokens.
pub(crate) async fn ask(
    caller: &HttpCaller,
    at: SocketAddr,
    model: &str,
    tokens: u64,
    deadline_ms: u64,
) -> HttpReply {
    let body = json!({ "model": model, "stream": true, "max_tokens": tokens, "messages": [] });
    let deadline = deadline_ms.to_string();
    let headers = [("wheel-caller", "desk"), ("wheel-deadline-ms", deadline.as_str())];
    let path = "/v1/chat/completions";
    caller.call(Method::POST, at, path, &headers, body.to_string()).await.expect("an answer")
}

/// Makes a booking under `key`.
pub(crate) async fn book(caller: &HttpCaller, at: SocketAddr, key: &str, body: &str) -> HttpReply {
    let headers = [("wheel-caller", "hotel"), ("idempotency-key", key)];
    let path = "/booking/seats";
    caller.call(Method::POST, at, path, &headers, body.to_owned()).await.expect("an answer")
}

/// The indexes of a stream's tokens, in the order in which they came.
pub(crate) fn token_indexes(reply: &HttpReply) -> Vec<u64> {
    let text = reply.text();
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let parsed = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    parsed.filter_map(|event| event["wheel"]["index"].as_u64()).collect()
}

/// Asserts that a stream is whole: each token once, in order, and the proper end.
pub(crate) fn assert_whole(reply: &HttpReply, tokens: u64) {
    assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    let wanted: Vec<u64> = (0..tokens).collect();
    assert_eq!(token_indexes(reply), wanted, "each token once and in order");
    assert!(reply.complete && reply.text().contains("data: [DONE]"), "the proper end");
}

/// Replaces the faults that a fake shows.
pub(crate) async fn set_faults(cluster: &LocalCluster, upstream: &str, faults: Value) {
    let at = cluster.addresses[upstream];
    let reply = cluster.caller.call(Method::PUT, at, "/fake/faults", &[], faults.to_string()).await;
    assert!(reply.expect("the fake answers").status.is_success());
}

/// How often calls ran at a plain service's fakes, all together.
pub(crate) async fn booking_runs(cluster: &LocalCluster) -> u64 {
    let mut runs = 0;
    for (name, address) in &cluster.addresses {
        if name.as_str().starts_with("bookings") {
            let counters = cluster.caller.get(*address, "/fake/counters").await;
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

/// How many orders the fake engines carried out, all together.
pub(crate) async fn orders_carried(cluster: &LocalCluster) -> u64 {
    let mut carried = 0;
    for (name, address) in &cluster.addresses {
        if name.as_str().starts_with("engine") {
            let state = cluster.caller.get(*address, "/engine/v1/state").await;
            let state = state.expect("the fake answers").json();
            carried += state["models"].as_array().map_or(0, Vec::len) as u64;
        }
    }
    carried
}

/// The place of the instance that owns `upstream`, once its state is known at `seen_at`.
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
    let place = cluster.instances.iter().position(|one| one.name.as_str() == owner);
    place.expect("an owner that was started")
}

/// Settings with models that engines hold from the start, and their time for a token.
pub(crate) fn preloaded(models: &[&str], token_us: &str) -> ClusterSettings {
    ClusterSettings {
        preload: models.iter().map(|model| (*model).to_owned()).collect(),
        engine_flags: ["--token-us", token_us, "--load-ms", "100"].map(str::to_owned).to_vec(),
        ..ClusterSettings::default()
    }
}

/// The place of another instance in the data centre of the one at `place`.
pub(crate) fn beside(cluster: &LocalCluster, place: usize) -> usize {
    let own = &cluster.instances[place];
    let is_beside = |one: &LocalInstance| one.centre == own.centre && one.name != own.name;
    cluster.instances.iter().position(is_beside).expect("another instance")
}
