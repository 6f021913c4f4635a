//! The request of a candidate or holder to a grantor.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::FencingNumber;

use crate::HolderId;

/// A message to one [`LeaseGrantor`](crate::LeaseGrantor), answered by a
/// [`LeaseReply`](crate::LeaseReply). It may be lost, duplicated, late or out of order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRequest {
    /// The sender.
    pub holder: HolderId,
    /// Epoch of the grantor set that the sender uses.
    pub epoch: u64,
    /// Increases with each round of requests of this holder.
    pub round: u64,
    /// The fencing number that is claimed, renewed or released.
    pub number: FencingNumber,
    /// Requested length of the grant, measured by the grantor from the request's arrival.
    pub term: Duration,
    /// The operation.
    pub kind: RequestKind,
}

/// The kinds of [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum RequestKind {
    /// Grant the lease under a new number.
    Claim,
    /// Extend the grant under its number.
    Renew,
    /// End the grant.
    Release,
}
