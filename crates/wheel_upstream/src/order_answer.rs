//! What became of an order.

use wheel_types::OrderReason;

/// The outcome of one order, as far as the sender can know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine took it; what it started goes on.
    Accepted,
    /// The engine refused it and won't carry it out.
    Refused(OrderReason),
    /// It may have reached the engine; read the engine's state to learn.
    Unknown,
    /// Provably the whole order never left, so that the engine can't carry it out.
    NotSent,
}
