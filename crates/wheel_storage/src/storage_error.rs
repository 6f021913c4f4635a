//! Why a data folder can't be used.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// A failure of [`LogStore`](crate::LogStore).
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// Another process, or another store of this one, uses the folder.
    #[snafu(display("data folder {} is used by another process", folder.display()))]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// The operating system refused an operation.
    #[snafu(display("cannot {action} {}: {source}", file.display()))]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or folder.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Data that had been synced is damaged or missing. Nothing was changed.
    #[snafu(display("{} is corrupt at offset {offset}: {reason}", file.display()))]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// Offset in bytes.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// An earlier write or sync failed, so that the end of the log is unknown until a restart.
    #[snafu(display("the store stopped after an earlier failure: {cause}"))]
    Poisoned {
        /// The earlier failure.
        cause: String,
    },
    /// The batch is larger than a frame may be. Nothing was written.
    #[snafu(display("a batch of {bytes} bytes exceeds the limit of {limit}"))]
    TooLarge {
        /// Size of the encoded batch.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// An index doesn't follow the last one, or lies within the snapshot. Nothing was written.
    #[snafu(display("index {found} is out of order, expected {expected}"))]
    OutOfOrder {
        /// The expected index, or the lowest valid one.
        expected: u64,
        /// The given index.
        found: u64,
    },
    /// A record couldn't be encoded. Nothing was written.
    #[snafu(display("cannot encode a record: {source}"))]
    Encode {
        /// The codec's error.
        source: postcard::Error,
    },
}

impl StorageError {
    /// Whether the disk is full and nothing else is wrong, so that the call may be repeated.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io { source, .. } if is_full(source))
    }
}

/// Whether a system call failed because the disk or quota is full.
fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
}
