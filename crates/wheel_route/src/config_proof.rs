//! As of when the configuration held by an instance is known to be the newest one.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use wheel_types::MonotonicTime;

/// The last moment for which it is proven that the configuration held by this instance was the
/// newest one. Times are passed in, from a clock that keeps running while the machine is suspended.
///
/// A new instance has no proof.
#[derive(Debug, Default)]
pub struct ConfigProof {
    proven: Mutex<Option<MonotonicTime>>,
    newest: AtomicU64,
}

impl ConfigProof {
    /// Records that the configuration held was the newest one at `moment`. Proofs may arrive in any
    /// order.
    pub fn record(&self, moment: MonotonicTime) {
        let mut proven = self.proven.lock();
        *proven = (*proven).max(Some(moment));
    }

    /// The time since the last proven moment; `None` without a proof.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        (*self.proven.lock()).map(|proven| now.since(proven))
    }

    /// Records that a version exists, whether it is held or not.
    pub fn record_version(&self, version: u64) {
        self.newest.fetch_max(version, Ordering::AcqRel);
    }

    /// The newest version that is known to exist; 0 without one.
    pub fn newest_version(&self) -> u64 {
        self.newest.load(Ordering::Acquire)
    }
}
