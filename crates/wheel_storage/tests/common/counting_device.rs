//! A device that counts its operations and fails one of them.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use wheel_storage::StorageDevice;

/// Fails one write or sync, by number; a failing write writes half of its bytes.
#[derive(Clone, Default)]
pub(crate) struct CountingDevice {
    pub(crate) operations: Arc<AtomicUsize>,
    pub(crate) fail_at: Arc<AtomicUsize>,
    /// Whether the failure is a full disk instead of an I/O error.
    pub(crate) is_full: bool,
}

impl CountingDevice {
    /// Fails operation number `fail_at`, counted from 1; 0 for none.
    pub(crate) fn new(fail_at: usize) -> Self {
        let device = Self::default();
        device.fail_at.store(fail_at, Ordering::SeqCst);
        device
    }

    fn count(&self) -> io::Result<()> {
        let operation = self.operations.fetch_add(1, Ordering::SeqCst) + 1;
        match operation == self.fail_at.load(Ordering::SeqCst) {
            true if self.is_full => Err(io::Error::new(io::ErrorKind::StorageFull, "no space")),
            true => Err(io::Error::other("broken disk")),
            false => Ok(()),
        }
    }
}

impl StorageDevice for CountingDevice {
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let counted = self.count();
        let length = if counted.is_err() { bytes.len() / 2 } else { bytes.len() };
        file.write_all(&bytes[..length])?;
        counted
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        self.count()?;
        file.sync_data()
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        self.sync(&File::open(folder)?)
    }
}
