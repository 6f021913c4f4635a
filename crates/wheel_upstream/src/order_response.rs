//! The outcome of an order.

use wheel_types::OrderReason;

/// The outcome of one order, as far as the sender knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// The engine accepted it; the work that it started continues.
    Accepted,
    /// The engine refused it and won't carry it out.
    Refused(OrderReason),
    /// It may have reached the engine; the engine's state shows whether it did.
    Unknown,
    /// The complete order was never sent, so that the engine can't carry it out.
    NotSent,
}
