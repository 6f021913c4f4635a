//! Outputs of a lease holder.

use wheel_types::{FencingNumber, InstanceName};

use crate::{LeaseAuthority, LeaseRequest};

/// An output of [`LeaseHolder::step`](crate::LeaseHolder::step), to be executed in sequence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HolderOutput {
    /// Send a request to a grantor, which may be this instance itself.
    Send {
        /// The grantor.
        to: InstanceName,
        /// The request.
        request: LeaseRequest,
    },
    /// The lease is held from now on, or its number was raised.
    Acquired(LeaseAuthority),
    /// The lease ended or was given up.
    Lost(FencingNumber),
}
