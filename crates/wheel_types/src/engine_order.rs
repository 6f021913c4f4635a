//! An order to an engine.

use serde::{Deserialize, Serialize};

use crate::{FencingNumber, IncarnationId, OrderAction, RequestId};

/// The body of `POST /engine/v1/orders`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineOrder {
    /// The order's own id; an engine carries out each id at most once.
    pub order_id: RequestId,
    /// The fencing number of the lease under which the order was issued.
    pub fencing_number: FencingNumber,
    /// The engine's incarnation that the order is meant for.
    pub incarnation: IncarnationId,
    /// The change to make.
    #[serde(flatten)]
    pub action: OrderAction,
}
