//! Measures the time to recover from each failure.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use wheel_harness::{ClusterSettings, HarnessError, LocalCluster, ProcessSignal};

use crate::{BenchError, BenchManifest, CsvTable};

/// Runs of each failure.
const ROUNDS: usize = 3;
/// Time limit for the recovery.
const TIME_LIMIT: Duration = Duration::from_secs(40);

/// The failure, with the event that ends the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FailureKind {
    /// The leader of the consensus group is killed, until a change is accepted.
    LeaderKilled,
    /// An owner of engines is killed, until its engine answers a request.
    OwnerKilled,
    /// The lease holder is killed, until a model that wasn't loaded answers a request.
    HolderKilled,
    /// An instance is killed and restarted, until it is ready.
    InstanceRestarted,
    /// The leader of the consensus group is frozen, until a change is accepted.
    LeaderFrozen,
}

/// Measures each failure several times, in a data centre of five instances.
///
/// # Errors
/// [`BenchError`] if a system can't be started or doesn't recover.
pub async fn run_failures() -> Result<CsvTable, BenchError> {
    let mut table = CsvTable::new("failures", &["failure", "round", "recovered_ms"]);
    let kinds = [
        FailureKind::LeaderKilled,
        FailureKind::OwnerKilled,
        FailureKind::HolderKilled,
        FailureKind::InstanceRestarted,
        FailureKind::LeaderFrozen,
    ];
    for kind in kinds {
        for round in 0..ROUNDS {
            let taken = measure(kind).await?;
            table.push(&[kind as u8 as f64, round as f64, taken.as_secs_f64() * 1_000.0]);
        }
    }
    Ok(table)
}

async fn measure(kind: FailureKind) -> Result<Duration, BenchError> {
    let manifest = BenchManifest { grantors: 5, engines: 1, ..BenchManifest::default() };
    let settings =
        ClusterSettings { preload: vec!["c1-e1=busy".to_owned()], ..ClusterSettings::default() };
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(TIME_LIMIT).await?;
    request_until_answered(&cluster, 0, "busy").await?;
    // Only a lease holder can load a model, so there is one after this request.
    request_until_answered(&cluster, 0, "m0").await?;
    let victim = find_victim(&cluster, kind).await?;
    let survivor = (victim + 1) % cluster.instances.len();
    match kind {
        FailureKind::LeaderFrozen => cluster.instances[victim].signal(ProcessSignal::Stop),
        _ => cluster.instances[victim].kill(),
    }
    let started = Instant::now();
    match kind {
        FailureKind::LeaderKilled | FailureKind::LeaderFrozen => {
            apply_until_accepted(&cluster, survivor).await?;
        }
        FailureKind::OwnerKilled => request_until_answered(&cluster, survivor, "busy").await?,
        FailureKind::HolderKilled => request_until_answered(&cluster, survivor, "m1").await?,
        FailureKind::InstanceRestarted => {
            cluster.instances[victim].start()?;
            wait_ready(&cluster, victim).await?;
        }
    }
    Ok(started.elapsed())
}

async fn find_victim(cluster: &LocalCluster, kind: FailureKind) -> Result<usize, BenchError> {
    let status = cluster.status(cluster.instances[0].ports.operators).await?;
    let instances = status["instances"].as_array().cloned().unwrap_or_default();
    let holder = instances.iter().find(|one| one["holds_lease"].as_bool() == Some(true));
    let name = match kind {
        FailureKind::LeaderKilled | FailureKind::LeaderFrozen => status["leader"].as_str(),
        FailureKind::OwnerKilled => status["engines"][0]["owner"].as_str(),
        FailureKind::HolderKilled => holder.and_then(|one| one["name"].as_str()),
        FailureKind::InstanceRestarted => {
            cluster.instances.last().map(|instance| instance.name.as_str())
        }
    };
    let index = cluster.instances.iter().position(|one| Some(one.name.as_str()) == name);
    index.ok_or_else(|| BenchError::Missing { what: format!("an instance for {kind:?}") })
}

async fn request_until_answered(
    cluster: &LocalCluster,
    index: usize,
    model: &str,
) -> Result<(), HarnessError> {
    let at = cluster.instances[index].ports.callers;
    let body = format!(r#"{{"model":"{model}","max_tokens":1,"messages":[]}}"#);
    cluster
        .wait_until(&format!("an answer of {model}"), TIME_LIMIT, || async {
            let headers = [("wheel-caller", "desk"), ("wheel-deadline-ms", "3000")];
            let path = "/v1/chat/completions";
            let reply = cluster.client.call(Method::POST, at, path, &headers, body.clone()).await;
            (reply.ok()?.status == StatusCode::OK).then_some(())
        })
        .await
}

async fn apply_until_accepted(cluster: &LocalCluster, index: usize) -> Result<(), HarnessError> {
    let at = cluster.instances[index].ports.operators;
    let edited = cluster.source.replacen("weight = 1", "weight = 9", 1);
    cluster
        .wait_until("an accepted change", TIME_LIMIT, || async {
            let reply = cluster.apply(at, &edited, 1, "after-failure").await.ok()?;
            (reply.status == StatusCode::OK).then_some(())
        })
        .await
}

async fn wait_ready(cluster: &LocalCluster, index: usize) -> Result<(), HarnessError> {
    let at = cluster.instances[index].ports.operators;
    cluster
        .wait_until("readiness", TIME_LIMIT, || async {
            let reply = cluster.client.get(at, "/readyz").await.ok()?;
            (reply.status == StatusCode::OK).then_some(())
        })
        .await
}
