//! Messages between members.

use serde::{Deserialize, Serialize};
use wheel_types::InstanceName;

use crate::{MemberRecord, MemberUpdate};

/// A one-way message; it may be lost, duplicated or late.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberMessage {
    /// The sender, so that a receiver that doesn't know it can answer.
    pub sender: MemberRecord,
    /// Its kind.
    pub kind: MessageKind,
    /// Changes that are passed on; their number is limited.
    pub updates: Vec<MemberUpdate>,
}

/// The kinds of [`MemberMessage`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum MessageKind {
    /// Requests a [`MessageKind::Ack`] with the same nonce.
    Probe {
        /// Distinguishes this probe from others of the sender.
        nonce: u64,
    },
    /// Asks the receiver to probe `target` and to forward its acknowledgement.
    ProbeFor {
        /// Distinguishes this probe from others of the sender.
        nonce: u64,
        /// The member that didn't answer.
        target: InstanceName,
    },
    /// The probed member is alive.
    Ack {
        /// Nonce of the probe.
        nonce: u64,
    },
    /// Requests the whole table: the sender has just started.
    Join {
        /// Answered by an acknowledgement as well.
        nonce: u64,
    },
    /// A part of the whole table.
    Table,
    /// Carries updates only.
    Notice,
}
