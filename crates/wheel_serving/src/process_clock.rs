//! The process's monotonic clock.

use std::time::{Duration, Instant};

use wheel_types::MonotonicTime;

/// Converts between the clock and [`MonotonicTime`]; every part of a process shares one.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts to count now.
    pub fn start() -> Self {
        Self::starting_at(Instant::now())
    }

    /// Counts from `start`.
    pub fn starting_at(start: Instant) -> Self {
        Self { start }
    }

    /// The present time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::between(self.start, Instant::now())
    }

    /// The point that an [`Instant`] stands for.
    pub fn at(&self, instant: Instant) -> MonotonicTime {
        MonotonicTime::between(self.start, instant)
    }

    /// The [`Instant`] of a point.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}
