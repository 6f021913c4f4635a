//! Helpers of the storage tests.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use wheel_storage::{LogRecord, StoredEntry, StoredVote, SyncDevice};

pub(crate) fn entry(index: u64) -> StoredEntry {
    StoredEntry { index, term: 1 + index / 4, bytes: format!("entry {index}").into_bytes() }
}

pub(crate) fn entry_record(index: u64) -> LogRecord {
    LogRecord::Entry(entry(index))
}

pub(crate) fn vote(term: u64) -> StoredVote {
    StoredVote { term, voted_for: b"node-a".to_vec() }
}

/// The only log segment in `folder`.
pub(crate) fn segment_path(folder: &Path) -> PathBuf {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut paths = entries.filter(|path| path.to_string_lossy().contains("/log-"));
    let path = paths.next().unwrap();
    assert!(paths.next().is_none(), "more than one segment");
    path
}

/// Fails one write or sync, counted from the first; writes half of the bytes of a failing write.
#[derive(Clone, Default)]
pub(crate) struct FaultyDevice {
    pub(crate) operations: Arc<AtomicUsize>,
    pub(crate) fail_at: Arc<AtomicUsize>,
    /// Whether the disk is full, rather than broken.
    pub(crate) is_full: bool,
}

impl FaultyDevice {
    /// Fails operation number `fail_at`, the first being 1; 0 for none.
    pub(crate) fn new(fail_at: usize) -> Self {
        let device = Self::default();
        device.fail_at.store(fail_at, Ordering::SeqCst);
        device
    }

    fn count(&self) -> io::Result<()> {
        let operation = self.operations.fetch_add(1, Ordering::SeqCst) + 1;
        match operation == self.fail_at.load(Ordering::SeqCst) {
            true if self.is_full => Err(io::Error::new(io::ErrorKind::StorageFull, "no room")),
            true => Err(io::Error::other("broken disk")),
            false => Ok(()),
        }
    }
}

impl SyncDevice for FaultyDevice {
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let counted = self.count();
        let length = if counted.is_err() { bytes.len() / 2 } else { bytes.len() };
        file.write_all(&bytes[..length])?;
        counted
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.count()?;
        file.sync_data()
    }
}
