//! Requests from caller to upstream under failures that the system must tolerate.

#![allow(clippy::expect_used)]

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde_json::json;
use support::{
    LIMIT, assert_whole, book, booking_runs, engine_runs, generate, neighbour, orders_carried,
    owner_of, preloaded, refused_calls, set_faults, start, start_manifest, token_indexes,
};
use wheel_harness::{ClusterSettings, ProcessSignal};

#[tokio::test(flavor = "multi_thread")]
async fn question_burst_of_cold_requests_loads_once_for_each_centre() {
    let cluster = start(ClusterSettings::default()).await;
    let addresses: Vec<_> = cluster.instances.iter().map(|one| one.ports.callers).collect();
    let pending = (0..30)
        .map(|n| generate(&cluster.client, addresses[n % addresses.len()], "guide", 5, 25_000));
    for reply in join_all(pending).await {
        assert_whole(&reply, 5);
        assert_eq!(reply.header("wheel-outcome"), "ran");
    }
    // Three data centres and at most one replica in each.
    let carried = orders_carried(&cluster).await;
    assert!((1..=3).contains(&carried), "{carried} replicas for one model");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_owner_killed_goes_on_without_gap() {
    let settings = preloaded(&["engine-a=guide"], "20000");
    let mut cluster = start(settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    // The ingress is in the same data centre but isn't the owner.
    let at = cluster.instances[neighbour(&cluster, owner)].ports.callers;
    let client = cluster.client.clone();
    let stream = tokio::spawn(async move { generate(&client, at, "guide", 120, 20_000).await });
    tokio::time::sleep(Duration::from_millis(900)).await;
    cluster.instances[owner].kill();
    let reply = stream.await.expect("the stream's task");
    assert_whole(&reply, 120);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_engine_killed_goes_on_elsewhere() {
    let settings = preloaded(&["engine-a=guide", "engine-b=guide"], "20000");
    let mut cluster = start_manifest(&support::replicated_manifest(), settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    owner_of(&cluster, seen_at, "engine-b").await;
    let at = cluster.instances[0].ports.callers;
    let client = cluster.client.clone();
    let stream = tokio::spawn(async move { generate(&client, at, "guide", 100, 20_000).await });
    tokio::time::sleep(Duration::from_millis(900)).await;
    // The ingress is in data centre a, so the local engine answers.
    cluster.upstreams.remove("engine-a");
    let reply = stream.await.expect("the stream's task");
    assert_whole(&reply, 100);
}

/// The most runs of one generation, resumed ones included.
const MAX_RUNS: u64 = 6;

#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_after_each_token_ends_after_the_allowed_runs() {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let cluster = start(settings).await;
    let at = cluster.instances[0].ports.callers;
    set_faults(&cluster, "engine-a", json!({ "cut_after": 1 })).await;
    let stream = generate(&cluster.client, at, "guide", 40, 20_000);
    let reply = tokio::time::timeout(LIMIT, stream).await.expect("an end");
    let runs = engine_runs(&cluster).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [MAX_RUNS], "{}", reply.text());
    assert_eq!(token_indexes(&reply), (0..MAX_RUNS).collect::<Vec<_>>());
    assert!(!reply.complete, "a partial answer must not look complete");
    assert!(reply.text().contains("\"error\""), "{}", reply.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_broken_before_its_first_token_gets_an_answer() {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let mut cluster = start(settings).await;
    set_faults(&cluster, "engine-a", json!({ "cut_after": 0 })).await;
    // Data centre a has the owner, so that the call from c is relayed.
    for instance in ["a1", "c1"] {
        let at = cluster.instance(instance).ports.callers;
        let reply = generate(&cluster.client, at, "guide", 5, 4_000).await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{}", reply.text());
        assert_eq!(reply.header("wheel-outcome"), "unknown");
        assert!(reply.complete, "a whole answer");
    }
    assert!(engine_runs(&cluster).await.into_values().all(|runs| runs <= MAX_RUNS));
}

/// A sound engine may send nothing for a while, before its first token and after it. Its streams
/// go on there: they aren't ended, and run nowhere else.
async fn assert_silence_ends_no_stream(silence: Duration) {
    let settings = preloaded(&["engine-a=guide", "engine-b=guide"], "20000");
    let cluster = start_manifest(&support::replicated_manifest(), settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    owner_of(&cluster, seen_at, "engine-b").await;
    // The ingress is in data centre a, so the local engine answers.
    let (at, client) = (cluster.instances[0].ports.callers, cluster.client.clone());
    let begun = tokio::spawn(async move { generate(&client, at, "guide", 150, 20_000).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    for _ in 0..2 {
        cluster.upstreams["engine-a"].signal(ProcessSignal::Stop);
        let client = cluster.client.clone();
        let waiting = tokio::spawn(async move { generate(&client, at, "guide", 5, 20_000).await });
        tokio::time::sleep(silence).await;
        cluster.upstreams["engine-a"].signal(ProcessSignal::Continue);
        assert_whole(&waiting.await.expect("the stream's task"), 5);
    }
    assert_whole(&begun.await.expect("the stream's task"), 150);
    let runs: Vec<u64> = engine_runs(&cluster).await.into_values().collect();
    assert_eq!(runs, [1, 1, 1], "each runs once");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_at_an_engine_silent_for_a_second_goes_on_there() {
    assert_silence_ends_no_stream(Duration::from_millis(1_200)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_at_an_engine_silent_for_two_seconds_goes_on_there() {
    assert_silence_ends_no_stream(Duration::from_secs(2)).await;
}

/// Random failures of all engines. Whatever fails, a request runs on no more engines than allowed,
/// its answer is whole or says that it isn't, and `not-run` is true.
#[tokio::test(flavor = "multi_thread")]
async fn stream_random_failures_keep_the_limit_of_runs() {
    let settings = preloaded(&["engine-a=guide", "engine-b=guide", "engine-c=guide"], "500");
    let cluster = start_manifest(&support::replicated_manifest(), settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    for engine in ["engine-a", "engine-b", "engine-c"] {
        owner_of(&cluster, seen_at, engine).await;
    }
    let mut random = 11_u64;
    let mut draw = |below: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (random >> 33) % below
    };
    for round in 0..40 {
        for engine in ["engine-a", "engine-b", "engine-c"] {
            let faults = match draw(6) {
                0 => json!({}),
                1 => json!({ "refuse": true }),
                2 => json!({ "close_before_answer": true }),
                _ => json!({ "cut_after": draw(4) }),
            };
            set_faults(&cluster, engine, faults).await;
        }
        let at = cluster.instances[draw(cluster.instances.len() as u64) as usize].ports.callers;
        let reply = generate(&cluster.client, at, "guide", 12, 3_000).await;
        let id = reply.header("wheel-request-id").to_owned();
        let runs = engine_runs(&cluster).await.get(&id).copied().unwrap_or_default();
        assert!(runs <= MAX_RUNS, "round {round}: {runs} runs");
        let indexes = token_indexes(&reply);
        assert_eq!(indexes, (0..indexes.len() as u64).collect::<Vec<_>>(), "round {round}");
        match reply.status {
            StatusCode::OK if reply.complete => assert_whole(&reply, 12),
            StatusCode::OK => assert!(reply.text().contains("\"error\""), "round {round}"),
            _ if reply.header("wheel-outcome") == "not-run" => assert_eq!(runs, 0, "round {round}"),
            _ => assert_eq!(reply.header("wheel-outcome"), "unknown", "round {round}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_resent_through_another_instance_runs_once() {
    let cluster = start(ClusterSettings::default()).await;
    let first = cluster.instances[0].ports.callers;
    let second = cluster.instances[3].ports.callers;
    let reply = book(&cluster.client, first, "seat-7", r#"{"seats":2}"#).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    let again = book(&cluster.client, second, "seat-7", r#"{"seats":2}"#).await;
    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(again.header("wheel-replayed"), "1");
    assert_eq!(again.body, reply.body, "the first answer again");
    let other = book(&cluster.client, second, "seat-7", r#"{"seats":3}"#).await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.header("wheel-outcome"), "not-run");
    assert_eq!(booking_runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_racing_resends_run_once() {
    let cluster = start(ClusterSettings::default()).await;
    let addresses: Vec<_> = cluster.instances.iter().map(|one| one.ports.callers).collect();
    let sent = (0..12).map(|n| book(&cluster.client, addresses[n % addresses.len()], "race", "{}"));
    let replies = join_all(sent).await;
    for reply in &replies {
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
        assert_eq!(reply.body, replies[0].body, "every resend gets the first answer");
    }
    assert_eq!(booking_runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_answer_lost_is_unknown_and_never_runs_again() {
    let cluster = start(ClusterSettings::default()).await;
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(&cluster, upstream, json!({ "close_before_answer": true })).await;
    }
    let at = cluster.instances[0].ports.callers;
    let reply = book(&cluster.client, at, "lost", "{}").await;
    assert_eq!(reply.header("wheel-outcome"), "unknown", "{}", reply.text());
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(&cluster, upstream, json!({})).await;
    }
    for instance in &cluster.instances {
        let again = book(&cluster.client, instance.ports.callers, "lost", "{}").await;
        assert_eq!(again.header("wheel-outcome"), "unknown", "{}", again.text());
    }
    assert_eq!(booking_runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_ingress_killed_while_it_runs_is_unknown_elsewhere() {
    let mut cluster = start(ClusterSettings::default()).await;
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(&cluster, upstream, json!({ "answer_delay_ms": 3_000 })).await;
    }
    let ingress = cluster.instances.iter().position(|one| one.name.as_str() == "c2");
    let ingress = ingress.expect("instance c2");
    let at = cluster.instances[ingress].ports.callers;
    let client = cluster.client.clone();
    let sent = tokio::spawn(async move {
        let headers = [("wheel-caller", "hotel"), ("idempotency-key", "orphan")];
        client.call(Method::POST, at, "/booking/seats", &headers, "{}").await
    });
    cluster
        .wait_until("the call at the fake", LIMIT, || async {
            (booking_runs(&cluster).await == 1).then_some(())
        })
        .await
        .expect("a running call");
    cluster.instances[ingress].kill();
    assert!(
        sent.await.expect("the call's task").is_err(),
        "the ingress was killed during the call"
    );
    for upstream in ["bookings-a", "bookings-b"] {
        set_faults(&cluster, upstream, json!({})).await;
    }
    // An instance of the same data centre detects that the claim's holder is dead.
    let other = cluster.instance("c1").ports.callers;
    let reply = cluster
        .wait_until("a final answer", LIMIT, || async {
            let reply = book(&cluster.client, other, "orphan", "{}").await;
            (reply.status == StatusCode::BAD_GATEWAY).then_some(reply)
        })
        .await
        .expect("a final answer");
    assert_eq!(reply.header("wheel-outcome"), "unknown");
    assert_eq!(booking_runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn question_hopeless_deadline_is_refused_at_once_with_retry_after() {
    let cluster = start(ClusterSettings::default()).await;
    let at = cluster.instances[0].ports.callers;
    let started = Instant::now();
    let reply = generate(&cluster.client, at, "guide", 5, 20).await;
    let taken = started.elapsed();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{}", reply.text());
    assert_eq!(reply.header("wheel-outcome"), "not-run");
    let wait: u64 = reply.header("retry-after").parse().expect("a number of seconds");
    assert!((1..=60).contains(&wait));
    assert!(taken < Duration::from_millis(500), "refused after {taken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn question_owner_frozen_is_answered_through_the_next_owner() {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let cluster = start(settings).await;
    let seen_at = cluster.instances[2].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let at = cluster.instances[neighbour(&cluster, owner)].ports.callers;
    assert_whole(&generate(&cluster.client, at, "guide", 3, 20_000).await, 3);
    cluster.instances[owner].signal(ProcessSignal::Stop);
    let started = Instant::now();
    let reply = cluster
        .wait_until("an answer through the next owner", LIMIT, || async {
            let reply = generate(&cluster.client, at, "guide", 3, 6_000).await;
            (reply.status == StatusCode::OK).then_some(reply)
        })
        .await;
    cluster.instances[owner].signal(ProcessSignal::Continue);
    assert_whole(&reply.expect("an answer"), 3);
    let taken = started.elapsed();
    assert!(taken < Duration::from_secs(15), "moved after {taken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn question_waiting_at_a_frozen_owner_moves_within_its_deadline() {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let cluster = start(settings).await;
    let seen_at = cluster.instances[2].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let at = cluster.instances[neighbour(&cluster, owner)].ports.callers;
    assert_whole(&generate(&cluster.client, at, "guide", 3, 20_000).await, 3);
    cluster.instances[owner].signal(ProcessSignal::Stop);
    // Sent before any instance has detected that the owner is frozen.
    let reply = generate(&cluster.client, at, "guide", 3, 15_000).await;
    cluster.instances[owner].signal(ProcessSignal::Continue);
    assert_whole(&reply, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_long_stream_ends_whole_and_exits_with_zero() {
    let settings = preloaded(&["engine-a=guide"], "20000");
    let mut cluster = start(settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let at = cluster.instances[owner].ports.callers;
    let client = cluster.client.clone();
    let stream = tokio::spawn(async move { generate(&client, at, "guide", 150, 20_000).await });
    tokio::time::sleep(Duration::from_millis(600)).await;
    cluster.instances[owner].signal(ProcessSignal::Terminate);
    let reply = stream.await.expect("the stream's task");
    assert_whole(&reply, 150);
    let process = cluster.instances[owner].process().expect("a process");
    let status = process.wait(LIMIT).expect("an end");
    assert_eq!(status.code(), Some(0));
    // The engine has another owner now.
    let at = cluster.instances[neighbour(&cluster, owner)].ports.callers;
    assert_whole(&generate(&cluster.client, at, "guide", 3, 20_000).await, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn question_whose_engine_died_with_it_is_unknown_when_no_other_is_ready() {
    let mut settings = preloaded(&["engine-a=guide"], "2000");
    settings.engine_flags = ["--token-us", "2000", "--load-ms", "60000"].map(str::to_owned).into();
    let mut cluster = start(settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    set_faults(&cluster, "engine-a", json!({ "never_answer": true })).await;
    let (at, client) = (cluster.instances[0].ports.callers, cluster.client.clone());
    let pending = tokio::spawn(async move { generate(&client, at, "guide", 5, 5_000).await });
    tokio::time::sleep(Duration::from_millis(800)).await;
    cluster.upstreams.remove("engine-a");
    let reply = pending.await.expect("the call's task");
    assert!(reply.status.is_server_error(), "{}", reply.text());
    assert_eq!(reply.header("wheel-outcome"), "unknown", "{}", reply.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_refusing_gets_no_new_work() {
    let settings = preloaded(&["engine-a=guide", "engine-b=guide"], "2000");
    let cluster = start_manifest(&support::replicated_manifest(), settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    owner_of(&cluster, seen_at, "engine-b").await;
    set_faults(&cluster, "engine-a", json!({ "refuse": true })).await;
    let at = cluster.instances[0].ports.callers;
    for _ in 0..5 {
        assert_whole(&generate(&cluster.client, at, "guide", 3, 20_000).await, 3);
    }
}

/// At most the calls that were on their way may reach an upstream after it has asked for rest.
const MAX_CALLS_ON_THEIR_WAY: u64 = 2;

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_asks_for_rest_gets_no_new_work() {
    let settings = preloaded(&["engine-a=guide", "engine-b=guide"], "2000");
    let cluster = start_manifest(&support::replicated_manifest(), settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    owner_of(&cluster, seen_at, "engine-b").await;
    set_faults(&cluster, "engine-a", json!({ "refuse": true, "retry_after_s": 60 })).await;
    // All instances relay to the owner, which alone calls the engine.
    for round in 0..4 {
        for instance in &cluster.instances {
            let reply = generate(&cluster.client, instance.ports.callers, "guide", 3, 20_000).await;
            assert_whole(&reply, 3);
        }
        let refused = refused_calls(&cluster, "engine-a").await;
        assert!(refused <= MAX_CALLS_ON_THEIR_WAY, "{refused} calls in round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_alone_that_asks_for_rest_is_told_to_callers() {
    let cluster = start(preloaded(&["engine-a=guide"], "2000")).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    set_faults(&cluster, "engine-a", json!({ "refuse": true, "retry_after_s": 60 })).await;
    let at = cluster.instances[0].ports.callers;
    for _ in 0..4 {
        let reply = generate(&cluster.client, at, "guide", 3, 2_000).await;
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(reply.header("wheel-outcome"), "not-run");
        let after: u64 = reply.header("retry-after").parse().expect("a time");
        assert!((50..=60).contains(&after), "{after}");
    }
    assert!(refused_calls(&cluster, "engine-a").await <= MAX_CALLS_ON_THEIR_WAY);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_that_asks_for_rest_gets_no_new_calls() {
    let cluster = start(ClusterSettings::default()).await;
    let at = cluster.instances[0].ports.callers;
    set_faults(&cluster, "bookings-a", json!({ "refuse": true, "retry_after_s": 60 })).await;
    for call in 0..24 {
        let at = cluster.instances[call % cluster.instances.len()].ports.callers;
        let reply = book(&cluster.client, at, &format!("key-{call}"), "{}").await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    let refused = refused_calls(&cluster, "bookings-a").await;
    assert!(refused <= MAX_CALLS_ON_THEIR_WAY, "{refused} calls");
    let runs = booking_runs(&cluster).await;
    assert_eq!(runs, 24, "each booking runs once");
    assert_eq!(book(&cluster.client, at, "key-0", "{}").await.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_restarted_knows_replicas_at_once() {
    let settings = preloaded(&["engine-a=guide"], "2000");
    let mut cluster = start(settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    let owner = owner_of(&cluster, seen_at, "engine-a").await;
    let ingress = neighbour(&cluster, owner);
    cluster.instances[ingress].kill();
    cluster.instances[ingress].start().expect("a restart");
    let ports = cluster.instances[ingress].ports;
    cluster
        .wait_until("readiness", LIMIT, || async {
            let reply = cluster.client.get(ports.operators, "/readyz").await.ok()?;
            (reply.status == StatusCode::OK).then_some(())
        })
        .await
        .expect("readiness");
    let reply = generate(&cluster.client, ports.callers, "guide", 3, 20_000).await;
    assert_whole(&reply, 3);
    // The owner repeats its reports only every four seconds.
    assert!(reply.first_byte < Duration::from_secs(2), "after {:?}", reply.first_byte);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_listed_as_leaving_gets_no_new_work_within_three_seconds() {
    let list = wheel_harness::ChildProcess::spawn(
        "wheel_fake",
        "list",
        &["list".to_owned()],
        &std::env::temp_dir().join(format!("wheel-list-{}.log", std::process::id())),
    );
    let mut list = list.expect("a fake list");
    let list_at = list.read_listening().expect("its address");
    let mut settings = preloaded(&["engine-a=guide", "engine-b=guide"], "2000");
    settings.daemon_flags.push(format!("--instance-list={list_at}"));
    let cluster = start_manifest(&support::replicated_manifest(), settings).await;
    let seen_at = cluster.instances[0].ports.operators;
    owner_of(&cluster, seen_at, "engine-a").await;
    owner_of(&cluster, seen_at, "engine-b").await;
    let line = json!([{
        "name": "engine-a", "kind": "upstream", "data_centre": "a",
        "address": cluster.addresses["engine-a"], "state": "leaving", "since_ms": 0,
    }]);
    let put = cluster.client.call(Method::PUT, list_at, "/instances", &[], line.to_string()).await;
    assert!(put.expect("the list answers").status.is_success());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let runs = |upstream: &'static str| {
        let at = cluster.addresses[upstream];
        let client = cluster.client.clone();
        async move {
            let counters = client.get(at, "/fake/counters").await.expect("counters").json();
            counters["runs"].as_object().map_or(0, serde_json::Map::len)
        }
    };
    let before = runs("engine-a").await;
    let at = cluster.instances[0].ports.callers;
    for _ in 0..5 {
        assert_whole(&generate(&cluster.client, at, "guide", 3, 20_000).await, 3);
    }
    assert_eq!(runs("engine-a").await, before, "the leaving engine got work");
    assert!(runs("engine-b").await >= 5);
}
