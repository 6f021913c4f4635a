//! Placement of models on engines under failures.

#![allow(clippy::expect_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use serde_json::Value;
use support::{LIMIT, assert_whole, generate, start_manifest};
use wheel_harness::{
    ChildProcess, ClusterSettings, HttpClient, LinkState, LocalCluster, ProcessSignal,
};

const MINIMAL: &str = include_str!("../../../examples/minimal.toml");
/// Memory of each engine of the manifest, in mebibytes; two models fit.
const MEMORY_MIB: u64 = 40_960;

/// The minimal manifest with three grantors in data centre a, so that one may fail.
fn one_centre_manifest() -> String {
    MINIMAL.replacen(r#"grantors = ["a1", "a2"]"#, r#"grantors = ["a1", "a2", "a3"]"#, 1)
}

/// The same with a second engine in data centre a that ignores fencing numbers.
fn two_engine_manifest() -> String {
    one_centre_manifest()
        + r#"
[[upstream]]
name = "engine-a2"
kind = "engine"
data_centre = "a"
address = "127.0.0.1:9104"
slots = 8
memory_mib = 40960
"#
}

/// `manifest` with `count` additional models, `extra1` and so on.
fn with_models(manifest: &str, count: usize) -> String {
    let model = |n| {
        format!(
            "\n[[model]]\nname = \"extra{n}\"\nmemory_mib = 16384\nload_ms = 2000\nmax_replicas = 1\n"
        )
    };
    let models: String = (1..=count).map(model).collect();
    let names: String = (1..=count).map(|n| format!(", \"extra{n}\"")).collect();
    let listed = format!("models = [\"digester\"{names}]");
    manifest.replacen("models = [\"digester\"]", &listed, 1) + &models
}

/// Settings with which only data centre a runs.
fn one_centre(load_ms: u64) -> ClusterSettings {
    let load_ms = load_ms.to_string();
    let flags = ["--token-us", "1000", "--overcommit", "--load-ms", load_ms.as_str()];
    ClusterSettings {
        absent_centres: vec!["b".into(), "c".into()],
        engine_flags: flags.map(str::to_owned).to_vec(),
        ..ClusterSettings::default()
    }
}

/// An engine's reported state, or null if it doesn't answer.
async fn state(cluster: &LocalCluster, engine: &str) -> Value {
    let reply = cluster.client.get(cluster.addresses[engine], "/engine/v1/state").await;
    reply.map(|reply| reply.json()).unwrap_or_default()
}

/// The versions of `model` at an engine that are in one of `phases`, or in any if that is empty.
fn versions(state: &Value, model: &str, phases: &[&str]) -> Vec<u64> {
    let models = state["models"].as_array().into_iter().flatten();
    let of_model = models.filter(|held| held["model"] == model);
    let phase = |held: &Value| held["phase"].as_str().unwrap_or_default().to_lowercase();
    let in_phase = of_model.filter(|held| phases.is_empty() || phases.contains(&&*phase(held)));
    in_phase.filter_map(|held| held["version"].as_u64()).collect()
}

async fn wait_versions(cluster: &LocalCluster, engine: &str, model: &str, wanted: &[u64]) {
    let what = format!("versions {wanted:?} of {model} at {engine}");
    let check = || async {
        let held = state(cluster, engine).await;
        (versions(&held, model, &["loaded"]) == wanted && versions(&held, model, &[]) == wanted)
            .then_some(())
    };
    cluster.wait_until(&what, LIMIT, check).await.expect("the versions");
}

async fn counter(cluster: &LocalCluster, engine: &str, name: &str) -> u64 {
    let at = cluster.addresses[engine];
    let counters = cluster.client.get(at, "/fake/counters").await.expect("counters").json();
    counters[name].as_u64().expect("a number")
}

async fn max_used_mib(cluster: &LocalCluster, engine: &str) -> u64 {
    counter(cluster, engine, "max_used_mib").await
}

/// Asserts that no model was unloaded while a call used it.
async fn assert_drained(cluster: &LocalCluster, engines: &[&str]) {
    for engine in engines {
        assert_eq!(counter(cluster, engine, "calls_unloaded").await, 0, "calls at {engine}");
    }
}

/// The index of the instance that reports itself as the lease holder, other than `not`.
async fn holder(cluster: &LocalCluster, not: Option<usize>) -> usize {
    let check = || async {
        for (index, instance) in cluster.instances.iter().enumerate() {
            if Some(index) == not {
                continue;
            }
            let status = cluster.status(instance.ports.operators).await.unwrap_or_default();
            let mut instances = status["instances"].as_array().into_iter().flatten();
            if instances
                .any(|one| one["name"] == instance.name.as_str() && one["holds_lease"] == true)
            {
                return Some(index);
            }
        }
        None
    };
    cluster.wait_until("a lease holder", LIMIT, check).await.expect("a lease holder")
}

/// Counts the replicas of `model` at `engines`, in any phase, until `stopped` is set; returns the
/// highest number at one time.
fn track_replicas(
    cluster: &LocalCluster,
    engines: &[&str],
    model: &'static str,
    stopped: Arc<AtomicBool>,
) -> tokio::task::JoinHandle<usize> {
    let client = cluster.client.clone();
    let addresses: Vec<_> = engines.iter().map(|engine| cluster.addresses[*engine]).collect();
    tokio::spawn(async move {
        let mut peak = 0;
        while !stopped.load(Ordering::Acquire) {
            let requests = addresses.iter().map(|at| client.get(*at, "/engine/v1/state"));
            let states = join_all(requests).await.into_iter().flatten();
            peak = peak.max(states.map(|held| versions(&held.json(), model, &[]).len()).sum());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        peak
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn evict_idle_model_after_change_of_holder_frees_memory_for_another() {
    let mut cluster =
        start_manifest(&with_models(&one_centre_manifest(), 1), one_centre(100)).await;
    let first = holder(&cluster, None).await;
    let at = cluster.instances[(first + 1) % 3].ports.callers;
    for model in ["guide", "digester"] {
        assert_whole(&generate(&cluster.client, at, model, 2, 20_000).await, 2);
    }
    cluster.instances[first].kill();
    // The engine is full, and the new holder doesn't know how long its models have been idle.
    let reply = generate(&cluster.client, at, "extra1", 2, 20_000).await;
    assert_whole(&reply, 2);
    assert!(max_used_mib(&cluster, "engine-a").await <= MEMORY_MIB);
}

#[tokio::test(flavor = "multi_thread")]
async fn load_many_models_at_once_never_overcommits_memory() {
    let mut settings = one_centre(100);
    settings.daemon_flags.extend(["--min-residence", "0.5"].map(str::to_owned));
    let cluster = start_manifest(&with_models(&one_centre_manifest(), 6), settings).await;
    let addresses: Vec<_> = cluster.instances.iter().map(|one| one.ports.callers).collect();
    let names: Vec<String> = (1..=6).map(|n| format!("extra{n}")).collect();
    let pending = names.iter().enumerate().map(|(n, model)| {
        generate(&cluster.client, addresses[n % addresses.len()], model, 2, 20_000)
    });
    let replies = join_all(pending).await;
    let whole = replies.iter().filter(|reply| reply.status == StatusCode::OK).count();
    assert!(max_used_mib(&cluster, "engine-a").await <= MEMORY_MIB, "overcommitted");
    assert_drained(&cluster, &["engine-a"]).await;
    // Two fit at a time; the others use the memory of models that have become idle.
    assert_eq!(whole, names.len(), "answered within their deadlines");
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_holder_frozen_then_killed_in_mid_load_stay_within_max() {
    let cluster = start_manifest(&with_models(&two_engine_manifest(), 1), one_centre(3_500)).await;
    let mut cluster = cluster;
    let engines = ["engine-a", "engine-a2"];
    let stopped = Arc::new(AtomicBool::new(false));
    let guide = track_replicas(&cluster, &engines, "guide", Arc::clone(&stopped));
    let extra = track_replicas(&cluster, &engines, "extra1", Arc::clone(&stopped));
    let first = holder(&cluster, None).await;
    let at = cluster.instances[(first + 1) % 3].ports.callers;
    let client = cluster.client.clone();
    let pending = tokio::spawn(async move { generate(&client, at, "guide", 2, 25_000).await });
    wait_loading(&cluster, &engines, "guide").await;
    cluster.instances[first].signal(ProcessSignal::Stop);
    let second = holder(&cluster, Some(first)).await;
    let third = 3 - first - second;
    let at = cluster.instances[third].ports.callers;
    let client = cluster.client.clone();
    let other = tokio::spawn(async move { generate(&client, at, "extra1", 2, 25_000).await });
    wait_loading(&cluster, &engines, "extra1").await;
    cluster.instances[first].signal(ProcessSignal::Continue);
    cluster.instances[second].kill();
    assert_whole(&generate(&cluster.client, at, "guide", 2, 25_000).await, 2);
    assert_whole(&generate(&cluster.client, at, "extra1", 2, 25_000).await, 2);
    stopped.store(true, Ordering::Release);
    assert_eq!(guide.await.expect("the count"), 1, "replicas of guide");
    assert_eq!(extra.await.expect("the count"), 1, "replicas of extra1");
    // These may have been sent through the killed instance, so their results aren't checked.
    let _ = pending.await;
    let _ = other.await;
}

async fn wait_loading(cluster: &LocalCluster, engines: &[&str], model: &str) {
    let check = || async {
        let requests = join_all(engines.iter().map(|engine| state(cluster, engine))).await;
        requests.iter().any(|held| !versions(held, model, &["loading"]).is_empty()).then_some(())
    };
    cluster.wait_until("a load", LIMIT, check).await.expect("a load");
}

#[tokio::test(flavor = "multi_thread")]
async fn rollover_beside_the_old_version_fails_no_request() {
    let cluster = start_manifest(&two_engine_manifest(), one_centre(400)).await;
    let at = cluster.instances[0].ports.callers;
    assert_whole(&generate(&cluster.client, at, "guide", 2, 20_000).await, 2);
    let stopped = Arc::new(AtomicBool::new(false));
    let peak = track_replicas(&cluster, &["engine-a", "engine-a2"], "guide", Arc::clone(&stopped));
    let answered = Arc::new(AtomicUsize::new(0));
    let callers = cluster.instances.iter().map(|one| {
        let (client, at) = (cluster.client.clone(), one.ports.callers);
        let (stopped, answered) = (Arc::clone(&stopped), Arc::clone(&answered));
        tokio::spawn(keep_generating(client, at, stopped, answered))
    });
    let callers: Vec<_> = callers.collect();
    let rolled =
        cluster.source.replacen("name = \"guide\"\n", "name = \"guide\"\nversion = 2\n", 1);
    let applied = cluster.apply(cluster.instances[0].ports.operators, &rolled, 1, "roll").await;
    assert_eq!(applied.expect("an answer").status, StatusCode::OK);
    let check = || async {
        let states = join_all(["engine-a", "engine-a2"].map(|name| state(&cluster, name))).await;
        let all: Vec<u64> = states.iter().flat_map(|held| versions(held, "guide", &[])).collect();
        (all == [2]).then_some(())
    };
    cluster.wait_until("the new version alone", LIMIT, check).await.expect("the new version");
    let before = answered.load(Ordering::Acquire);
    let check = || async { (answered.load(Ordering::Acquire) > before + 3).then_some(()) };
    cluster.wait_until("answers of the new version", LIMIT, check).await.expect("answers");
    stopped.store(true, Ordering::Release);
    for slowest in join_all(callers).await {
        let slowest = slowest.expect("no request fails");
        assert!(slowest < Duration::from_millis(400), "{slowest:?}: a request waited for a load");
    }
    assert_eq!(peak.await.expect("the count"), 2, "the old version and the new one");
    assert_drained(&cluster, &["engine-a", "engine-a2"]).await;
}

/// Sends requests for `guide` until `stopped` is set; returns the longest time to first byte.
async fn keep_generating(
    client: HttpClient,
    at: std::net::SocketAddr,
    stopped: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
) -> Duration {
    let mut slowest = Duration::ZERO;
    while !stopped.load(Ordering::Acquire) {
        let reply = generate(&client, at, "guide", 20, 20_000).await;
        assert_whole(&reply, 20);
        slowest = slowest.max(reply.first_byte);
        answered.fetch_add(1, Ordering::AcqRel);
    }
    slowest
}

#[tokio::test(flavor = "multi_thread")]
async fn rollover_of_the_only_engine_ends_its_streams_and_fails_no_request() {
    let cluster = start_manifest(&one_centre_manifest(), one_centre(200)).await;
    let at = cluster.instances[0].ports.callers;
    assert_whole(&generate(&cluster.client, at, "guide", 2, 20_000).await, 2);
    let stopped = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let generating = tokio::spawn(keep_generating(
        cluster.client.clone(),
        at,
        Arc::clone(&stopped),
        Arc::clone(&answered),
    ));
    // Runs longer than the grace period of a drain, and its end doesn't change the engine's load
    // class.
    let client = cluster.client.clone();
    let long = tokio::spawn(async move { generate(&client, at, "guide", 1_500, 20_000).await });
    let running = || async {
        let held = state(&cluster, "engine-a").await;
        (held["running"].as_array()?.len() >= 2).then_some(())
    };
    cluster.wait_until("the long stream", LIMIT, running).await.expect("the long stream");
    let rolled =
        cluster.source.replacen("name = \"guide\"\n", "name = \"guide\"\nversion = 2\n", 1);
    let applied = cluster.apply(cluster.instances[0].ports.operators, &rolled, 1, "roll").await;
    assert_eq!(applied.expect("an answer").status, StatusCode::OK);
    wait_versions(&cluster, "engine-a", "guide", &[2]).await;
    stopped.store(true, Ordering::Release);
    generating.await.expect("no request fails");
    assert_whole(&long.await.expect("the stream's task"), 1_500);
    assert_drained(&cluster, &["engine-a"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_whose_holder_was_killed_is_reverted() {
    let mut cluster = start_manifest(&one_centre_manifest(), one_centre(100)).await;
    let first = holder(&cluster, None).await;
    let ports = cluster.instances[(first + 1) % 3].ports;
    assert_whole(&generate(&cluster.client, ports.callers, "guide", 2, 20_000).await, 2);
    // The drain can't finish while this stream is running.
    let (client, at) = (cluster.client.clone(), ports.callers);
    let long = tokio::spawn(async move { generate(&client, at, "guide", 8_000, 20_000).await });
    let rolled =
        cluster.source.replacen("name = \"guide\"\n", "name = \"guide\"\nversion = 2\n", 1);
    let applied = cluster.apply(ports.operators, &rolled, 1, "roll").await;
    assert_eq!(applied.expect("an answer").status, StatusCode::OK);
    let check = || async {
        let reply = cluster.client.get(ports.operators, "/admin/v1/explain?q=guide").await.ok()?;
        reply.text().contains("drains at engine-a").then_some(())
    };
    cluster.wait_until("a drain", LIMIT, check).await.expect("a drain");
    cluster.instances[first].kill();
    let check = || async {
        let back = cluster.apply(ports.operators, &cluster.source, 2, "back").await.ok()?;
        (back.status == StatusCode::OK).then_some(())
    };
    cluster.wait_until("the old manifest", LIMIT, check).await.expect("the old manifest");
    assert_whole(&generate(&cluster.client, ports.callers, "guide", 2, 20_000).await, 2);
    long.abort();
    let held = state(&cluster, "engine-a").await;
    assert_eq!(versions(&held, "guide", &["loaded"]), [1], "{held}");
    assert_drained(&cluster, &["engine-a"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn adapter_requested_on_loaded_model_is_loaded_once_beside_it() {
    let cluster = start_manifest(&one_centre_manifest(), one_centre(100)).await;
    let addresses: Vec<_> = cluster.instances.iter().map(|one| one.ports.callers).collect();
    assert_whole(&generate(&cluster.client, addresses[0], "guide", 2, 20_000).await, 2);
    let pending =
        addresses.iter().map(|at| generate(&cluster.client, *at, "guide:thai", 2, 20_000));
    for reply in join_all(pending).await {
        assert_whole(&reply, 2);
    }
    let held = state(&cluster, "engine-a").await;
    let models = held["models"].as_array().expect("models");
    assert_eq!(models.len(), 1, "{held}");
    assert_eq!(models[0]["adapters"].as_array().map(Vec::len), Some(1), "{held}");
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_killed_in_mid_load_is_read_again_and_reloads() {
    let mut cluster = start_manifest(&one_centre_manifest(), one_centre(800)).await;
    let (client, at) = (cluster.client.clone(), cluster.instances[0].ports.callers);
    let pending = tokio::spawn(async move { generate(&client, at, "guide", 2, 25_000).await });
    wait_loading(&cluster, &["engine-a"], "guide").await;
    cluster.upstreams.remove("engine-a");
    let memory = MEMORY_MIB.to_string();
    let listen = cluster.addresses["engine-a"].to_string();
    let flags = ["engine", "--listen", &listen, "--memory-mib", &memory, "--load-ms", "100"];
    let log = cluster.folder().join("engine-a-again.log");
    let again = ChildProcess::spawn("wheel_fake", "engine-a", &flags.map(str::to_owned), &log);
    cluster.upstreams.insert("engine-a".into(), again.expect("a restarted engine"));
    assert_whole(&pending.await.expect("the request's task"), 2);
    assert!(max_used_mib(&cluster, "engine-a").await <= MEMORY_MIB);
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_centre_loads_cold_models() {
    let settings =
        ClusterSettings { partitionable: Some("c".into()), ..ClusterSettings::default() };
    let cluster = start_manifest(MINIMAL, settings).await;
    cluster.set_links(LinkState::Silent);
    let inside = cluster.instances.iter().find(|one| one.name.as_str() == "c1");
    let at = inside.expect("instance c1").ports.callers;
    for model in ["guide", "digester"] {
        assert_whole(&generate(&cluster.client, at, model, 2, 20_000).await, 2);
    }
    wait_versions(&cluster, "engine-c", "digester", &[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_two_grantors_changed_at_once_is_refused() {
    let cluster = start_manifest(&one_centre_manifest(), one_centre(100)).await;
    let at = cluster.instances[0].ports.operators;
    let listed = r#"grantors = ["a1", "a2", "a3"]"#;
    let two = cluster.source.replacen(listed, r#"grantors = ["a1"]"#, 1);
    let reply = cluster.apply(at, &two, 1, "two").await.expect("an answer");
    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY, "{}", reply.text());
    assert!(reply.text().contains("grantor"), "{}", reply.text());
    let one = cluster.source.replacen(listed, r#"grantors = ["a1", "a2"]"#, 1);
    let reply = cluster.apply(at, &one, 1, "one").await.expect("an answer");
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_shows_placement_at_any_instance() {
    let cluster = start_manifest(&one_centre_manifest(), one_centre(100)).await;
    let at = cluster.instances[0].ports.callers;
    assert_whole(&generate(&cluster.client, at, "guide", 2, 20_000).await, 2);
    for instance in &cluster.instances {
        let path = "/admin/v1/explain?q=guide";
        let reply = cluster.client.get(instance.ports.operators, path).await.expect("an answer");
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
        assert!(reply.text().contains("ordered at engine-a"), "{}", reply.text());
    }
}
