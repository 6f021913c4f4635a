//! Measures the cost of a change of the manifest at each instance, and the time until it is active
//! everywhere.

use std::time::{Duration, Instant};

use wheel_harness::{ClusterSettings, HarnessError, LocalCluster};

use crate::bench_manifest::ABSENT_CENTRE;
use crate::{BenchError, BenchManifest, CsvTable, MeterReading, ProcessMeter, ScrapedCounters};

/// Changes in each measured span.
const CHANGES: usize = 20;
/// Time limit for a change to become active everywhere.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Time that is measured without changes; its cost is subtracted.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// The size of one measured system.
#[derive(Clone, Copy, Debug)]
struct ChangeSize {
    /// Instances in addition to the grantors, in one data centre.
    extra: usize,
    /// Engines in the manifest in addition to the one that runs.
    engines: usize,
}

/// Measures 7, 20 and 60 instances with a manifest of today's size, and 7 with manifests up to the
/// target size.
///
/// # Errors
/// [`BenchError`] if a system can't be started or a change doesn't become active in time.
pub async fn run_changes() -> Result<CsvTable, BenchError> {
    let columns = [
        "instances",
        "text_bytes",
        "in_force_ms_median",
        "in_force_ms_max",
        "entry_cpu_ms_per_change",
        "control_cpu_ms_per_change",
        "entry_bytes_per_change",
        "busiest_bytes_per_change",
        "entry_rss_mib",
    ];
    let mut table = CsvTable::new("changes", &columns);
    let sizes = [
        ChangeSize { extra: 4, engines: 0 },
        ChangeSize { extra: 17, engines: 0 },
        ChangeSize { extra: 57, engines: 0 },
        ChangeSize { extra: 4, engines: 1_000 },
        ChangeSize { extra: 4, engines: 5_000 },
        ChangeSize { extra: 4, engines: 10_000 },
    ];
    for size in sizes {
        table.push(&measure(size).await?);
    }
    Ok(table)
}

async fn measure(size: ChangeSize) -> Result<[f64; 9], BenchError> {
    let manifest = BenchManifest {
        grantors: 3,
        absent_engines: size.engines,
        models: 20 + size.engines * 94 / 1_000,
        adapters: size.engines * 36 / 100,
        ..BenchManifest::default()
    };
    let settings = ClusterSettings {
        extra_instances: size.extra,
        absent_centres: vec![ABSENT_CENTRE.into()],
        ..ClusterSettings::default()
    };
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(TIME_LIMIT).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let meters: Vec<ProcessMeter> = cluster
        .instances
        .iter_mut()
        .filter_map(|instance| instance.process().map(|process| ProcessMeter::open(process.id())))
        .collect();
    let before = snapshot(&cluster, &meters).await?;
    tokio::time::sleep(IDLE_TIME).await;
    let idle = snapshot(&cluster, &meters).await?;
    let mut times = Vec::new();
    for change in 0..CHANGES {
        times.push(apply_change(&cluster, change).await?);
    }
    let after = snapshot(&cluster, &meters).await?;
    Ok(summarise(&cluster, &before, &idle, &after, &mut times))
}

/// Resources that every instance had used up to one moment.
struct ClusterSnapshot {
    at: Instant,
    readings: Vec<MeterReading>,
    text_bytes: Vec<f64>,
}

async fn snapshot(
    cluster: &LocalCluster,
    meters: &[ProcessMeter],
) -> Result<ClusterSnapshot, HarnessError> {
    let mut text_bytes = Vec::new();
    for instance in &cluster.instances {
        let counters = ScrapedCounters::scrape(&cluster.client, instance.ports.operators).await?;
        text_bytes.push(counters.channel_bytes("text") + counters.channel_bytes("agreement"));
    }
    let readings = meters.iter().map(ProcessMeter::read).collect();
    Ok(ClusterSnapshot { at: Instant::now(), readings, text_bytes })
}

/// Applies a manifest with one changed line. Returns the time until it was active at the last
/// instance, in milliseconds.
async fn apply_change(cluster: &LocalCluster, change: usize) -> Result<f64, HarnessError> {
    let weight = format!("weight = {}", change + 2);
    let edited = cluster.source.replacen("weight = 1", &weight, 1);
    let at = cluster.instances[0].ports.operators;
    let revision = change as u64 + 2;
    let started = Instant::now();
    let key = format!("change-{change}");
    cluster.apply(at, &edited, revision - 1, &key).await?;
    cluster
        .wait_until("the change is active everywhere", TIME_LIMIT, || async {
            let status = cluster.status(at).await.ok()?;
            let read_at = Instant::now();
            let instances = status["instances"].as_array()?;
            let ages: Option<Vec<u64>> = instances
                .iter()
                .map(|instance| {
                    let is_current = instance["revision"].as_u64() == Some(revision);
                    is_current.then(|| instance["age_ms"].as_u64()).flatten()
                })
                .collect();
            let youngest = ages?.into_iter().min()?;
            let active_at = read_at - Duration::from_millis(youngest);
            Some(active_at.saturating_duration_since(started).as_secs_f64() * 1_000.0)
        })
        .await
}

fn summarise(
    cluster: &LocalCluster,
    before: &ClusterSnapshot,
    idle: &ClusterSnapshot,
    after: &ClusterSnapshot,
    times: &mut [f64],
) -> [f64; 9] {
    let busy_share = (after.at - idle.at).as_secs_f64() / (idle.at - before.at).as_secs_f64();
    let changes = CHANGES as f64;
    let net = |idle_use: f64, busy_use: f64| (busy_use - idle_use * busy_share).max(0.0) / changes;
    let cpu = |index: usize| {
        let idle_use = idle.readings[index].cpu_since(&before.readings[index]);
        let busy_use = after.readings[index].cpu_since(&idle.readings[index]);
        net(idle_use, busy_use) * 1_000.0
    };
    let bytes = |index: usize| {
        let idle_use = idle.text_bytes[index] - before.text_bytes[index];
        net(idle_use, after.text_bytes[index] - idle.text_bytes[index])
    };
    let indexes = 0..cluster.instances.len();
    let (control, ingress): (Vec<usize>, Vec<usize>) =
        indexes.clone().partition(|index| cluster.instances[*index].folder.is_some());
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
    times.sort_by(f64::total_cmp);
    [
        cluster.instances.len() as f64,
        cluster.source.len() as f64,
        times[times.len() / 2],
        times.last().copied().unwrap_or_default(),
        mean(ingress.iter().map(|index| cpu(*index)).collect()),
        mean(control.iter().map(|index| cpu(*index)).collect()),
        mean(ingress.iter().map(|index| bytes(*index)).collect()),
        indexes.map(bytes).fold(0.0, f64::max),
        mean(ingress.iter().map(|index| after.readings[*index].rss_mib).collect()),
    ]
}
