//! What is known of an order after it was sent.

/// The answer to an order, passed to [`OrderLedger::resolve`](crate::OrderLedger::resolve).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderResult {
    /// The engine says that it carried the order out, or has begun to.
    Done,
    /// The engine says that it didn't carry the order out and never will, or the order provably
    /// never left.
    Refused,
    /// No answer: the order may have been carried out, or may still be.
    Unknown,
}
