//! How planted faults change what nodes do.

use wheel_agreement::{AppendResult, PersistRecord, RaftBody, RaftMessage, RestoredRaft};

use super::RaftModel;

/// A fault planted between nodes and the model, to see that the search finds it.
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
    /// A lost folder keeps its identity and its place in the group.
    KeepIdentity,
    /// A read is answered without asking anyone.
    ReadAtOnce,
    /// Snapshots are said to hold one entry more than they do.
    ShiftSnapshot,
    /// A node that belongs to a group says that its folder is empty.
    ClaimEmpty,
}

impl RaftModel {
    /// What is left of a lost folder.
    pub(super) fn lost_folder(&self, disk: &RestoredRaft) -> RestoredRaft {
        match self.fault() {
            Some(Fault::KeepIdentity) => {
                RestoredRaft { snapshot: disk.snapshot.clone(), ..Default::default() }
            }
            _ => RestoredRaft::default(),
        }
    }

    /// Whether a record isn't synced.
    pub(super) fn forgets(&self, record: &PersistRecord) -> bool {
        match record {
            PersistRecord::HardState(_) => self.fault() == Some(Fault::ForgetVote),
            PersistRecord::Append(_) => self.fault() == Some(Fault::ForgetEntries),
            PersistRecord::TruncateFrom(_) | PersistRecord::Snapshot(_) => false,
        }
    }

    /// What is answered besides the node's own messages.
    pub(super) fn false_answer(&self, message: &RaftMessage) -> Option<RaftBody> {
        match &message.body {
            RaftBody::Hello { configured } if self.fault() == Some(Fault::ClaimEmpty) => {
                Some(RaftBody::Empty { configured: configured.clone() })
            }
            _ => None,
        }
    }

    /// What is sent in place of a message.
    pub(super) fn falsify(&self, mut message: RaftMessage) -> RaftMessage {
        match (&mut message.body, self.fault()) {
            (RaftBody::VoteReply { granted }, Some(Fault::VoteTwice)) => *granted = true,
            (RaftBody::AppendReply { result, .. }, Some(Fault::ConfirmRejected)) => {
                confirm(result);
            }
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
