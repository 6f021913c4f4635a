//! Time limits that grow with what is sent.

use std::time::Duration;

/// Lowest rate at which control instances exchange large bodies, in bytes per second.
const MIN_RATE: f64 = 1_000_000.0;

/// How much longer a call may take because of its body.
pub(crate) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_RATE)
}
