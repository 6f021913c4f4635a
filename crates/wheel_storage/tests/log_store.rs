//! Synced data is kept, and damage is distinguished from an interrupted write.

#![allow(clippy::unwrap_used)]

mod common;
#[path = "common/counting_device.rs"]
mod counting_device;

use std::path::Path;
use std::sync::atomic::Ordering;

use tempfile::tempdir;
use wheel_storage::{
    LogRecord, LogStore, RestoredFolder, StorageError, StoredEntry, StoredSnapshot, TailFault,
};

use crate::common::{entry, entry_record, segment_path, vote};
use crate::counting_device::CountingDevice;

fn restore(folder: &Path) -> RestoredFolder {
    LogStore::open(folder).unwrap().1
}

fn snapshot(index: u64, term: u64) -> StoredSnapshot {
    StoredSnapshot { index, term, bytes: vec![7; 300] }
}

/// Fills a folder with a vote and the entries `1..=count`, one batch each.
fn fill(folder: &Path, count: u64) {
    let (mut store, _) = LogStore::open(folder).unwrap();
    store.append(&[LogRecord::Vote(vote(3))]).unwrap();
    for index in 1..=count {
        store.append(&[entry_record(index)]).unwrap();
    }
}

#[test]
fn open_restores_last_state() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 6);
    let (mut store, first) = LogStore::open(folder.path()).unwrap();
    let replacement = StoredEntry { term: 9, ..entry(4) };
    let records = [
        LogRecord::TruncateFrom(4),
        LogRecord::Entry(replacement.clone()),
        LogRecord::Vote(vote(9)),
    ];
    store.append(&records).unwrap();
    drop(store);

    let restored = restore(folder.path());
    assert_eq!(restored.identity, first.identity);
    assert_eq!(restored.vote, Some(vote(9)));
    assert_eq!(restored.entries, [entry(1), entry(2), entry(3), replacement]);
    assert_eq!(restored.repaired, None);
}

#[test]
fn open_new_folders_have_distinct_identities() {
    let folders = [tempdir().unwrap(), tempdir().unwrap()];
    assert_ne!(restore(folders[0].path()).identity, restore(folders[1].path()).identity);
}

#[test]
fn append_out_of_order_refuses_and_stays_usable() {
    let folder = tempdir().unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    let gap = store.append(&[entry_record(1), entry_record(3)]).unwrap_err();
    assert!(matches!(gap, StorageError::OutOfOrder { expected: 2, found: 3 }), "{gap}");
    store.append(&[entry_record(1)]).unwrap();
    store.save_snapshot(&snapshot(1, 1)).unwrap();
    let covered = store.append(&[LogRecord::TruncateFrom(1)]).unwrap_err();
    assert!(matches!(covered, StorageError::OutOfOrder { expected: 2, found: 1 }), "{covered}");
    assert!(store.save_snapshot(&snapshot(1, 1)).is_err());
    store.append(&[entry_record(2)]).unwrap();
}

#[test]
fn save_snapshot_drops_covered_entries() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 6);
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.save_snapshot(&snapshot(4, entry(4).term)).unwrap();
    store.append(&[entry_record(7)]).unwrap();
    drop(store);

    let restored = restore(folder.path());
    assert_eq!(restored.snapshot, Some(snapshot(4, entry(4).term)));
    assert_eq!(restored.vote, Some(vote(3)));
    assert_eq!(restored.entries, [entry(5), entry(6), entry(7)]);
    segment_path(folder.path());
}

#[test]
fn save_snapshot_of_another_history_drops_all_entries() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 6);
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.save_snapshot(&snapshot(4, 99)).unwrap();
    drop(store);
    assert_eq!(restore(folder.path()).entries, []);
}

