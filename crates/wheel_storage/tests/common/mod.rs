//! Helpers for the storage tests.

use std::path::{Path, PathBuf};

use wheel_storage::{LogRecord, StoredEntry, StoredVote};

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
