//! Messages between participants.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_types::InstanceName;

use crate::{FolderIdentity, GroupId, GroupMembers, LogEntry, NodeId, SnapshotChunk};

/// A message with the fields that all have in common.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RaftMessage {
    /// The sender's group, or [`GroupId::NONE`].
    pub group: GroupId,
    /// The folder that it is meant for; a message that reaches another folder is dropped.
    pub target: FolderIdentity,
    /// The sender's term.
    pub term: u64,
    /// Its content.
    pub body: RaftBody,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum RaftBody {
    /// The sender's folder is empty: it asks to form a group or to join one.
    Hello {
        /// The voters that the sender's settings name, sorted.
        configured: Vec<InstanceName>,
    },
    /// Answers [`RaftBody::Hello`]: the sender's folder is empty, too.
    Empty {
        /// The voters that the sender's settings name, sorted.
        configured: Vec<InstanceName>,
    },
    /// Answers [`RaftBody::Hello`] and [`RaftBody::JoinRequest`]: the group's leader decides whether
    /// the sender may join.
    Leader {
        /// The leader's instance.
        instance: InstanceName,
    },
    /// Tells a member whose folder is empty to start in the sender's group, from the empty state.
    Welcome {
        /// The members.
        members: Arc<GroupMembers>,
    },
    /// Asks whether a vote in the next term would be granted.
    PreVoteRequest {
        /// The sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Answers [`RaftBody::PreVoteRequest`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for the vote in the sender's term.
    VoteRequest {
        /// The sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// Answers [`RaftBody::VoteRequest`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// The leader gives up its term.
    Resign {
        /// Who should stand for election at once.
        successor: NodeId,
    },
    /// Replicates entries; without any it is a heartbeat.
    Append {
        /// The entry just before `entries`.
        prev_index: u64,
        /// The term of that entry.
        prev_term: u64,
        /// Consecutive entries.
        entries: Vec<LogEntry>,
        /// The last committed entry.
        commit: u64,
        /// The leader's newest read confirmation round.
        round: u64,
    },
    /// Replaces a log that lacks entries which the leader no longer has.
    InstallSnapshot {
        /// A part of the leader's snapshot.
        chunk: SnapshotChunk,
        /// The leader's newest read confirmation round.
        round: u64,
    },
    /// Answers [`RaftBody::Append`] and [`RaftBody::InstallSnapshot`].
    AppendReply {
        /// The round of the message answered.
        round: u64,
        /// What happened to its entries.
        result: AppendResult,
    },
    /// The sender's folder belongs to the group, but it hears no leader: it asks to be a member
    /// again, in case that it isn't one any more.
    JoinRequest,
}

/// What happened to appended entries.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum AppendResult {
    /// The log agrees with the leader's up to an entry.
    Matched {
        /// That entry.
        index: u64,
    },
    /// A part of a snapshot has arrived.
    Received {
        /// The snapshot's last entry.
        index: u64,
        /// Where the next part begins.
        offset: u64,
    },
    /// The log lacks the entry before the appended ones.
    Rejected {
        /// That entry.
        prev_index: u64,
        /// The highest index at which the logs may agree.
        hint_index: u64,
        /// The term of that entry.
        hint_term: u64,
    },
}
