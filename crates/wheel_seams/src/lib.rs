//! Clocks as the system reads them, and in test builds the seams by which faults come from outside.
//!
//! [`time_of_day`] and [`boot_now`] are the only places where the system reads these clocks. Without the
//! feature `fault-injection` they read the machine's, and [`is_planted`] is constantly false. With it, a
//! one-line file changes clocks and disks while the process runs, and a variable plants faults.

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
pub use fault_line::{FaultLine, LineError};
#[cfg(feature = "fault-injection")]
pub use faulty_clock::FaultyClock;
pub use planted_fault::is_planted;
#[cfg(feature = "fault-injection")]
pub use planted_fault::{PLANT_VARIABLE, PLANTED_NAMES};
pub use system_clock::{boot_now, time_of_day};
