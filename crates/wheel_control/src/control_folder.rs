//! The data folder of a control instance, in terms of the replicated log.

use std::path::Path;

use snafu::{ResultExt, Snafu};
use wheel_agreement::{
    CodecError, FolderIdentity, HardState, LogEntry, PersistRecord, RaftSnapshot, RestoredRaft,
    decode, encode,
};
use wheel_storage::{LogRecord, LogStore, StorageError, StoredEntry, StoredSnapshot, StoredVote};

/// Why the folder can't be used.
#[derive(Debug, Snafu)]
pub enum FolderError {
    /// The folder can't be opened, read or written.
    #[snafu(display("{source}"))]
    Storage {
        /// The storage's error.
        source: StorageError,
    },
    /// A record isn't in the encoding of this version.
    #[snafu(display("a record of the data folder can't be read: {source}"))]
    Record {
        /// The codec's error.
        source: CodecError,
    },
}

impl FolderError {
    /// Whether the only problem is that the disk is full.
    pub(crate) fn is_full(&self) -> bool {
        matches!(self, Self::Storage { source } if source.is_full())
    }
}

/// Writes records of the replicated log, each synced before it counts.
pub(crate) struct ControlFolder {
    store: LogStore,
}

/// A folder with the state that it held when it was opened.
pub(crate) struct OpenedFolder {
    pub(crate) folder: ControlFolder,
    pub(crate) identity: u64,
    pub(crate) restored: RestoredRaft,
    /// A description of what was removed from an incomplete end of the log, if anything was.
    pub(crate) repaired: Option<String>,
}

impl ControlFolder {
    /// Opens the folder at `path`. One that is created now gets `first_identity`, if there is any,
    /// or else a random one.
    pub(crate) fn open(
        path: &Path,
        first_identity: Option<FolderIdentity>,
    ) -> Result<OpenedFolder, FolderError> {
        let opened = match first_identity {
            Some(identity) => LogStore::open_as(path, identity.0),
            None => LogStore::open(path),
        };
        let (store, held) = opened.context(StorageSnafu)?;
        let mut restored = RestoredRaft::default();
        if let Some(vote) = held.vote {
            restored.hard_state = decode::<HardState>(&vote.voted_for).context(RecordSnafu)?;
        }
        if let Some(snapshot) = &held.snapshot {
            restored.snapshot = decode::<RaftSnapshot>(&snapshot.bytes).context(RecordSnafu)?;
        }
        for entry in &held.entries {
            restored.entries.push(decode::<LogEntry>(&entry.bytes).context(RecordSnafu)?);
        }
        let repaired = held.repaired.map(|tail| format!("{tail:?}"));
        let folder = Self { store };
        Ok(OpenedFolder { folder, identity: held.identity, restored, repaired })
    }

    /// Writes and syncs `records` in order. While the disk is full, `should_retry` decides whether
    /// to try again; it should wait a while before it returns.
    pub(crate) fn persist(
        &mut self,
        records: &[PersistRecord],
        should_retry: &mut dyn FnMut(&StorageError) -> bool,
    ) -> Result<(), FolderError> {
        let mut batch = Vec::new();
        for record in records {
            match record {
                PersistRecord::HardState(hard_state) => batch.push(vote_record(hard_state)?),
                PersistRecord::TruncateFrom(index) => batch.push(LogRecord::TruncateFrom(*index)),
                PersistRecord::Append(entries) => push_entries(entries, &mut batch)?,
                PersistRecord::Snapshot(snapshot) => {
                    self.flush(&mut batch, should_retry)?;
                    self.save_snapshot(snapshot, should_retry)?;
                }
            }
        }
        self.flush(&mut batch, should_retry)
    }

    fn save_snapshot(
        &mut self,
        snapshot: &RaftSnapshot,
        should_retry: &mut dyn FnMut(&StorageError) -> bool,
    ) -> Result<(), FolderError> {
        let bytes = encode(snapshot).context(RecordSnafu)?;
        let stored = StoredSnapshot { index: snapshot.index, term: snapshot.term, bytes };
        retry_while_full(should_retry, || self.store.save_snapshot(&stored))
    }

    fn flush(
        &mut self,
        batch: &mut Vec<LogRecord>,
        should_retry: &mut dyn FnMut(&StorageError) -> bool,
    ) -> Result<(), FolderError> {
        if !batch.is_empty() {
            retry_while_full(should_retry, || self.store.append(batch))?;
            batch.clear();
        }
        Ok(())
    }
}

/// Repeats a write for as long as the disk is full and `should_retry` returns true.
fn retry_while_full(
    should_retry: &mut dyn FnMut(&StorageError) -> bool,
    mut write: impl FnMut() -> Result<(), StorageError>,
) -> Result<(), FolderError> {
    loop {
        match write() {
            Err(error) if error.is_full() && should_retry(&error) => {}
            result => return result.context(StorageSnafu),
        }
    }
}

fn push_entries(entries: &[LogEntry], batch: &mut Vec<LogRecord>) -> Result<(), FolderError> {
    for entry in entries {
        let bytes = encode(entry).context(RecordSnafu)?;
        let stored = StoredEntry { index: entry.index, term: entry.term, bytes };
        batch.push(LogRecord::Entry(stored));
    }
    Ok(())
}

fn vote_record(hard_state: &HardState) -> Result<LogRecord, FolderError> {
    let voted_for = encode(hard_state).context(RecordSnafu)?;
    Ok(LogRecord::Vote(StoredVote { term: hard_state.term, voted_for }))
}
