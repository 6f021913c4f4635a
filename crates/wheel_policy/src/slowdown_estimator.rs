//! How fast the weight store is now.

use std::time::Duration;

use crate::CheckpointSource;
use crate::moving_average::MovingAverage;

/// Weight of a new load in the average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Most that one load counts, against one that hung.
const MAX_SLOWDOWN: f64 = 50.0;

/// Follows the speed of loads from the store, so that a slow store lengthens what is expected of a
/// load instead of looking like a dead one.
#[derive(Clone, Debug)]
pub struct StoreGauge {
    slowdown: MovingAverage,
}

impl Default for StoreGauge {
    fn default() -> Self {
        Self { slowdown: MovingAverage::new(1.0, SAMPLE_WEIGHT) }
    }
}

impl StoreGauge {
    /// Counts a load that ended, or one that already takes longer than expected.
    pub fn observe(&mut self, source: CheckpointSource, expected: Duration, taken: Duration) {
        if source == CheckpointSource::Store && expected > Duration::ZERO {
            let ratio = taken.as_secs_f64() / expected.as_secs_f64();
            self.slowdown.add(ratio.clamp(1.0, MAX_SLOWDOWN));
        }
    }

    /// How many times longer than at full speed a load from the store takes; at least 1.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.value()
    }
}
