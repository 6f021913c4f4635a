//! The process's monotonic clock.

use std::time::{Duration, Instant};

use wheel_types::MonotonicTime;

/// Converts between [`Instant`] and [`MonotonicTime`]; shared by all parts of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self::starting_at(Instant::now())
    }

    /// A clock that starts at `start`.
    pub fn starting_at(start: Instant) -> Self {
        Self { start }
    }

    /// The current time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::between(self.start, Instant::now())
    }

    /// Converts an [`Instant`].
    pub fn at(&self, instant: Instant) -> MonotonicTime {
        MonotonicTime::between(self.start, instant)
    }

    /// Converts a [`MonotonicTime`].
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}
