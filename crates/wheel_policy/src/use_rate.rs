//! How much is used per second.

use std::time::Duration;

use wheel_types::MonotonicTime;

/// Time over which use is averaged.
const AVERAGE_TIME: Duration = Duration::from_secs(1);

/// Fewest expected uses for which units are held: with fewer, a large share of them lapses unused.
const MIN_USES: f64 = 3.0;

/// Recent use, and the mean of one use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UseRate {
    rate: f64,
    mean: f64,
    updated: MonotonicTime,
}

impl UseRate {
    /// Records a use.
    pub(crate) fn record(&mut self, now: MonotonicTime, amount: u64) {
        self.rate = self.at(now) + amount as f64 / AVERAGE_TIME.as_secs_f64();
        self.updated = self.updated.max(now);
        self.mean =
            if self.mean == 0.0 { amount as f64 } else { self.mean * 0.9 + amount as f64 * 0.1 };
    }

    /// Units per second.
    pub(crate) fn at(&self, now: MonotonicTime) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.rate * (-passed).exp()
    }

    /// The units to hold for the use in `time`; none for rare uses, for which most would lapse.
    pub(crate) fn target(&self, now: MonotonicTime, time: Duration) -> u64 {
        let expected = self.at(now) * time.as_secs_f64();
        if expected >= self.mean * MIN_USES { expected as u64 } else { 0 }
    }
}
