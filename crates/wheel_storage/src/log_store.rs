//! The durable log store.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

use snafu::{ResultExt, ensure};

use crate::log_frame::LogFrame;
use crate::log_record::LogRecord;
use crate::log_segment::LogSegment;
use crate::restored_folder::RestoredFolder;
use crate::segment_header::SegmentHeader;
use crate::snapshot_file::SnapshotFile;
use crate::storage_device::{StorageDevice, default_device};
use crate::storage_error::{
    CorruptSnafu, IoSnafu, LockedSnafu, OutOfOrderSnafu, PoisonedSnafu, StorageError,
};
use crate::stored_snapshot::StoredSnapshot;

/// One open data folder; no other process can open it while this value lives.
pub struct LogStore {
    folder: PathBuf,
    device: Box<dyn StorageDevice>,
    file: File,
    header: SegmentHeader,
    size: u64,
    next_sequence: u64,
    next_index: u64,
    failure: Option<String>,
    _lock: File,
}

impl LogStore {
    /// Opens `folder`, creating it if needed, and reads its content.
    ///
    /// Truncates an incomplete end of the log and reports it. Fails with
    /// [`StorageError::Locked`] if another process has it open and with
    /// [`StorageError::Corrupt`] if synced data is damaged.
    pub fn open(folder: &Path) -> Result<(Self, RestoredFolder), StorageError> {
        Self::open_on(folder, default_device(folder))
    }

    /// Like [`LogStore::open`]; a folder that is created now gets `identity` in place of a random
    /// one.
    pub fn open_as(folder: &Path, identity: u64) -> Result<(Self, RestoredFolder), StorageError> {
        Self::open_new_as(folder, default_device(folder), identity)
    }

    /// Like [`LogStore::open`], with `device` in place of the local file system.
    pub fn open_on(
        folder: &Path,
        device: Box<dyn StorageDevice>,
    ) -> Result<(Self, RestoredFolder), StorageError> {
        Self::open_new_as(folder, device, rand::random())
    }

    fn open_new_as(
        folder: &Path,
        mut device: Box<dyn StorageDevice>,
        new_identity: u64,
    ) -> Result<(Self, RestoredFolder), StorageError> {
        std::fs::create_dir_all(folder).context(IoSnafu { action: "create", file: folder })?;
        let lock = lock_folder(folder)?;
        let snapshot = SnapshotFile::read(device.as_mut(), folder)?;
        let numbers = list_segments(device.as_mut(), folder)?;
        let number = match numbers.last() {
            Some(number) => *number,
            None => create_log(folder, device.as_mut(), snapshot.as_ref(), new_identity)?,
        };
        let path = LogSegment::path(folder, number);
        let mut segment = LogSegment::read(device.as_mut(), &path)?;
        check_folder(folder, &path, number, &segment, snapshot.as_ref())?;
        let mut file = device.open(&path).context(IoSnafu { action: "open", file: &path })?;
        if segment.tail.is_some() {
            device
                .truncate(&mut file, segment.size)
                .context(IoSnafu { action: "truncate", file: &path })?;
        }
        // Also covers a frame that a killed process wrote and never synced.
        device.sync(&file).context(IoSnafu { action: "sync", file: &path })?;
        remove_others(folder, device.as_mut(), number);
        let header = segment.header;
        if let Some(snapshot) = &snapshot {
            segment.rebase(snapshot.snapshot.index, snapshot.snapshot.term);
        }
        let mut store = Self {
            folder: folder.to_path_buf(),
            device,
            file,
            header,
            size: segment.size,
            next_sequence: segment.next_sequence,
            next_index: segment.header.base_index + segment.entries.len() as u64 + 1,
            failure: None,
            _lock: lock,
        };
        // A crash came between a snapshot and the segment that follows it.
        if segment.header != header {
            store.start_segment(&segment)?;
        }
        let restored = RestoredFolder {
            identity: header.identity,
            vote: segment.vote,
            snapshot: snapshot.map(|file| file.snapshot),
            entries: segment.entries,
            repaired: segment.tail,
        };
        Ok((store, restored))
    }

