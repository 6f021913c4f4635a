//! The faults of a disk.

use std::time::Duration;

use wheel_seams::{FaultLine, FaultLineError, FaultMode};

/// The fault that a line sets: `mode=` and the keys of that mode.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DiskFault {
    /// `mode=none`, or an empty line.
    #[default]
    None,
    /// `mode=slow sync_ms=N`: each sync takes this much longer.
    Slow {
        /// The time added to each sync.
        sync: Duration,
    },
    /// `mode=stalled stall_ms=N`: writes and syncs block until this long after the line was first
    /// seen.
    Stalled {
        /// The time from the first read of the line.
        stall: Duration,
    },
    /// `mode=full`: each write fails because the disk is full.
    Full,
    /// `mode=unsynced torn_bytes=N`: syncs report success, but writes, renames and removals stay in
    /// the memory of the process, apart from the first bytes of the first write.
    Unsynced {
        /// How many of these bytes reach the file; 0 if the key is missing.
        torn_bytes: usize,
    },
    /// `mode=failing`: each operation fails with an I/O error.
    Failing,
}

impl FaultMode for DiskFault {
    fn from_line(line: &mut FaultLine) -> Result<Self, FaultLineError> {
        let mode = line.take_value("mode").unwrap_or_else(|| "none".to_owned());
        Ok(match mode.as_str() {
            "none" => Self::None,
            "slow" => Self::Slow { sync: Duration::from_millis(line.require_number("sync_ms")?) },
            "stalled" => {
                Self::Stalled { stall: Duration::from_millis(line.require_number("stall_ms")?) }
            }
            "full" => Self::Full,
            "unsynced" => {
                Self::Unsynced { torn_bytes: line.take_number("torn_bytes")?.unwrap_or_default() }
            }
            "failing" => Self::Failing,
            _ => return Err(FaultLineError::WrongValue { key: "mode".to_owned(), value: mode }),
        })
    }
}
