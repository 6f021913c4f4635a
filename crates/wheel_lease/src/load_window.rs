//! Limits how many loads from the weight store begin in a time window.

use std::collections::VecDeque;
use std::time::Duration;

use wheel_types::MonotonicTime;

/// Counts the loads that began, over all engines, in a sliding time window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadWindow {
    starts: VecDeque<MonotonicTime>,
}

impl LoadWindow {
    /// A window that is full at `now`, for a holder that doesn't know which loads its predecessor
    /// began.
    pub fn full(now: MonotonicTime, limit: usize) -> Self {
        Self { starts: std::iter::repeat_n(now, limit).collect() }
    }

    /// Loads that may begin at `now`, of `limit` in any `window`.
    pub fn available(&mut self, now: MonotonicTime, window: Duration, limit: usize) -> usize {
        while self.starts.front().is_some_and(|start| now.since(*start) > window) {
            self.starts.pop_front();
        }
        limit.saturating_sub(self.starts.len())
    }

    /// Time until a load may begin, of `limit` in any `window`.
    pub fn wait(&mut self, now: MonotonicTime, window: Duration, limit: usize) -> Duration {
        if limit == 0 {
            return window;
        }
        match self.available(now, window, limit) {
            0 => (self.starts[self.starts.len() - limit] + window).since(now),
            _ => Duration::ZERO,
        }
    }

    /// Counts a load that may begin at `now`.
    pub fn record(&mut self, now: MonotonicTime) {
        self.starts.push_back(now);
    }
}
