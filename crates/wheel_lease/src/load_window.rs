//! How many loads from the weight store may begin in a window of time.

use std::collections::VecDeque;
use std::time::Duration;

use wheel_types::MonotonicTime;

/// Counts loads that began, over all engines, in any window of a fixed length.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadWindow {
    begun: VecDeque<MonotonicTime>,
}

impl LoadWindow {
    /// A window for a holder that doesn't know what its predecessor began: full at `now`.
    pub fn full(now: MonotonicTime, most: usize) -> Self {
        Self { begun: std::iter::repeat_n(now, most).collect() }
    }

    /// Loads that may begin at `now`, of `most` in any `window`.
    pub fn room(&mut self, now: MonotonicTime, window: Duration, most: usize) -> usize {
        while self.begun.front().is_some_and(|begun| now.since(*begun) > window) {
            self.begun.pop_front();
        }
        most.saturating_sub(self.begun.len())
    }

    /// Counts a load that may begin at `now`.
    pub fn note(&mut self, now: MonotonicTime) {
        self.begun.push_back(now);
    }
}
