//! Inputs of a member table.

use wheel_types::InstanceName;

use crate::{ListedInstance, MemberMessage};

/// An input of [`MemberTable::step`](crate::MemberTable::step).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberInput {
    /// Time has passed.
    Tick,
    /// A member sent a message; the sender was authenticated.
    Message(Box<MemberMessage>),
    /// The whole list of the platform.
    Listed(Vec<ListedInstance>),
    /// A contact in another data centre doesn't answer; another is used for a while.
    ContactFailed(InstanceName),
    /// This instance drains before a graceful shutdown.
    Drain,
    /// This instance is about to exit.
    Leave,
}
