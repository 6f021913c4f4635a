//! What a member table wants done.

use wheel_types::InstanceName;

use crate::{InstanceAddress, MemberMessage};

/// An output of [`MemberTable::step`](crate::MemberTable::step).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberOutput {
    /// Send a message, without waiting for an answer.
    Send {
        /// To whom.
        to: InstanceAddress,
        /// The message.
        message: Box<MemberMessage>,
    },
    /// [`MemberTable::view`](crate::MemberTable::view) has changed.
    ViewChanged,
    /// The table is full; this instance is passed over until others are forgotten.
    TableFull(InstanceName),
}
