//! A clock that goes on while the machine is suspended.

use wheel_types::MonotonicTime;

/// Time since the machine's start, suspensions included. What guards an order is measured by it.
pub fn boot_now() -> MonotonicTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec / 1_000).unwrap_or_default();
    MonotonicTime::from_micros(seconds * 1_000_000 + micros)
}
