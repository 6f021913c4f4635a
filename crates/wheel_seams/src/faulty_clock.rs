//! Clocks that are wrong as a file says.

use std::path::PathBuf;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime};

use wheel_types::MonotonicTime;

use crate::{ClockFault, FaultFile};

/// Names the file of this process's clocks.
const CLOCK_VARIABLE: &str = "WISTERIAWHEEL_CLOCK_FAULTS";

/// Moves what clocks read.
#[derive(Debug)]
pub struct FaultyClock {
    file: FaultFile<ClockFault>,
    /// The furthest that `CLOCK_BOOTTIME` was ahead: it never goes back.
    ahead: Duration,
}

impl FaultyClock {
    /// Clocks as the file at `path` says.
    pub fn open(path: PathBuf) -> Self {
        Self { file: FaultFile::open(path), ahead: Duration::ZERO }
    }

    /// The shifted time of day, at the earliest 1970.
    pub fn shift_day(&mut self, now: SystemTime) -> SystemTime {
        let shift_ms = self.file.look().day_shift_ms;
        let shift = Duration::from_millis(shift_ms.unsigned_abs());
        let shifted = match shift_ms < 0 {
            true => now.checked_sub(shift),
            false => now.checked_add(shift),
        };
        shifted.unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// `CLOCK_BOOTTIME` after the jumps so far.
    pub fn move_boot(&mut self, now: MonotonicTime) -> MonotonicTime {
        self.ahead = self.ahead.max(self.file.look().boot_ahead);
        now + self.ahead
    }
}

/// The clock that the process's environment names.
fn process_clock() -> Option<&'static Mutex<FaultyClock>> {
    static CLOCK: OnceLock<Option<Mutex<FaultyClock>>> = OnceLock::new();
    let open = || {
        let path = std::env::var_os(CLOCK_VARIABLE)?;
        Some(Mutex::new(FaultyClock::open(path.into())))
    };
    CLOCK.get_or_init(open).as_ref()
}

pub(crate) fn shift_day(now: SystemTime) -> SystemTime {
    let locked = process_clock().map(|clock| clock.lock().unwrap_or_else(PoisonError::into_inner));
    locked.map_or(now, |mut clock| clock.shift_day(now))
}

pub(crate) fn move_boot(now: MonotonicTime) -> MonotonicTime {
    let locked = process_clock().map(|clock| clock.lock().unwrap_or_else(PoisonError::into_inner));
    locked.map_or(now, |mut clock| clock.move_boot(now))
}
