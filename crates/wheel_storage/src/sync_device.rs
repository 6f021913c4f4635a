//! Writes and syncs of files, the seam at which tests bring about failures.

use std::fs::File;
use std::io::{self, Write};

/// Carries out the operations whose failure [`LogStore`](crate::LogStore) must survive.
pub trait SyncDevice: Send {
    /// Writes all of `bytes` at the file's position.
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()>;

    /// Returns once everything written to `file`, or a folder's entries, is on stable storage.
    fn sync(&self, file: &File) -> io::Result<()>;
}

/// The local file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDevice;

impl SyncDevice for LocalDevice {
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