    /// Writes `records` as one batch; they are synced when this returns `Ok`.
    ///
    /// If the disk is full nothing was written, see [`StorageError::is_full`]. After any other I/O
    /// error the next [`LogStore::open`] may or may not find the batch, and every later call fails
    /// with [`StorageError::Poisoned`].
    pub fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        self.check_failure()?;
        if records.is_empty() {
            return Ok(());
        }
        let next_index = self.check_order(records)?;
        let bytes = LogFrame::encode(&self.header, self.next_sequence, records)?;
        let written = self.write_frame(&bytes);
        // After a failure the file may still show bytes that will never reach the disk.
        let is_intact = written.is_ok() || self.remove_partial_frame().is_ok();
        self.record_failure(written, is_intact)?;
        self.size += bytes.len() as u64;
        self.next_sequence += 1;
        self.next_index = next_index;
        Ok(())
    }

    /// Replaces the snapshot and drops the entries that it contains. Entries after it are kept if
    /// the log contains the snapshot's last entry, and dropped otherwise.
    ///
    /// Everything is synced when this returns `Ok`. An I/O error stops the store as in
    /// [`LogStore::append`], unless the disk is full; the folder then contains the old snapshot or
    /// the new one.
    pub fn save_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        self.check_failure()?;
        let expected = self.header.base_index + 1;
        let found = snapshot.index;
        ensure!(found >= expected, OutOfOrderSnafu { expected, found });
        let saved = self.replace_snapshot(snapshot);
        // New files are written beside the ones that they replace, so a full disk damages nothing.
        self.record_failure(saved, true)
    }

    fn check_failure(&self) -> Result<(), StorageError> {
        match &self.failure {
            Some(cause) => PoisonedSnafu { cause: cause.clone() }.fail(),
            None => Ok(()),
        }
    }

    /// Stops the store after a failure, unless the disk is full and the log `is_intact`, without a
    /// partial frame.
    fn record_failure(
        &mut self,
        result: Result<(), StorageError>,
        is_intact: bool,
    ) -> Result<(), StorageError> {
        let failure = result.as_ref().err().filter(|error| !(is_intact && error.is_full()));
        self.failure = failure.map(ToString::to_string);
        result
    }

    /// Removes a partially written frame.
    fn remove_partial_frame(&mut self) -> std::io::Result<()> {
        self.device.truncate(&mut self.file, self.size)
    }

    /// The index after `records`, or an error if they don't fit the log.
    fn check_order(&self, records: &[LogRecord]) -> Result<u64, StorageError> {
        let lowest = self.header.base_index + 1;
        let mut expected = self.next_index;
        for record in records {
            match record {
                LogRecord::Vote(_) => {}
                LogRecord::Entry(entry) => {
                    let found = entry.index;
                    ensure!(found == expected, OutOfOrderSnafu { expected, found });
                    expected += 1;
                }
                LogRecord::TruncateFrom(found) => {
                    let found = *found;
                    ensure!(found >= lowest, OutOfOrderSnafu { expected: lowest, found });
                    expected = expected.min(found);
                }
            }
        }
        Ok(expected)
    }

    fn write_frame(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let path = LogSegment::path(&self.folder, self.header.number);
        let written = self.device.write(&mut self.file, bytes);
        written.context(IoSnafu { action: "write", file: &path })?;
        // After a failed sync it isn't known how much of the frame is on disk, whatever the reason.
        let synced = self.device.sync(&self.file).map_err(std::io::Error::other);
        synced.context(IoSnafu { action: "sync", file: &path })
    }

    fn replace_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        let bytes = SnapshotFile::encode(self.header.identity, snapshot);
        let path = SnapshotFile::path(&self.folder);
        replace_file(&self.folder, self.device.as_mut(), &path, &bytes)?;
        let path = LogSegment::path(&self.folder, self.header.number);
        let mut segment = LogSegment::read(self.device.as_mut(), &path)?;
        segment.rebase(snapshot.index, snapshot.term);
        self.start_segment(&segment)
    }

    /// Starts the next segment with the vote and entries of `segment` and drops the current one.
    fn start_segment(&mut self, segment: &LogSegment) -> Result<(), StorageError> {
        let header = SegmentHeader { number: self.header.number + 1, ..segment.header };
        let mut bytes = header.encode();
        let mut sequence = 0;
        for record in segment_records(segment) {
            bytes.extend_from_slice(&LogFrame::encode(&header, sequence, &[record])?);
            sequence += 1;
        }
        let path = LogSegment::path(&self.folder, header.number);
        self.file = replace_file(&self.folder, self.device.as_mut(), &path, &bytes)?;
        self.header = header;
        self.size = bytes.len() as u64;
        self.next_sequence = sequence;
        self.next_index = header.base_index + segment.entries.len() as u64 + 1;
        remove_others(&self.folder, self.device.as_mut(), header.number);
        Ok(())
    }
}