#[test]
fn open_cut_at_each_byte_keeps_earlier_batches() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 4);
    let path = segment_path(folder.path());
    let start = std::fs::metadata(&path).unwrap().len();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.append(&[entry_record(5), entry_record(6)]).unwrap();
    drop(store);
    let whole = std::fs::read(&path).unwrap();

    for length in start..whole.len() as u64 {
        std::fs::write(&path, &whole[..length as usize]).unwrap();
        let restored = restore(folder.path());
        assert_eq!(restored.entries, [entry(1), entry(2), entry(3), entry(4)], "cut at {length}");
        let repaired = restored.repaired.map(|tail| (tail.offset, tail.cut_bytes, tail.fault));
        let expected = (length > start).then_some((start, length - start, TailFault::CutShort));
        assert_eq!(repaired, expected, "cut at {length}");

        let (mut store, again) = LogStore::open(folder.path()).unwrap();
        assert_eq!(again.repaired, None, "cut at {length}");
        store.append(&[entry_record(5)]).unwrap();
        drop(store);
        assert_eq!(restore(folder.path()).entries.len(), 5, "cut at {length}");
    }
}

#[test]
fn open_flipped_byte_cuts_only_the_last_batch() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 4);
    let path = segment_path(folder.path());
    let last = std::fs::metadata(&path).unwrap().len() as usize;
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.append(&[entry_record(5), entry_record(6)]).unwrap();
    drop(store);
    let whole = std::fs::read(&path).unwrap();

    for position in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[position] ^= 0x10;
        std::fs::write(&path, &damaged).unwrap();
        match LogStore::open(folder.path()) {
            Ok((_, restored)) => {
                assert!(position >= last, "damage at {position} went unnoticed");
                assert_eq!(restored.entries.len(), 4, "damage at {position}");
                assert_eq!(restored.repaired.unwrap().offset, last as u64);
            }
            Err(StorageError::Corrupt { file, offset, .. }) => {
                assert!(position < last, "damage at {position} prevents opening");
                assert_eq!(file, path);
                assert!(offset as usize <= position && position < offset as usize + 60);
                assert_eq!(std::fs::read(&path).unwrap(), damaged, "a refusal changed the file");
            }
            Err(error) => panic!("damage at {position}: {error}"),
        }
    }
}

#[test]
fn open_missing_or_foreign_file_refuses() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 3);
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.save_snapshot(&snapshot(2, entry(2).term)).unwrap();
    drop(store);
    let segment = segment_path(folder.path());
    let file = folder.path().join("snapshot");
    let content = std::fs::read(&file).unwrap();

    std::fs::remove_file(&file).unwrap();
    assert!(matches!(LogStore::open(folder.path()), Err(StorageError::Corrupt { .. })));
    for position in 0..content.len() {
        let mut damaged = content.clone();
        damaged[position] ^= 1;
        std::fs::write(&file, damaged).unwrap();
        let opened = LogStore::open(folder.path());
        assert!(matches!(opened, Err(StorageError::Corrupt { .. })), "damage at {position}");
    }
    std::fs::write(&file, content).unwrap();
    restore(folder.path());
    std::fs::remove_file(segment).unwrap();
    assert!(matches!(LogStore::open(folder.path()), Err(StorageError::Corrupt { .. })));
}

/// Applies the same changes with each write and sync failing in turn.
#[test]
fn append_failed_operation_poisons_and_keeps_what_was_acknowledged() {
    let counting = CountingDevice::new(0);
    let whole = tempdir().unwrap();
    run_until_failure(whole.path(), &counting);
    let operations = counting.operations.load(Ordering::SeqCst);
    assert!(operations > 12, "only {operations} operations");

    for fail_at in 1..=operations {
        let folder = tempdir().unwrap();
        let acknowledged = run_until_failure(folder.path(), &CountingDevice::new(fail_at));
        let restored = restore(folder.path());
        let base = restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let indexes: Vec<u64> = restored.entries.iter().map(|entry| entry.index).collect();
        assert_eq!(indexes, (base + 1..=base + indexes.len() as u64).collect::<Vec<_>>());
        let last = base + indexes.len() as u64;
        assert!(acknowledged < 6, "the failure of operation {fail_at} went unnoticed");
        assert!(last >= acknowledged, "operation {fail_at}: {last} < {acknowledged}");
        assert!(last <= acknowledged + 1, "operation {fail_at}: {last} > {acknowledged}");
    }
}

