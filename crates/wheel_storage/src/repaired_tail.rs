//! What was cut off the end of the log when the folder was opened.

use std::path::PathBuf;

/// Why the end of the log couldn't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TailFault {
    /// The file ends before the last frame does: a write was cut off.
    CutShort,
    /// The last frame is as long as it says, but its checksum differs: a write that reached the
    /// disk in part, or a damaged sector. The two can't be told apart.
    BadChecksum,
}

/// The end of the log that was cut off because it was never acknowledged or is damaged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepairedTail {
    /// The file.
    pub file: PathBuf,
    /// Offset in bytes at which it was cut.
    pub offset: u64,
    /// How many bytes were cut off.
    pub cut_bytes: u64,
    /// Why.
    pub fault: TailFault,
}
