//! The clocks of the machine, except the monotonic one.

use std::time::SystemTime;

use wheel_types::MonotonicTime;

/// The time of day. It may jump forward and back, so that no durable or replicated state may depend
/// on it.
pub fn time_of_day() -> SystemTime {
    #[cfg(feature = "fault-injection")]
    return crate::faulty_clock::shift_time_of_day(SystemTime::now());
    #[cfg(not(feature = "fault-injection"))]
    SystemTime::now()
}

/// Time since the machine's start, including suspensions. The periods that guard orders are
/// measured by this clock.
pub fn boot_now() -> MonotonicTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec / 1_000).unwrap_or_default();
    let now = MonotonicTime::from_micros(seconds * 1_000_000 + micros);
    #[cfg(feature = "fault-injection")]
    return crate::faulty_clock::shift_boot_time(now);
    #[cfg(not(feature = "fault-injection"))]
    now
}
