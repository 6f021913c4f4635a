//! How long each failure takes until the promises hold again.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use wheel_harness::{ClusterSettings, HarnessError, LocalCluster, ProcessSignal};

use crate::{BenchError, BenchText, CsvTable};

/// Times that each failure is brought about.
const ROUNDS: usize = 3;
/// Time after which a failure counts as not mended.
const LIMIT: Duration = Duration::from_secs(40);

/// What fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FailureKind {
    /// The group's leader is killed: until a change is accepted.
    LeaderKilled,
    /// An owner of engines is killed: until a question to its engine is answered.
    OwnerKilled,
    /// The lease holder is killed: until a cold model is loaded.
    HolderKilled,
    /// An instance is restarted: until it is ready.
    InstanceRestarted,
    /// A leader is frozen: until a change is accepted.
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
    let text = BenchText { grantors: 5, engines: 1, ..BenchText::default() };
    let settings =
        ClusterSettings { preload: vec!["c1-e1=busy".to_owned()], ..ClusterSettings::default() };
    let mut cluster = LocalCluster::start(&text.cluster_text()?, &settings).await?;
    cluster.apply_first(LIMIT).await?;
    ask_until_answered(&cluster, 0, "busy").await?;
    // Only a holder can load a model, so that there is one afterwards.
    ask_until_answered(&cluster, 0, "m0").await?;
    let victim = find_victim(&cluster, kind).await?;
    let helper = (victim + 1) % cluster.instances.len();
    match kind {
        FailureKind::LeaderFrozen => cluster.instances[victim].signal(ProcessSignal::Stop),
        _ => cluster.instances[victim].kill(),
    }
    let started = Instant::now();
    match kind {
        FailureKind::LeaderKilled | FailureKind::LeaderFrozen => {
            apply_until_accepted(&cluster, helper).await?;
        }
        FailureKind::OwnerKilled => ask_until_answered(&cluster, helper, "busy").await?,
        FailureKind::HolderKilled => ask_until_answered(&cluster, helper, "m1").await?,
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
    let place = cluster.instances.iter().position(|one| Some(one.name.as_str()) == name);
    place.ok_or_else(|| BenchError::Missing { what: format!("an instance for {kind:?}") })
}

async fn ask_until_answered(
    cluster: &LocalCluster,
    place: usize,
    model: &str,
) -> Result<(), HarnessError> {
    let at = cluster.instances[place].ports.callers;
    let body = format!(r#"{{"model":"{model}","max_tokens":1,"messages":[]}}"#);
    cluster
        .wait_until(&format!("an answer by {model}"), LIMIT, || async {
            let headers = [("wheel-caller", "desk"), ("wheel-deadline-ms", "3000")];
            let path = "/v1/chat/completions";
            let reply = cluster.client.call(Method::POST, at, path, &headers, body.clone()).await;
            (reply.ok()?.status == StatusCode::OK).then_some(())
        })
        .await
}

async fn apply_until_accepted(cluster: &LocalCluster, place: usize) -> Result<(), HarnessError> {
    let at = cluster.instances[place].ports.operators;
    let edited = cluster.source.replacen("weight = 1", "weight = 9", 1);
    cluster
        .wait_until("an accepted change", LIMIT, || async {
            let reply = cluster.apply(at, &edited, 1, "after-failure").await.ok()?;
            (reply.status == StatusCode::OK).then_some(())
        })
        .await
}

async fn wait_ready(cluster: &LocalCluster, place: usize) -> Result<(), HarnessError> {
    let at = cluster.instances[place].ports.operators;
    cluster
        .wait_until("readiness", LIMIT, || async {
            let reply = cluster.client.get(at, "/readyz").await.ok()?;
            (reply.status == StatusCode::OK).then_some(())
        })
        .await
}
