//! Replicated log and group state as pure step functions.
//!
//! [`RaftNode`] is one participant of the replicated log, [`GroupState`] the state machine that it
//! feeds: the accepted manifest and the claims on calls that must not run twice. Neither uses
//! files, sockets or clocks; a driver carries out the [`RaftOutput`]s.

mod accepted_manifest;
mod byte_field;
mod call_answer;
mod claim_id;
mod claim_table;
mod codec;
mod folder_identity;
mod group_answer;
mod group_clock;
mod group_command;
mod group_id;
mod group_limits;
mod group_members;
mod group_state;
mod hard_state;
mod idempotency_key;
mod leader_search;
mod log_entry;
mod manifest_history;
mod manifest_register;
mod manifest_update;
mod node_id;
mod peer_progress;
mod persist_record;
mod raft_input;
mod raft_log;
mod raft_message;
mod raft_node;
mod raft_outbox;
mod raft_output;
mod raft_role;
mod raft_settings;
mod raft_snapshot;
mod raft_status;
mod raft_timers;
mod request_digest;
mod restored_raft;
mod snapshot_chunk;
mod start_wait;
mod stored_document;
mod voter_change;

pub use accepted_manifest::AcceptedManifest;
pub use call_answer::CallAnswer;
pub use claim_id::{ClaimHolder, ClaimId};
pub use codec::{CodecError, decode, encode};
pub use folder_identity::FolderIdentity;
pub use group_answer::{ClaimAnswer, DocumentAnswer, GroupAnswer, ManifestAnswer};
pub use group_clock::GroupClock;
pub use group_command::{GroupAction, GroupCommand};
pub use group_id::GroupId;
pub use group_limits::GroupLimits;
pub use group_members::{GroupMembers, LearnerGoal};
pub use group_state::GroupState;
pub use hard_state::HardState;
pub use idempotency_key::IdempotencyKey;
pub use log_entry::{EntryPayload, LogEntry};
pub use manifest_history::{ManifestHistory, UpdateError};
pub use manifest_update::{ManifestChange, ManifestUpdate};
pub use node_id::NodeId;
pub use persist_record::PersistRecord;
pub use raft_input::{ProposalId, RaftInput, ReadId};
pub use raft_message::{AppendResult, RaftBody, RaftMessage};
pub use raft_node::RaftNode;
pub use raft_output::{ProposalRefusal, RaftOutput};
pub use raft_settings::RaftSettings;
pub use raft_snapshot::RaftSnapshot;
pub use raft_status::{PeerStatus, RaftStatus, RoleName};
pub use request_digest::RequestDigest;
pub use restored_raft::RestoredRaft;
pub use snapshot_chunk::SnapshotChunk;
pub use start_wait::StartWait;
pub use stored_document::StoredDocument;
pub use voter_change::VoterChange;

/// Runs the examples of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct ReadmeExamples;
