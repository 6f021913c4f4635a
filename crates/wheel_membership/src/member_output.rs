//! Outputs of a member table.

use wheel_types::InstanceName;

use crate::{InstanceAddress, MemberMessage};

/// An output of [`MemberTable::step`](crate::MemberTable::step).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberOutput {
    /// Send a message, without waiting for an answer.
    Send {
        /// The receiver.
        to: InstanceAddress,
        /// The message.
        message: Box<MemberMessage>,
    },
    /// [`MemberTable::view`](crate::MemberTable::view) has changed.
    ViewChanged,
    /// The table is full; this instance is ignored until others are removed.
    TableFull(InstanceName),
}
