//! Prints the latency of a synced append:
//! `cargo run --release -p wheel_storage --example append_cost [COUNT]`.

use std::time::{Duration, Instant};

use wheel_storage::{LogRecord, LogStore, StorageError, StoredEntry};

/// Size of an entry in bytes.
const ENTRY_BYTES: usize = 600;
/// Number of appends if no argument is given.
const DEFAULT_COUNT: u64 = 5_000;

fn main() -> Result<(), StorageError> {
    let count = std::env::args().nth(1).and_then(|count| count.parse().ok());
    let count = count.unwrap_or(DEFAULT_COUNT);
    let folder = std::env::temp_dir().join(format!("append-cost-{}", std::process::id()));
    let (mut store, _) = LogStore::open(&folder)?;
    let mut latencies = Vec::new();
    for index in 1..=count {
        let entry = StoredEntry { index, term: 1, bytes: vec![7; ENTRY_BYTES] };
        let began = Instant::now();
        store.append(&[LogRecord::Entry(entry)])?;
        latencies.push(began.elapsed());
    }
    drop(store);
    std::fs::remove_dir_all(&folder).ok();
    latencies.sort_unstable();
    let at = |share: f64| latencies.get((latencies.len() as f64 * share) as usize).copied();
    let micros = |share| at(share).unwrap_or(Duration::ZERO).as_micros();
    println!("appends {count} p50_us {} p95_us {}", micros(0.5), micros(0.95));
    Ok(())
}
