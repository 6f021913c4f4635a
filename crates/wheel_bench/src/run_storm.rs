//! Measures the cost of a refusal compared with an answer, for storms of retries.

use std::time::Duration;

use wheel_harness::LocalCluster;

use crate::run_requests::{find_owner, meter_of, preloaded_settings};
use crate::{BenchError, BenchManifest, CsvTable, LoadClient};

/// Requests in each measured run.
const REQUESTS: usize = 6_000;

/// Measures requests that are refused at once and requests that are answered, at 16, 64 and 256
/// open requests.
///
/// # Errors
/// [`BenchError`] if a system can't be started.
pub async fn run_storm() -> Result<CsvTable, BenchError> {
    let columns = ["refused", "open", "requests_per_s", "cpu_us_per_request"];
    let mut table = CsvTable::new("storm", &columns);
    let manifest = BenchManifest { slots: 4_096, ..BenchManifest::default() };
    let settings = preloaded_settings("0");
    let mut cluster = LocalCluster::start(&manifest.cluster_manifest()?, &settings).await?;
    cluster.apply_first(Duration::from_secs(30)).await?;
    let owner = find_owner(&cluster).await?;
    for refused in [true, false] {
        for open in [16, 64, 256] {
            // `m1` isn't loaded, and can't be within a hundredth of its load time.
            let (model, deadline) = if refused { ("m1", "100") } else { ("busy", "20000") };
            let client = LoadClient {
                addresses: vec![cluster.instances[owner].ports.callers],
                path: "/v1/chat/completions".to_owned(),
                headers: vec![("wheel-deadline-ms".to_owned(), deadline.to_owned())],
                body: format!(r#"{{"model":"{model}","max_tokens":1,"messages":[]}}"#),
                key_prefix: None,
            };
            let meter = meter_of(&mut cluster, owner);
            let before = meter.read();
            let result = client.run(open, REQUESTS.div_ceil(open)).await;
            let cpu = meter.read().cpu_since(&before);
            let requests = (result.succeeded + result.failed).max(1) as f64;
            let rate = requests / result.span.as_secs_f64();
            table.push(&[f64::from(u8::from(refused)), open as f64, rate, cpu * 1e6 / requests]);
        }
    }
    Ok(table)
}
