//! Measures the cost of owning engines and of directing them.

use std::time::Duration;

use wheel_harness::{ClusterSettings, LocalCluster};

use crate::bench_manifest::ABSENT_CENTRE;
use crate::{BenchError, BenchManifest, CsvTable, ProcessMeter, ScrapedCounters};

/// Measured time; long enough that an unchanged report is repeated within it.
const MEASURED_TIME: Duration = Duration::from_secs(24);
/// Time before the measurement, in which the lease is acquired and the engines are assigned.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Measures a data centre of three instances with 0 to 48 engines.
///
/// # Errors
/// [`BenchError`] if a system can't be started.
pub async fn run_polling() -> Result<CsvTable, BenchError> {
    let columns = [
        "engines",
        "engines_per_owner",
        "holder_core_percent",
        "other_core_percent",
        "other_wire_bytes_per_s",
        "report_bytes_per_s",
        "other_rss_mib",
    ];
    let mut table = CsvTable::new("polling", &columns);
    for engines in [0, 6, 24, 48] {
        table.push(&measure(engines).await?);
    }
    Ok(table)
}

async fn measure(engines: usize) -> Result<[f64; 7], BenchError> {
    let manifest =
        BenchManifest { grantors: 3, engines, absent_engines: 1, ..BenchManifest::default() };
    let settings = ClusterSettings {
        control: 1,
        absent_centres: vec![ABSENT_CENTRE.into()],
        ..ClusterSettings::default()
    };
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let at = cluster.instances[0].ports.operators;
    let status = cluster.status(at).await?;
    let holds = |name: &str| {
        let instances = status["instances"].as_array().into_iter().flatten();
        let mut named = instances.filter(|instance| instance["name"].as_str() == Some(name));
        named.any(|instance| instance["holds_lease"].as_bool() == Some(true))
    };
    let mut measured = Vec::new();
    for instance in &mut cluster.instances {
        let id = instance.process().map_or(0, |process| process.id());
        let is_control = instance.folder.is_some();
        let is_holder = holds(instance.name.as_str());
        measured.push((instance.ports.operators, is_holder, is_control, ProcessMeter::open(id)));
    }
    let mut before = Vec::new();
    for (at, _, _, meter) in &measured {
        before.push((ScrapedCounters::scrape(&cluster.client, *at).await?, meter.read()));
    }
    tokio::time::sleep(MEASURED_TIME).await;
    let (mut holder_percent, mut others) = (0.0, Vec::new());
    for ((at, is_holder, is_control, meter), (counters_before, reading_before)) in
        measured.iter().zip(&before)
    {
        let reading_after = meter.read();
        let counters_after = ScrapedCounters::scrape(&cluster.client, *at).await?;
        let span = (reading_after.at - reading_before.at).as_secs_f64();
        let percent = reading_after.core_percent_since(reading_before);
        if *is_holder {
            holder_percent = percent;
        }
        if !*is_holder && !*is_control {
            let wire = (counters_after.wire_bytes() - counters_before.wire_bytes()) / span;
            let reports = (counters_after.channel_bytes("report")
                - counters_before.channel_bytes("report"))
                / span;
            others.push([percent, wire, reports, reading_after.rss_mib]);
        }
    }
    let count = others.len().max(1) as f64;
    let mean = |column: usize| others.iter().map(|other| other[column]).sum::<f64>() / count;
    let per_owner = engines as f64 / cluster.instances.len() as f64;
    Ok([engines as f64, per_owner, holder_percent, mean(0), mean(1), mean(2), mean(3)])
}
