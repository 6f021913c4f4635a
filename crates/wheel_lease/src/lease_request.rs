//! What a candidate or holder asks of a grantor.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::FencingNumber;

use crate::HolderId;

/// A message to one [`LeaseGrantor`](crate::LeaseGrantor), answered by a
/// [`LeaseReply`](crate::LeaseReply). It may be lost, doubled, late or out of order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub holder: HolderId,
    /// Epoch of the grantor set that the sender goes by.
    pub epoch: u64,
    /// Grows with each round of requests of this holder.
    pub round: u64,
    /// The fencing number that is claimed, renewed or released.
    pub number: FencingNumber,
    /// How long the grant shall last, counted by the grantor from the request's arrival.
    pub term: Duration,
    /// What is asked.
    pub kind: RequestKind,
}

/// The kinds of [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum RequestKind {
    /// Grant the lease under a new number.
    Claim,
    /// Prolong the grant under its number.
    Renew,
    /// End the grant.
    Release,
}
