//! A participant's state in the data folder.

use crate::{HardState, LogEntry, PersistRecord, RaftSnapshot};

/// What [`crate::RaftNode::open`] starts from; the default is an empty folder.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RestoredRaft {
    /// The newest term and vote.
    pub hard_state: HardState,
    /// The newest snapshot; group [`crate::GroupId::NONE`] if there is none.
    pub snapshot: RaftSnapshot,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl RestoredRaft {
    /// Rebuilds the state from all records of the folder, oldest first.
    pub fn replay(records: impl IntoIterator<Item = PersistRecord>) -> Self {
        let mut restored = Self::default();
        records.into_iter().for_each(|record| restored.apply_record(record));
        restored
    }

    /// Applies the next record.
    pub fn apply_record(&mut self, record: PersistRecord) {
        match record {
            PersistRecord::HardState(hard_state) => self.hard_state = hard_state,
            PersistRecord::TruncateFrom(first) => self.entries.retain(|entry| entry.index < first),
            PersistRecord::Append(entries) => self.entries.extend(entries),
            PersistRecord::Snapshot(snapshot) => self.install(snapshot),
        }
    }

    fn install(&mut self, snapshot: RaftSnapshot) {
        let holds_last =
            |entry: &LogEntry| entry.index == snapshot.index && entry.term == snapshot.term;
        let keeps_tail = self.entries.iter().any(holds_last);
        match keeps_tail {
            true => self.entries.retain(|entry| entry.index > snapshot.index),
            false => self.entries.clear(),
        }
        self.snapshot = snapshot;
    }
}
