//! The machine's clocks, apart from the steady one.

use std::time::SystemTime;

use wheel_types::MonotonicTime;

/// The time of day. It may jump forward and back, so that nothing durable or agreed may rest on it.
pub fn time_of_day() -> SystemTime {
    #[cfg(feature = "fault-injection")]
    return crate::faulty_clock::shift_day(SystemTime::now());
    #[cfg(not(feature = "fault-injection"))]
    SystemTime::now()
}

/// Time since the machine's start, suspensions included. What guards an order is measured by it.
pub fn boot_now() -> MonotonicTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec / 1_000).unwrap_or_default();
    let now = MonotonicTime::from_micros(seconds * 1_000_000 + micros);
    #[cfg(feature = "fault-injection")]
    return crate::faulty_clock::move_boot(now);
    #[cfg(not(feature = "fault-injection"))]
    now
}
