//! The recorder of metrics.

use std::time::Duration;

use metrics::gauge;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use wheel_memory::process_budget;

use crate::StartError;

/// Upper bounds of the histograms' buckets, in seconds.
const HISTOGRAM_BUCKETS_S: [f64; 12] =
    [0.001, 0.003, 0.01, 0.03, 0.064, 0.1, 0.3, 1.0, 1.4, 3.0, 10.0, 60.0];

/// Time between two upkeeps of the recorder.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the recorder of this process. The values of histograms move to their buckets every
/// `upkeep`; until then each value is kept, even if metrics are never read.
///
/// # Errors
/// [`StartError::Metrics`] if the process has a recorder.
pub fn install_recorder(upkeep: Duration) -> Result<PrometheusHandle, StartError> {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS_S)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| StartError::Metrics { reason: error.to_string() })?;
    let maintained = recorder.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(upkeep).await;
            maintained.run_upkeep();
            gauge!("wheel_held_bytes").set(process_budget().held() as f64);
        }
    });
    Ok(recorder)
}
