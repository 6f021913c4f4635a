//! A snapshot of the state after an entry.

/// The state after the entry at `index`; it replaces that entry and all before it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredSnapshot {
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The state.
    pub bytes: Vec<u8>,
}
