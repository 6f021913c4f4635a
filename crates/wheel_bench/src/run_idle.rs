//! What an instance costs while nothing happens, by the number of instances in its data centre.

use std::time::Duration;

use wheel_harness::{ClusterSettings, LocalCluster};

use crate::bench_text::ABSENT_CENTRE;
use crate::{BenchError, BenchText, CsvTable, MeterReading, ProcessMeter, ScrapedCounters};

/// Time that is watched.
const SPAN: Duration = Duration::from_secs(10);
/// Time for everything to settle before: the news of who joined travels for a while.
const SETTLE: Duration = Duration::from_secs(40);

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
    let text = BenchText { grantors: 3, engines: 0, absent_engines: 1, ..BenchText::default() };
    let settings = ClusterSettings {
        extra_instances: extra,
        absent_centres: vec![ABSENT_CENTRE.into()],
        ..ClusterSettings::default()
    };
    let mut cluster = LocalCluster::start(&text.cluster_text()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    tokio::time::sleep(SETTLE).await;
    let mut watched = Vec::new();
    for instance in &mut cluster.instances {
        let id = instance.process().map_or(0, |process| process.id());
        watched.push((instance.ports.operators, instance.folder.is_some(), ProcessMeter::open(id)));
    }
    let mut before = Vec::new();
    for (at, _, meter) in &watched {
        before.push((ScrapedCounters::scrape(&cluster.client, *at).await?, meter.read()));
    }
    tokio::time::sleep(SPAN).await;
    let mut entry = IdleSum::default();
    let mut control = IdleSum::default();
    for ((at, is_control, meter), (counters, reading)) in watched.iter().zip(&before) {
        // The processor time is read first, so that this scrape isn't part of it.
        let now = meter.read();
        let counted = ScrapedCounters::scrape(&cluster.client, *at).await?;
        let sum = if *is_control { &mut control } else { &mut entry };
        sum.add(counters, reading, &counted, &now);
    }
    Ok([
        watched.len() as f64,
        entry.mean(entry.member_bytes),
        entry.mean(entry.member_calls),
        entry.mean(entry.wire_bytes),
        entry.mean(entry.core_percent),
        entry.mean(entry.rss_mib),
        control.mean(control.wire_bytes),
        control.mean(control.core_percent),
        control.mean(control.rss_mib),
    ])
}

/// Sums over instances of one role, each a second.
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
        counters: &ScrapedCounters,
        reading: &MeterReading,
        counted: &ScrapedCounters,
        now: &MeterReading,
    ) {
        let span = (now.at - reading.at).as_secs_f64();
        let grown = |read: fn(&ScrapedCounters) -> f64| (read(counted) - read(counters)) / span;
        self.instances += 1.0;
        self.member_bytes += grown(|counters| counters.channel_bytes("membership"));
        self.member_calls += grown(|counters| counters.channel_calls("membership"));
        self.wire_bytes += grown(ScrapedCounters::wire_bytes);
        self.core_percent += now.core_percent_since(reading);
        self.rss_mib += now.rss_mib;
    }

    fn mean(&self, sum: f64) -> f64 {
        sum / self.instances.max(1.0)
    }
}