/// The records that make up the state of `segment`.
fn segment_records(segment: &LogSegment) -> impl Iterator<Item = LogRecord> {
    let vote = segment.vote.clone().map(LogRecord::Vote);
    vote.into_iter().chain(segment.entries.iter().cloned().map(LogRecord::Entry))
}

/// Takes the folder's exclusive lock, which lasts as long as the returned file.
fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .context(IoSnafu { action: "open", file: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => LockedSnafu { folder }.fail(),
        Err(TryLockError::Error(error)) => {
            Err(error).context(IoSnafu { action: "lock", file: path })
        }
    }
}

/// Numbers of the segments in `folder`, ascending.
fn list_segments(device: &mut dyn StorageDevice, folder: &Path) -> Result<Vec<u64>, StorageError> {
    let names = device.list(folder).context(IoSnafu { action: "list", file: folder })?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| LogSegment::number(name)).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Creates the first segment of a new folder.
fn create_log(
    folder: &Path,
    device: &mut dyn StorageDevice,
    snapshot: Option<&SnapshotFile>,
    identity: u64,
) -> Result<u64, StorageError> {
    let reason = "the snapshot exists, but the log is missing";
    let file = SnapshotFile::path(folder);
    ensure!(snapshot.is_none(), CorruptSnafu { file, offset: 0_u64, reason });
    let header = SegmentHeader { identity, number: 1, ..SegmentHeader::default() };
    let path = LogSegment::path(folder, header.number);
    replace_file(folder, device, &path, &header.encode())?;
    if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        sync_folder(device, parent)?;
    }
    Ok(header.number)
}

/// Checks that segment and snapshot belong together.
fn check_folder(
    folder: &Path,
    path: &Path,
    number: u64,
    segment: &LogSegment,
    snapshot: Option<&SnapshotFile>,
) -> Result<(), StorageError> {
    let reason = "the segment's number differs from its name";
    ensure!(segment.header.number == number, CorruptSnafu { file: path, offset: 0_u64, reason });
    let reason = "the segment follows a newer snapshot, which is missing";
    let index = snapshot.map_or(0, |file| file.snapshot.index);
    ensure!(
        segment.header.base_index <= index,
        CorruptSnafu { file: SnapshotFile::path(folder), offset: 0_u64, reason }
    );
    let reason = "the snapshot belongs to another folder";
    ensure!(
        snapshot.is_none_or(|file| file.identity == segment.header.identity),
        CorruptSnafu { file: SnapshotFile::path(folder), offset: 0_u64, reason }
    );
    Ok(())
}

/// Replaces `path` by a synced file with `bytes`, as a whole or not at all, and returns the file
/// positioned at its end.
fn replace_file(
    folder: &Path,
    device: &mut dyn StorageDevice,
    path: &Path,
    bytes: &[u8],
) -> Result<File, StorageError> {
    let temporary = path.with_extension(TEMPORARY);
    let mut file =
        device.create(&temporary).context(IoSnafu { action: "create", file: &temporary })?;
    device.write(&mut file, bytes).context(IoSnafu { action: "write", file: &temporary })?;
    device.sync(&file).context(IoSnafu { action: "sync", file: &temporary })?;
    device.rename(&temporary, path).context(IoSnafu { action: "rename", file: &temporary })?;
    sync_folder(device, folder)?;
    Ok(file)
}

/// Syncs the entries of `folder`.
fn sync_folder(device: &mut dyn StorageDevice, folder: &Path) -> Result<(), StorageError> {
    device.sync_folder(folder).context(IoSnafu { action: "sync", file: folder })
}

/// Removes temporary files and all segments except `number`. Files that can't be removed stay and
/// are never read.
fn remove_others(folder: &Path, device: &mut dyn StorageDevice, number: u64) {
    for name in device.list(folder).unwrap_or_default() {
        let older = LogSegment::number(&name).is_some_and(|other| other != number);
        if older || name.ends_with(&format!(".{TEMPORARY}")) {
            device.remove(&folder.join(name)).ok();
        }
    }
}

/// Extension of incomplete files.
const TEMPORARY: &str = "tmp";
