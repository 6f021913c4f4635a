//! What a data folder held when it was opened.

use crate::{RepairedTail, StoredEntry, StoredSnapshot, StoredVote};

/// Everything that [`LogStore::open`](crate::LogStore::open) found in the folder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoredFolder {
    /// Random identity of the folder, drawn when it was created. A wiped folder gets another one.
    pub identity: u64,
    /// The last vote.
    pub vote: Option<StoredVote>,
    /// The last snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// The entries after the snapshot, by index without gaps.
    pub entries: Vec<StoredEntry>,
    /// What was cut off the end of the log.
    pub repaired: Option<RepairedTail>,
}
