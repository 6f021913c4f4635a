//! Measures how many claims a consensus group commits.

use std::time::Duration;

use wheel_harness::{ClusterSettings, LocalCluster};

use crate::{BenchError, BenchManifest, CsvTable, LoadClient, ProcessMeter, ScrapedCounters};

/// Bookings in each measured run; each takes two commits.
const BOOKINGS: usize = 2_000;

/// Measures groups of 3 and 5 voters with 1, 16 and 64 open bookings.
///
/// # Errors
/// [`BenchError`] if a system can't be started.
pub async fn run_claims() -> Result<CsvTable, BenchError> {
    let columns = [
        "voters",
        "open",
        "bookings_per_s",
        "median_ms",
        "p99_ms",
        "failed",
        "leader_cpu_us_per_booking",
        "leader_bytes_per_booking",
        "leader_rss_mib",
    ];
    let mut table = CsvTable::new("claims", &columns);
    for voters in [3, 5] {
        let manifest = BenchManifest { grantors: 5, services: 1, ..BenchManifest::default() };
        let settings = ClusterSettings { control: voters, ..ClusterSettings::default() };
        let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
        cluster.apply_first(Duration::from_secs(30)).await?;
        for open in [1, 16, 64] {
            table.push(&measure(&mut cluster, voters, open).await?);
        }
    }
    Ok(table)
}

async fn measure(
    cluster: &mut LocalCluster,
    voters: usize,
    open: usize,
) -> Result<[f64; 9], BenchError> {
    let at = cluster.instances[0].ports.operators;
    let status = cluster.status(at).await?;
    let leader = status["leader"].as_str().unwrap_or_default().to_owned();
    let missing = || BenchError::Missing { what: "the group's leader".to_owned() };
    let index = cluster.instances.iter().position(|instance| instance.name.as_str() == leader);
    let leader = &mut cluster.instances[index.ok_or_else(missing)?];
    let operators = leader.ports.operators;
    let meter = ProcessMeter::open(leader.process().map_or(0, |process| process.id()));
    let client = LoadClient {
        addresses: cluster.instances.iter().map(|instance| instance.ports.callers).collect(),
        path: "/booking/seats".to_owned(),
        headers: Vec::new(),
        body: r#"{"seats":1}"#.to_owned(),
        key_prefix: Some(format!("v{voters}-o{open}")),
    };
    let before = (meter.read(), ScrapedCounters::scrape(&cluster.client, operators).await?);
    let result = client.run(open, BOOKINGS.div_ceil(open)).await;
    let after = (meter.read(), ScrapedCounters::scrape(&cluster.client, operators).await?);
    let bookings = (result.succeeded + result.failed).max(1) as f64;
    let ms = |quantile: f64| result.total_us.value_at_quantile(quantile) as f64 / 1_000.0;
    Ok([
        voters as f64,
        open as f64,
        result.rate(),
        ms(0.5),
        ms(0.99),
        result.failed as f64,
        after.0.cpu_since(&before.0) * 1e6 / bookings,
        (after.1.wire_bytes() - before.1.wire_bytes()) / bookings,
        after.0.rss_mib,
    ])
}
