//! An engine's reply to an order.

use serde::{Deserialize, Serialize};

use crate::{FencingNumber, RequestId};

/// Why an engine refused an order. The engine hasn't carried it out and never will.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReason {
    /// The engine has seen a higher fencing number.
    StaleFencingNumber,
    /// The order is addressed to another incarnation.
    WrongIncarnation,
    /// The model or adapter doesn't fit into the free memory.
    NoMemory,
    /// The order names a model or adapter that the engine doesn't have.
    UnknownModel,
    /// The model or adapter is already loaded or loading.
    AlreadyThere,
    /// Any other reason.
    #[serde(other)]
    Other,
}

/// The response body of `POST /engine/v1/orders`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderReply {
    /// The order that this answers.
    pub order_id: RequestId,
    /// True if the engine accepted the order; loading continues after the reply.
    pub accepted: bool,
    /// The reason of a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<OrderReason>,
    /// The highest fencing number that the engine has seen; 0 from engines that ignore fencing
    /// numbers.
    #[serde(default)]
    pub fencing_number: FencingNumber,
}
