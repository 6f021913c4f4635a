//! What was decided for the model of an order.

/// Bounds that an order must keep.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct OrderLimits {
    /// Replicas of the model that were decided for this data centre.
    pub replicas: usize,
}
