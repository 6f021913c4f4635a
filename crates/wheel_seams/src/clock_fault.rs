//! The faults of clocks.

use std::time::Duration;

use crate::{FaultLine, FaultLineError, FaultMode};

/// The clock faults that a line sets, as in `day_shift_ms=-30000 boot_ahead_ms=5000`; each key is
/// optional.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClockFault {
    /// How far the time of day is ahead, in milliseconds; behind if negative.
    pub day_shift_ms: i64,
    /// How far `CLOCK_BOOTTIME` is ahead, as after suspensions of this total length.
    pub boot_ahead: Duration,
}

impl FaultMode for ClockFault {
    fn from_line(line: &mut FaultLine) -> Result<Self, FaultLineError> {
        let day_shift_ms = line.take_number("day_shift_ms")?.unwrap_or_default();
        let ahead_ms = line.take_number("boot_ahead_ms")?.unwrap_or_default();
        Ok(Self { day_shift_ms, boot_ahead: Duration::from_millis(ahead_ms) })
    }
}
