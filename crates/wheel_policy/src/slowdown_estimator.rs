//! Estimates the current speed of the weight store.

use std::time::Duration;

use crate::CheckpointSource;
use crate::moving_average::MovingAverage;

/// Weight of a new load in the average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Maximum slowdown that one load counts, so that one that hung doesn't dominate the average.
const MAX_SLOWDOWN: f64 = 50.0;

/// Average slowdown of loads from the store, so that a slow store lengthens the expected duration
/// of a load instead of looking like a dead one.
#[derive(Clone, Debug)]
pub struct SlowdownEstimator {
    slowdown: MovingAverage,
}

impl Default for SlowdownEstimator {
    fn default() -> Self {
        Self { slowdown: MovingAverage::new(1.0, SAMPLE_WEIGHT) }
    }
}

impl SlowdownEstimator {
    /// Records the duration of a load that ended, or that already takes longer than expected.
    pub fn observe(&mut self, source: CheckpointSource, expected: Duration, duration: Duration) {
        if source == CheckpointSource::Store && expected > Duration::ZERO {
            let ratio = duration.as_secs_f64() / expected.as_secs_f64();
            self.slowdown.add(ratio.clamp(1.0, MAX_SLOWDOWN));
        }
    }

    /// Duration of a load from the store relative to full speed; at least 1.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.value()
    }
}
