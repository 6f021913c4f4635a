//! The effect of each disk fault on the store, and what is restored after a restart.

#![allow(clippy::unwrap_used)]

mod common;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use tempfile::{TempDir, tempdir};
use wheel_storage::{LogRecord, LogStore, StorageError, StoredEntry, StoredSnapshot};

use crate::common::{entry, entry_record, segment_path, vote};

/// Longer than the time between two reads of the fault file.
const READ_PAUSE: Duration = Duration::from_millis(40);

/// A data folder with its fault file beside it.
struct FaultyFolder {
    root: TempDir,
}

impl FaultyFolder {
    fn open() -> Self {
        Self { root: tempdir().unwrap() }
    }

    fn path(&self) -> PathBuf {
        self.root.path().join("data")
    }

    /// Sets a fault; returns once the store is certain to see it.
    fn set(&self, line: &str) {
        std::fs::write(self.root.path().join("data.disk-faults"), line).unwrap();
        std::thread::sleep(READ_PAUSE);
    }

    /// Opens the store on a disk without faults, as after a restart.
    fn restart(&self) -> (LogStore, Vec<StoredEntry>) {
        self.set("mode=none");
        let (store, restored) = LogStore::open(&self.path()).unwrap();
        (store, restored.entries)
    }

    /// Creates a store with the entries `1..=count`.
    fn filled(&self, count: u64) -> LogStore {
        let (mut store, _) = self.restart();
        append(&mut store, 1, count);
        store
    }
}

fn append(store: &mut LogStore, first: u64, last: u64) {
    for index in first..=last {
        store.append(&[entry_record(index)]).unwrap();
    }
}

fn entries(first: u64, last: u64) -> Vec<StoredEntry> {
    (first..=last).map(entry).collect()
}

fn snapshot(index: u64) -> StoredSnapshot {
    StoredSnapshot { index, term: entry(index).term, bytes: vec![7; 300] }
}

#[test]
fn append_slow_is_delayed_and_kept() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(2);
    folder.set("mode=slow sync_ms=60");
    let began = Instant::now();
    append(&mut store, 3, 5);
    assert!(began.elapsed() >= Duration::from_millis(180), "{:?}", began.elapsed());
    drop(store);
    assert_eq!(folder.restart().1, entries(1, 5));
}

#[test]
fn append_stalled_blocks_once_and_is_kept() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(2);
    folder.set("mode=stalled stall_ms=1000");
    let began = Instant::now();
    append(&mut store, 3, 3);
    assert!(began.elapsed() >= Duration::from_millis(800), "{:?}", began.elapsed());
    let began = Instant::now();
    append(&mut store, 4, 4);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    drop(store);
    assert_eq!(folder.restart().1, entries(1, 4));
}

#[test]
fn append_full_is_refused_and_resumes_once_there_is_space() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(3);
    folder.set("mode=full");
    for _ in 0..2 {
        let refused = store.append(&[entry_record(4)]).unwrap_err();
        assert!(refused.is_full(), "{refused}");
        let refused = store.save_snapshot(&snapshot(2)).unwrap_err();
        assert!(refused.is_full(), "{refused}");
    }
    folder.set("mode=none");
    append(&mut store, 4, 5);
    folder.set("mode=full");
    assert!(store.append(&[entry_record(6)]).unwrap_err().is_full());
    drop(store);
    assert_eq!(folder.restart().1, entries(1, 5));
}

#[test]
fn append_failing_stops_the_store_and_keeps_what_was_acknowledged() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(3);
    folder.set("mode=failing");
    let failed = store.append(&[entry_record(4)]).unwrap_err();
    assert!(matches!(&failed, StorageError::Io { source, .. } if source.raw_os_error() == Some(5)));
    folder.set("mode=none");
    let stopped = store.append(&[entry_record(4)]).unwrap_err();
    assert!(matches!(stopped, StorageError::Poisoned { .. }), "{stopped}");
    drop(store);
    assert_eq!(folder.restart().1, entries(1, 3));
}

