//! Measures the cost of streams: processor time per token and memory per open stream.

use std::time::Duration;

use wheel_harness::LocalCluster;

use crate::run_requests::{find_owner, meter_of, preloaded_settings};
use crate::{BenchError, BenchManifest, CsvTable, LoadClient};

/// Tokens of each stream.
const TOKENS: usize = 150;
/// Time after which memory is read; all streams are open by then.
const SAMPLE_AFTER: Duration = Duration::from_secs(2);

/// Measures 8, 64, 256 and 512 streams, sent to the owner and relayed by another instance.
///
/// # Errors
/// [`BenchError`] if a system can't be started.
pub async fn run_streams() -> Result<CsvTable, BenchError> {
    let columns = [
        "relayed",
        "streams",
        "tokens_per_s",
        "first_ms_median",
        "owner_cpu_us_per_token",
        "entry_cpu_us_per_token",
        "owner_rss_mib",
        "entry_rss_mib",
        "failed",
    ];
    let mut table = CsvTable::new("streams", &columns);
    for relayed in [false, true] {
        for streams in [8, 64, 256, 512] {
            table.push(&measure(relayed, streams).await?);
        }
    }
    Ok(table)
}

async fn measure(relayed: bool, streams: usize) -> Result<[f64; 9], BenchError> {
    let manifest = BenchManifest { grantors: 3, slots: 4_096, ..BenchManifest::default() };
    let settings = preloaded_settings("40000");
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    let owner = find_owner(&cluster).await?;
    let ingress = (owner + 1) % cluster.instances.len();
    let index = if relayed { ingress } else { owner };
    let client = LoadClient {
        addresses: vec![cluster.instances[index].ports.callers],
        path: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: format!(r#"{{"model":"busy","stream":true,"max_tokens":{TOKENS},"messages":[]}}"#),
        key_prefix: None,
    };
    let (owner_meter, ingress_meter) =
        (meter_of(&mut cluster, owner), meter_of(&mut cluster, ingress));
    let before = (owner_meter.read(), ingress_meter.read());
    let run = tokio::spawn(async move { client.run(streams, 1).await });
    tokio::time::sleep(SAMPLE_AFTER).await;
    let open = (owner_meter.read(), ingress_meter.read());
    let missing = || BenchError::Missing { what: "the streams' result".to_owned() };
    let result = run.await.map_err(|_| missing())?;
    let after = (owner_meter.read(), ingress_meter.read());
    let tokens = (result.succeeded as usize * TOKENS).max(1) as f64;
    let per_token = |cpu_s: f64| cpu_s * 1e6 / tokens;
    Ok([
        f64::from(u8::from(relayed)),
        streams as f64,
        tokens / result.span.as_secs_f64(),
        result.first_us.value_at_quantile(0.5) as f64 / 1_000.0,
        per_token(after.0.cpu_since(&before.0)),
        per_token(after.1.cpu_since(&before.1)),
        open.0.rss_mib - before.0.rss_mib,
        open.1.rss_mib - before.1.rss_mib,
        result.failed as f64,
    ])
}
