//! The content of a data folder when it was opened.

use crate::{RepairedTail, StoredEntry, StoredSnapshot, StoredVote};

/// Everything that [`LogStore::open`](crate::LogStore::open) found in the folder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoredFolder {
    /// Identity, set when the folder is created: random, or as [`LogStore::open_as`] was told.
    ///
    /// [`LogStore::open_as`]: crate::LogStore::open_as
    pub identity: u64,
    /// The last vote.
    pub vote: Option<StoredVote>,
    /// The last snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// The entries after the snapshot, by index without gaps.
    pub entries: Vec<StoredEntry>,
    /// The truncated end of the log, if any.
    pub repaired: Option<RepairedTail>,
}