/// Shows that the fault has an effect: on a disk that syncs, all of the same changes are restored.
#[test]
fn append_unsynced_loses_what_a_sync_keeps() {
    for (line, kept) in [("mode=none", 6), ("mode=unsynced", 3)] {
        let folder = FaultyFolder::open();
        let mut store = folder.filled(3);
        folder.set(line);
        store.append(&[LogRecord::Vote(vote(9))]).unwrap();
        append(&mut store, 4, 6);
        drop(store);
        let (_, restored) = LogStore::open(&folder.path()).unwrap();
        assert_eq!(restored.entries, entries(1, kept), "{line}");
        assert_eq!(restored.vote.is_some(), kept == 6, "{line}");
    }
}

#[test]
fn append_unsynced_with_torn_bytes_leaves_a_torn_tail() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(3);
    folder.set("mode=unsynced torn_bytes=9");
    append(&mut store, 4, 6);
    drop(store);
    folder.set("mode=none");
    let (_, restored) = LogStore::open(&folder.path()).unwrap();
    assert_eq!(restored.entries, entries(1, 3));
    assert_eq!(restored.repaired.unwrap().cut_bytes, 9);
}

#[test]
fn append_synced_again_keeps_what_was_held_back() {
    for torn_bytes in [0, 9] {
        let folder = FaultyFolder::open();
        let mut store = folder.filled(3);
        folder.set(&format!("mode=unsynced torn_bytes={torn_bytes}"));
        append(&mut store, 4, 6);
        folder.set("mode=full");
        assert!(store.append(&[entry_record(7)]).unwrap_err().is_full());
        folder.set("mode=none");
        append(&mut store, 7, 8);
        drop(store);
        assert_eq!(folder.restart().1, entries(1, 8));
    }
}

#[test]
fn save_snapshot_unsynced_is_lost_as_a_whole() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(6);
    let before = segment_path(&folder.path());
    folder.set("mode=unsynced torn_bytes=20");
    for index in [2, 4] {
        store.save_snapshot(&snapshot(index)).unwrap();
        append(&mut store, 5 + index, 6 + index);
    }
    drop(store);
    folder.set("mode=none");
    let (store, restored) = LogStore::open(&folder.path()).unwrap();
    assert_eq!((restored.snapshot, restored.entries), (None, entries(1, 6)));
    drop(store);
    assert_eq!(segment_path(&folder.path()), before);
    let names = std::fs::read_dir(folder.path()).unwrap().count();
    assert_eq!(names, 2, "incomplete files are still there");
}

#[test]
fn save_snapshot_synced_again_is_kept() {
    let folder = FaultyFolder::open();
    let mut store = folder.filled(6);
    folder.set("mode=unsynced");
    for index in [2, 4] {
        store.save_snapshot(&snapshot(index)).unwrap();
        append(&mut store, 5 + index, 6 + index);
    }
    folder.set("mode=none");
    append(&mut store, 11, 11);
    drop(store);
    let (mut store, restored) = LogStore::open(&folder.path()).unwrap();
    assert_eq!((restored.snapshot, restored.entries), (Some(snapshot(4)), entries(5, 11)));
    store.save_snapshot(&snapshot(10)).unwrap();
    drop(store);
    segment_path(&folder.path());
    assert_eq!(folder.restart().1, entries(11, 11));
}

/// A process that is killed loses the changes that its disk held back, however it ends.
#[test]
fn append_unsynced_in_a_killed_process_is_lost() {
    const CHILD: &str = "WHEEL_STORAGE_TEST_FOLDER";
    const VARIABLE: &str = "WISTERIAWHEEL_DISK_FAULTS";
    if let Some(path) = std::env::var_os(CHILD) {
        let (mut store, _) = LogStore::open(Path::new(&path)).unwrap();
        append(&mut store, 1, 3);
        std::fs::write(std::env::var_os(VARIABLE).unwrap(), "mode=unsynced").unwrap();
        std::thread::sleep(READ_PAUSE);
        append(&mut store, 4, 6);
        std::process::abort();
    }
    let folder = FaultyFolder::open();
    let name = "append_unsynced_in_a_killed_process_is_lost";
    let mut child = Command::new(std::env::current_exe().unwrap());
    child.args([name, "--exact"]).env(CHILD, folder.path());
    child.env(VARIABLE, folder.root.path().join("elsewhere"));
    assert!(!child.status().unwrap().success());
    assert_eq!(folder.restart().1, entries(1, 3));
}
