//! Clocks with faults that are set in a file.

use std::path::PathBuf;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime};

use wheel_types::MonotonicTime;

use crate::{ClockFault, FaultFile};

/// Environment variable with the path of the clock fault file.
const CLOCK_VARIABLE: &str = "WISTERIAWHEEL_CLOCK_FAULTS";

/// Shifts the times that the system clocks return.
#[derive(Debug)]
pub struct FaultyClock {
    file: FaultFile<ClockFault>,
    /// The largest shift of `CLOCK_BOOTTIME` so far: the clock never goes back.
    boot_ahead: Duration,
}

impl FaultyClock {
    /// Clocks with the faults that the file at `path` sets.
    pub fn open(path: PathBuf) -> Self {
        Self { file: FaultFile::open(path), boot_ahead: Duration::ZERO }
    }

    /// The shifted time of day; the start of 1970 if it can't be represented.
    pub fn shift_time_of_day(&mut self, now: SystemTime) -> SystemTime {
        let shift_ms = self.file.refresh().day_shift_ms;
        let shift = Duration::from_millis(shift_ms.unsigned_abs());
        let shifted = match shift_ms < 0 {
            true => now.checked_sub(shift),
            false => now.checked_add(shift),
        };
        shifted.unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// `CLOCK_BOOTTIME` with the largest shift so far.
    pub fn shift_boot_time(&mut self, now: MonotonicTime) -> MonotonicTime {
        self.boot_ahead = self.boot_ahead.max(self.file.refresh().boot_ahead);
        now + self.boot_ahead
    }
}

/// The clock of this process, if its environment names a fault file.
fn process_clock() -> Option<&'static Mutex<FaultyClock>> {
    static CLOCK: OnceLock<Option<Mutex<FaultyClock>>> = OnceLock::new();
    let open = || {
        let path = std::env::var_os(CLOCK_VARIABLE)?;
        Some(Mutex::new(FaultyClock::open(path.into())))
    };
    CLOCK.get_or_init(open).as_ref()
}

pub(crate) fn shift_time_of_day(now: SystemTime) -> SystemTime {
    let locked = process_clock().map(|clock| clock.lock().unwrap_or_else(PoisonError::into_inner));
    locked.map_or(now, |mut clock| clock.shift_time_of_day(now))
}

pub(crate) fn shift_boot_time(now: MonotonicTime) -> MonotonicTime {
    let locked = process_clock().map(|clock| clock.lock().unwrap_or_else(PoisonError::into_inner));
    locked.map_or(now, |mut clock| clock.shift_boot_time(now))
}
