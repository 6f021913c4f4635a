//! What must be synced to the data folder.

use serde::{Deserialize, Serialize};

use crate::{HardState, LogEntry, RaftSnapshot};

/// A record of the data folder. [`crate::RestoredRaft`] is rebuilt from the records in the order in
/// which they were written.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PersistRecord {
    /// The newest term and vote.
    HardState(HardState),
    /// Drops the entry at this index and all after it.
    TruncateFrom(u64),
    /// Adds consecutive entries after the last one.
    Append(Vec<LogEntry>),
    /// A snapshot, which replaces the entries that it covers. Entries after it are kept only if
    /// the log holds the snapshot's last entry.
    Snapshot(RaftSnapshot),
}
