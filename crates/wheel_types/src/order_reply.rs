//! An engine's answer to an order.

use serde::{Deserialize, Serialize};

use crate::{FencingNumber, RequestId};

/// Why an engine refused an order. The engine hasn't carried it out and won't.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReason {
    /// The engine has seen a higher fencing number.
    StaleFencingNumber,
    /// The order is meant for another incarnation.
    WrongIncarnation,
    /// The model or adapter doesn't fit into the memory that is free.
    NoMemory,
    /// The order names a model or adapter that isn't there.
    UnknownModel,
    /// The model or adapter is there or on its way already.
    AlreadyThere,
    /// Any other reason.
    #[serde(other)]
    Other,
}

/// The body of the answer to `POST /engine/v1/orders`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderReply {
    /// The order that this answers.
    pub order_id: RequestId,
    /// True if the engine took the order; loading goes on after that.
    pub accepted: bool,
    /// Why not, in a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<OrderReason>,
    /// The highest fencing number that the engine has seen; 0 from engines that ignore them.
    #[serde(default)]
    pub fencing_number: FencingNumber,
}
