//! The records of the log.

use serde::{Deserialize, Serialize};

use crate::{StoredEntry, StoredVote};

/// One change of the stored state, written by [`LogStore::append`](crate::LogStore::append).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LogRecord {
    /// Replaces the vote.
    Vote(StoredVote),
    /// Adds an entry; its index follows the last one.
    Entry(StoredEntry),
    /// Drops the entry at this index and all after it.
    TruncateFrom(u64),
}
