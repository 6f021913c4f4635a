//! Measures the cost of an idle instance by the number of instances in its data centre.

use std::time::Duration;

use wheel_harness::{ClusterSettings, LocalCluster};

use crate::bench_manifest::ABSENT_CENTRE;
use crate::{BenchError, BenchManifest, CsvTable, MeterReading, ProcessMeter, ScrapedCounters};

/// Measured time.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Time before the measurement, in which the membership updates of the start spread.
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// Measures 7, 20 and 55 instances in one data centre.
///
/// # Errors
/// [`BenchError`] if a system can't be started.
pub async fn run_idle() -> Result<CsvTable, BenchError> {
    let columns = [
        "instances",
        "member_bytes_per_s",
        "member_calls_per_s",
        "entry_wire_bytes_per_s",
        "entry_core_percent",
        "entry_rss_mib",
        "control_wire_bytes_per_s",
        "control_core_percent",
        "control_rss_mib",
    ];
    let mut table = CsvTable::new("idle", &columns);
    for extra in [4, 17, 52] {
        table.push(&measure(extra).await?);
    }
    Ok(table)
}

async fn measure(extra: usize) -> Result<[f64; 9], BenchError> {
    let manifest =
        BenchManifest { grantors: 3, engines: 0, absent_engines: 1, ..BenchManifest::default() };
    let settings = ClusterSettings {
        extra_instances: extra,
        absent_centres: vec![ABSENT_CENTRE.into()],
        ..ClusterSettings::default()
    };
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut measured = Vec::new();
    for instance in &mut cluster.instances {
        let id = instance.process().map_or(0, |process| process.id());
        measured.push((
            instance.ports.operators,
            instance.folder.is_some(),
            ProcessMeter::open(id),
        ));
    }
    let mut before = Vec::new();
    for (at, _, meter) in &measured {
        before.push((ScrapedCounters::scrape(&cluster.client, *at).await?, meter.read()));
    }
    tokio::time::sleep(MEASURED_TIME).await;
    let mut ingress = IdleSum::default();
    let mut control = IdleSum::default();
    for ((at, is_control, meter), (counters_before, reading_before)) in measured.iter().zip(&before)
    {
        // The processor time is read before the scrape, so that it doesn't include the scrape.
        let reading_after = meter.read();
        let counters_after = ScrapedCounters::scrape(&cluster.client, *at).await?;
        let sum = if *is_control { &mut control } else { &mut ingress };
        sum.add(counters_before, reading_before, &counters_after, &reading_after);
    }
    Ok([
        measured.len() as f64,
        ingress.mean(ingress.member_bytes),
        ingress.mean(ingress.member_calls),
        ingress.mean(ingress.wire_bytes),
        ingress.mean(ingress.core_percent),
        ingress.mean(ingress.rss_mib),
        control.mean(control.wire_bytes),
        control.mean(control.core_percent),
        control.mean(control.rss_mib),
    ])
}

/// Sums over the instances of one role; bytes and calls are per second.
#[derive(Clone, Copy, Debug, Default)]
struct IdleSum {
    instances: f64,
    member_bytes: f64,
    member_calls: f64,
    wire_bytes: f64,
    core_percent: f64,
    rss_mib: f64,
}

impl IdleSum {
    fn add(
        &mut self,
        counters_before: &ScrapedCounters,
        reading_before: &MeterReading,
        counters_after: &ScrapedCounters,
        reading_after: &MeterReading,
    ) {
        let span = (reading_after.at - reading_before.at).as_secs_f64();
        let rate = |read: fn(&ScrapedCounters) -> f64| {
            (read(counters_after) - read(counters_before)) / span
        };
        self.instances += 1.0;
        self.member_bytes += rate(|counters| counters.channel_bytes("membership"));
        self.member_calls += rate(|counters| counters.channel_calls("membership"));
        self.wire_bytes += rate(ScrapedCounters::wire_bytes);
        self.core_percent += reading_after.core_percent_since(reading_before);
        self.rss_mib += reading_after.rss_mib;
    }

    fn mean(&self, sum: f64) -> f64 {
        sum / self.instances.max(1.0)
    }
}
