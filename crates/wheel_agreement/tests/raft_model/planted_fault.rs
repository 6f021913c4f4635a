//! Effects of planted faults on nodes.

use wheel_agreement::{AppendResult, PersistRecord, RaftBody, RaftMessage, RestoredRaft};

use super::RaftModel;

/// A fault planted between nodes and the model, to check that the search finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Terms and votes aren't synced.
    ForgetVote,
    /// Entries aren't synced.
    ForgetEntries,
    /// Votes are granted to everyone.
    VoteTwice,
    /// Rejected entries are confirmed.
    ConfirmRejected,
    /// A lost folder keeps its identity and its membership in the group.
    KeepIdentity,
    /// A read is answered without asking anyone.
    ReadAtOnce,
    /// Snapshots claim to cover one entry more than they do.
    ShiftSnapshot,
    /// A lost folder comes back as the first folder of its instance, and empty.
    FoundAgain,
    /// A node that belongs to a group reports that its folder is empty.
    ClaimEmpty,
    /// Whoever is asked for the leader names an instance that has never led. No invariant depends on
    /// it.
    NameWrongLeader,
}

impl RaftModel {
    /// The contents that remain of a lost folder.
    pub(super) fn lost_folder(&self, disk: &RestoredRaft) -> RestoredRaft {
        match self.fault() {
            Some(Fault::KeepIdentity) => {
                RestoredRaft { snapshot: disk.snapshot.clone(), ..Default::default() }
            }
            _ => RestoredRaft::default(),
        }
    }

    /// Whether a record is dropped instead of synced.
    pub(super) fn is_dropped(&self, record: &PersistRecord) -> bool {
        match record {
            PersistRecord::HardState(_) => self.fault() == Some(Fault::ForgetVote),
            PersistRecord::Append(_) => self.fault() == Some(Fault::ForgetEntries),
            PersistRecord::TruncateFrom(_) | PersistRecord::Snapshot(_) => false,
        }
    }

    /// A forged reply that is sent in addition to the node's own messages.
    pub(super) fn forged_reply(&self, message: &RaftMessage) -> Option<RaftBody> {
        match &message.body {
            RaftBody::Hello { configured } if self.fault() == Some(Fault::ClaimEmpty) => {
                Some(RaftBody::Empty { configured: configured.clone() })
            }
            _ => None,
        }
    }

    /// The message to send in place of `message`.
    pub(super) fn tamper(&self, mut message: RaftMessage) -> RaftMessage {
        match (&mut message.body, self.fault()) {
            (RaftBody::VoteReply { granted }, Some(Fault::VoteTwice)) => *granted = true,
            (RaftBody::AppendReply { result, .. }, Some(Fault::ConfirmRejected)) => {
                confirm(result);
            }
            (RaftBody::Leader { instance }, Some(Fault::NameWrongLeader)) => *instance = "b".into(),
            (RaftBody::InstallSnapshot { chunk, .. }, Some(Fault::ShiftSnapshot)) => {
                chunk.index += 1;
            }
            _ => {}
        }
        message
    }
}

fn confirm(result: &mut AppendResult) {
    if let AppendResult::Rejected { prev_index, .. } = *result {
        *result = AppendResult::Matched { index: prev_index + 1 };
    }
}
