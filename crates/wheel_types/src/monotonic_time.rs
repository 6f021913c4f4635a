//! A point in monotonic time, passed to pure code so that it needs no clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary start in this process. Values of two processes must never be
/// compared.
///
/// ```
/// use std::time::Duration;
/// use wheel_types::MonotonicTime;
///
/// let start = MonotonicTime::default();
/// assert_eq!((start + Duration::from_secs(2)) - start, Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// Makes a point from microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a point from milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The point at which the clock reads `now`, in a process that counts from `start`.
    pub fn between(start: Instant, now: Instant) -> Self {
        Self::default() + now.saturating_duration_since(start)
    }

    /// The point `span` earlier, or the start if that is later.
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for MonotonicTime {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for MonotonicTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
