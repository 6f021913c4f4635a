//! A follower's side of replication.

use crate::snapshot_chunk::SnapshotAssembly;
use crate::{
    AppendResult, LogEntry, NodeId, PersistRecord, RaftBody, RaftNode, RaftOutput, RaftSnapshot,
    SnapshotChunk,
};

const MAX_STATE_BYTES: u64 = RaftSnapshot::MAX_BYTES as u64;

impl RaftNode {
    /// Appends a leader's entries after `prev`, an index and its term.
    pub(super) fn append(
        &mut self,
        from: &NodeId,
        prev: (u64, u64),
        entries: Vec<LogEntry>,
        commit: u64,
        round: u64,
    ) {
        let (prev_index, prev_term) = prev;
        if prev_index < self.commit {
            // All entries up to the commit agree with every later leader's.
            return self.confirm_append(from, self.commit, round);
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            return self.reject_append(from, prev_index, round);
        }
        let matched = prev_index + entries.len() as u64;
        self.merge(entries);
        self.commit_to(commit.min(matched));
        self.confirm_append(from, matched, round);
    }

    /// Rejects entries, with a hint where the logs may agree.
    pub(super) fn reject_append(&mut self, from: &NodeId, prev_index: u64, round: u64) {
        let hint_index = prev_index.saturating_sub(1).min(self.log.last_index());
        let hint_term = self.log.term_at(hint_index).unwrap_or(0);
        let result = AppendResult::Rejected { prev_index, hint_index, hint_term };
        self.send(from, RaftBody::AppendReply { round, result });
    }

    /// Adds a part of the leader's snapshot, which replaces the state once it is complete, unless
    /// the state is as new.
    pub(super) fn install(&mut self, from: &NodeId, chunk: &SnapshotChunk, round: u64) {
        let is_needed = chunk.index > self.commit && chunk.total <= MAX_STATE_BYTES;
        let assembly = self.assembly.take();
        if !is_needed {
            return self.confirm_append(from, self.commit, round);
        }
        let assembly = assembly.filter(|assembly| assembly.is_same_snapshot(chunk));
        let mut assembly = assembly.unwrap_or_else(|| SnapshotAssembly::open(chunk));
        match assembly.push(self.group(), chunk) {
            Some(snapshot) => {
                self.replace_state(snapshot);
                self.confirm_append(from, self.commit, round);
            }
            None => {
                let result =
                    AppendResult::Received { index: chunk.index, offset: assembly.offset() };
                self.assembly = Some(assembly);
                self.send(from, RaftBody::AppendReply { round, result });
            }
        }
    }

    /// Starts over from a snapshot.
    pub(super) fn replace_state(&mut self, snapshot: RaftSnapshot) {
        self.commit = snapshot.index;
        self.outbox.save(PersistRecord::Snapshot(snapshot.clone()));
        self.log.install(snapshot);
        self.push_restore();
    }

    /// Applies entries up to `commit` to the state machine.
    pub(super) fn commit_to(&mut self, commit: u64) {
        debug_assert!(commit <= self.log.last_index(), "only held entries are committed");
        while self.commit < commit {
            let Some(entry) = self.log.entry(self.commit + 1).cloned() else {
                return;
            };
            self.commit += 1;
            self.accept_proposal(self.commit);
            self.outbox.push(RaftOutput::Apply { index: self.commit, entry });
        }
    }

    fn merge(&mut self, entries: Vec<LogEntry>) {
        let missing = self.log.missing_entries(entries);
        let Some(first) = missing.first().map(|entry| entry.index) else {
            return;
        };
        debug_assert!(first > self.commit, "committed entries stay");
        if first <= self.log.last_index() {
            self.log.truncate(first);
            self.outbox.save(PersistRecord::TruncateFrom(first));
        }
        missing.iter().for_each(|entry| self.log.push(entry.clone()));
        self.outbox.save(PersistRecord::Append(missing));
    }

    fn confirm_append(&mut self, from: &NodeId, index: u64, round: u64) {
        let result = AppendResult::Matched { index };
        self.send(from, RaftBody::AppendReply { round, result });
    }
}