/// Appends and saves a snapshot until something fails; returns the last acknowledged index.
fn run_until_failure(folder: &Path, device: &CountingDevice) -> u64 {
    let Ok((mut store, _)) = LogStore::open_on(folder, Box::new(device.clone())) else { return 0 };
    let mut acknowledged = 0;
    for index in 1..=6 {
        match store.append(&[entry_record(index)]) {
            Ok(()) => acknowledged = index,
            Err(_) => break,
        }
        if index == 3 && store.save_snapshot(&snapshot(2, entry(2).term)).is_err() {
            break;
        }
    }
    if acknowledged < 6 {
        let next = store.append(&[entry_record(acknowledged + 1)]).unwrap_err();
        assert!(matches!(next, StorageError::Poisoned { .. }), "{next}");
        assert!(next.to_string().contains("broken disk"), "{next}");
        assert!(store.save_snapshot(&snapshot(9, 9)).is_err());
    }
    acknowledged
}

/// Applies the same changes with the disk full at each write in turn; failed calls are repeated.
#[test]
fn append_full_disk_resumes_once_there_is_space() {
    let mut refusals = 0;
    for fail_at in 1..=20 {
        let folder = tempdir().unwrap();
        let device = CountingDevice { is_full: true, ..CountingDevice::default() };
        let (mut store, _) = LogStore::open_on(folder.path(), Box::new(device.clone())).unwrap();
        let opened = device.operations.load(Ordering::SeqCst);
        device.fail_at.store(opened + fail_at, Ordering::SeqCst);
        let mut again = |result: Result<(), StorageError>| match result {
            Ok(()) => false,
            Err(error) if error.is_full() => {
                refusals += 1;
                true
            }
            // The sync of a frame failed, so its state is unknown.
            Err(error) => {
                assert!(error.to_string().contains("cannot sync"), "{error}");
                device.fail_at.store(0, Ordering::SeqCst);
                false
            }
        };
        let mut stopped = false;
        for index in 1..=6 {
            while again(store.append(&[entry_record(index)])) {}
            stopped |= store.append(&[]).is_err();
            if stopped {
                break;
            }
            if index == 3 {
                while again(store.save_snapshot(&snapshot(2, entry(2).term))) {}
            }
        }
        drop(store);
        let last = restore(folder.path()).entries.last().map(|entry| entry.index);
        assert!(stopped || last == Some(6), "operation {fail_at}: {last:?}");
    }
    assert!(refusals >= 8, "{refusals} refusals because the disk is full");
}

#[test]
fn open_crash_between_snapshot_and_segment_recovers() {
    let folder = tempdir().unwrap();
    fill(folder.path(), 5);
    let path = segment_path(folder.path());
    let log = std::fs::read(&path).unwrap();
    let (mut store, _) = LogStore::open(folder.path()).unwrap();
    store.save_snapshot(&snapshot(3, entry(3).term)).unwrap();
    drop(store);
    // The state after a crash before the next segment was written.
    std::fs::remove_file(segment_path(folder.path())).unwrap();
    std::fs::write(&path, log).unwrap();

    let (mut store, restored) = LogStore::open(folder.path()).unwrap();
    assert_eq!(restored.entries, [entry(4), entry(5)]);
    store.append(&[entry_record(6)]).unwrap();
    drop(store);
    let restored = restore(folder.path());
    assert_eq!(restored.entries, [entry(4), entry(5), entry(6)]);
    assert_eq!(restored.vote, Some(vote(3)));
}

#[test]
fn open_cut_entry_that_contains_another_log_is_repaired() {
    let folders = [tempdir().unwrap(), tempdir().unwrap()];
    fill(folders[0].path(), 3);
    let bytes = std::fs::read(segment_path(folders[0].path())).unwrap();
    let (mut store, _) = LogStore::open(folders[1].path()).unwrap();
    store.append(&[LogRecord::Entry(StoredEntry { bytes, ..entry(1) })]).unwrap();
    drop(store);
    let path = segment_path(folders[1].path());
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 1]).unwrap();
    let restored = restore(folders[1].path());
    assert_eq!(restored.entries, []);
    assert!(restored.repaired.is_some());
}
