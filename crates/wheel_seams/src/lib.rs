//! System clocks and, in test builds, the injection of clock, disk and planted faults.
//!
//! [`time_of_day`] and [`boot_now`] are the only places where the system reads these clocks. Without
//! the feature `fault-injection` they return the machine's time, and [`is_planted`] is always false.
//! With it, a one-line file sets clock and disk faults while the process runs, and an environment
//! variable plants faults.

#[cfg(feature = "fault-injection")]
mod clock_fault;
#[cfg(feature = "fault-injection")]
mod fault_file;
#[cfg(feature = "fault-injection")]
mod fault_line;
#[cfg(feature = "fault-injection")]
mod faulty_clock;
mod planted_fault;
mod system_clock;

#[cfg(feature = "fault-injection")]
pub use clock_fault::ClockFault;
#[cfg(feature = "fault-injection")]
pub use fault_file::{FaultFile, FaultMode};
#[cfg(feature = "fault-injection")]
pub use fault_line::{FaultLine, FaultLineError};
#[cfg(feature = "fault-injection")]
pub use faulty_clock::FaultyClock;
pub use planted_fault::is_planted;
#[cfg(feature = "fault-injection")]
pub use planted_fault::{PLANT_VARIABLE, PLANTED_NAMES};
pub use system_clock::{boot_now, time_of_day};
