//! Values of histograms must not accumulate while nobody reads the metrics. The recorder is the
//! process's own, so that this file has one test.

#![allow(clippy::expect_used)]

use std::time::Duration;

use metrics::histogram;
use wheel_daemon::install_recorder;

/// One million values.
const BATCHES: usize = 100;
const BATCH_VALUES: u32 = 10_000;
const UPKEEP: Duration = Duration::from_millis(50);
/// Each value that is kept takes 17.5 bytes, one million 17.5 MB.
const MAX_GROWTH_BYTES: u64 = 4 << 20;

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    let kib = size.trim().strip_suffix(" kB").expect("a size in KiB");
    kib.parse::<u64>().expect("a number") << 10
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn histograms_that_nobody_reads_take_no_more_memory() {
    let recorder = install_recorder(UPKEEP).expect("the first recorder");
    let mut before = 0;
    for batch in 0..BATCHES {
        for value in 0..BATCH_VALUES {
            histogram!("wheel_request_seconds", "service" => "s").record(f64::from(value) / 1e4);
        }
        tokio::time::sleep(UPKEEP).await;
        if batch == 0 {
            before = resident_bytes();
        }
    }
    let growth = resident_bytes().saturating_sub(before);
    println!("{growth} bytes over {} values", BATCHES as u32 * BATCH_VALUES);
    assert!(growth < MAX_GROWTH_BYTES, "grew by {growth} bytes");
    let count = format!("{}", BATCHES as u32 * BATCH_VALUES);
    let rendered = recorder.render();
    let counted = rendered.lines().find(|line| line.starts_with("wheel_request_seconds_count"));
    assert!(counted.is_some_and(|line| line.ends_with(&count)), "each value counts: {counted:?}");
}
