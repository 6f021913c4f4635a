//! The result of sending an order.

/// The answer to an order, passed to [`OrderLedger::resolve`](crate::OrderLedger::resolve).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderResult {
    /// The engine confirmed that it has executed the order or has begun to.
    Done,
    /// The engine answered that it didn't execute the order and never will, or the order was
    /// provably never sent.
    Refused,
    /// No answer: the order may have been executed, or may still be.
    Unknown,
}
