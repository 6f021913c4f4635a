//! Drives the replicated log of a control instance and follows the accepted manifest at every
//! instance.
//!
//! [`ControlNode`] carries out the outputs of [`wheel_agreement::RaftNode`]: it writes, sends and
//! applies, on a thread of its own, because a sync blocks. [`GroupClient`] commits commands from
//! any instance. [`ManifestFollower`] keeps every instance at the newest committed manifest that it
//! can reach.

mod address_resolver;
mod control_folder;
mod control_node;
mod control_worker;
mod document_state;
mod group_call;
mod group_client;
mod group_monitor;
mod manifest_follower;
mod manifest_poll;
mod manifest_state;
mod peer_sender;
mod read_answer;
mod transfer_time;
mod worker_shared;

pub use address_resolver::AddressResolver;
pub use control_folder::FolderError;
pub use control_node::{ControlError, ControlNode, ControlSettings};
pub use document_state::DocumentState;
pub use group_call::{GroupCall, GroupReply, SubmitAnswer};
pub use group_client::{GroupClient, GroupError};
pub use manifest_follower::{FollowerSettings, ManifestFollower, ParentSelector, answer_poll};
pub use manifest_poll::{ManifestPoll, ManifestReply};
pub use manifest_state::ManifestState;
pub use read_answer::ReadAnswer;
