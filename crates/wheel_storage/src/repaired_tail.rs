//! The truncated end of a log.

use std::path::PathBuf;

/// Why the end of the log couldn't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TailFault {
    /// The file ends before the last frame does: a write was interrupted.
    CutShort,
    /// The last frame has its full length, but its checksum differs: a write that reached the disk
    /// in part, or a damaged sector. The two can't be distinguished.
    BadChecksum,
}

/// The end of the log, truncated on opening because it was never acknowledged or is damaged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepairedTail {
    /// The file.
    pub file: PathBuf,
    /// Offset in bytes at which the file was truncated.
    pub offset: u64,
    /// Number of removed bytes.
    pub cut_bytes: u64,
    /// The reason.
    pub fault: TailFault,
}
