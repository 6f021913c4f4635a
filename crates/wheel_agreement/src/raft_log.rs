//! The log in memory.

use std::sync::Arc;

use crate::{EntryPayload, GroupMembers, LogEntry, RaftSnapshot};

/// A snapshot and the entries after it, with a few before it kept for participants that are only
/// a little behind.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct RaftLog {
    snapshot: RaftSnapshot,
    base_index: u64,
    base_term: u64,
    entries: Vec<LogEntry>,
    members: Arc<GroupMembers>,
    members_index: u64,
}

impl RaftLog {
    pub(crate) fn open(snapshot: RaftSnapshot, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            snapshot,
            entries,
            ..Self::default()
        };
        log.find_members();
        log
    }

    pub(crate) fn snapshot(&self) -> &RaftSnapshot {
        &self.snapshot
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// The newest members, committed or not.
    pub(crate) fn members(&self) -> &Arc<GroupMembers> {
        &self.members
    }

    /// The entry that set the newest members.
    pub(crate) fn members_index(&self) -> u64 {
        self.members_index
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        match index {
            index if index == self.base_index => Some(self.base_term),
            index if index == self.snapshot.index => Some(self.snapshot.term),
            index => self.entry(index).map(|entry| entry.term),
        }
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `first` on, as many as fit in `max_bytes`, but at least one.
    pub(crate) fn entries_from(&self, first: u64, max_bytes: usize) -> Vec<LogEntry> {
        let skipped = first.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            let is_first = bytes == 0;
            bytes += entry.size_bytes();
            is_first || bytes <= max_bytes
        };
        self.entries.iter().skip(skipped).take_while(fits).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        if let EntryPayload::Members(members) = &entry.payload {
            self.members = Arc::clone(members);
            self.members_index = entry.index;
        }
        self.entries.push(entry);
    }

    /// The `entries` from the first one on that the log doesn't hold.
    pub(crate) fn missing_entries(&self, entries: Vec<LogEntry>) -> Vec<LogEntry> {
        let is_held = |entry: &LogEntry| self.term_at(entry.index) == Some(entry.term);
        entries.into_iter().skip_while(is_held).collect()
    }

    /// Drops the entry at `first` and all after it.
    pub(crate) fn truncate(&mut self, first: u64) {
        let kept = first.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(kept);
        self.find_members();
    }

    /// The last entry not after `index` whose term isn't above `term`: the highest index at which
    /// two logs may agree.
    pub(crate) fn find_agreement(&self, index: u64, term: u64) -> u64 {
        let mut candidate = index.min(self.last_index());
        while candidate > self.base_index && self.term_at(candidate) > Some(term) {
            candidate -= 1;
        }
        candidate
    }

    /// Makes a snapshot of the state machine's `state` after the entry `index`, and drops all entries
    /// before it but the last ones within a number and a size in bytes. False if there is one as
    /// new, or no such entry.
    pub(crate) fn compact(
        &mut self,
        index: u64,
        state: Arc<[u8]>,
        (max_entries, max_bytes): (u64, usize),
    ) -> bool {
        let Some(term) = self.term_at(index).filter(|_| index > self.snapshot.index) else {
            return false;
        };
        let members = self.members_at(index);
        self.snapshot = RaftSnapshot { group: self.snapshot.group, index, term, members, state };
        let before = self.entries.iter().take((index - self.base_index) as usize).rev();
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            bytes += entry.size_bytes();
            bytes <= max_bytes
        };
        let kept = before.take(max_entries as usize).take_while(fits).count();
        let base = index - kept as u64;
        let Some(base_term) = self.term_at(base) else {
            return true;
        };
        self.entries.drain(..(base - self.base_index) as usize);
        self.base_index = base;
        self.base_term = base_term;
        true
    }

    /// Replaces the whole log by a snapshot, or only its first part where it holds the snapshot's
    /// last entry.
    pub(crate) fn install(&mut self, snapshot: RaftSnapshot) {
        let holds_last = self.term_at(snapshot.index) == Some(snapshot.term)
            && self.snapshot.group == snapshot.group;
        let entries = match holds_last {
            true => self.entries_from(snapshot.index + 1, usize::MAX),
            false => Vec::new(),
        };
        *self = Self::open(snapshot, entries);
    }

    fn find_members(&mut self) {
        let last = self.last_index();
        self.members = self.members_at(last);
        let newest = self.entries.iter().rev().find(|entry| sets_members(entry));
        self.members_index = newest.map_or(self.snapshot.index, |entry| entry.index);
    }

    fn members_at(&self, index: u64) -> Arc<GroupMembers> {
        let is_in_range =
            |entry: &&LogEntry| entry.index <= index && entry.index > self.snapshot.index;
        let members =
            self.entries.iter().rev().filter(is_in_range).find_map(|entry| match &entry.payload {
                EntryPayload::Members(members) => Some(Arc::clone(members)),
                EntryPayload::Noop | EntryPayload::Command(_) => None,
            });
        members.unwrap_or_else(|| Arc::clone(&self.snapshot.members))
    }
}

fn sets_members(entry: &LogEntry) -> bool {
    matches!(entry.payload, EntryPayload::Members(_))
}
