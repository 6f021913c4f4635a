//! Inputs of a lease holder.

use wheel_types::{FencingNumber, InstanceName};

use crate::{GrantorSet, LeaseReply};

/// An input of [`LeaseHolder::step`](crate::LeaseHolder::step).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HolderInput {
    /// Time has passed.
    Tick,
    /// A grantor answered; the sender was authenticated.
    Reply {
        /// The grantor.
        from: InstanceName,
        /// Its answer.
        reply: LeaseReply,
    },
    /// Another holder's number was seen, in a peer's message or by
    /// [`OrderLedger::observe`](crate::OrderLedger::observe). The own number must exceed it.
    Learned(FencingNumber),
    /// The replicated log committed another grantor set.
    SetChanged(GrantorSet),
    /// Give up the lease and claim no other: the instance shuts down.
    Release,
}
