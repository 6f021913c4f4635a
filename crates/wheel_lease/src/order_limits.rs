//! Limits for the model of an order.

/// Limits that an order must respect.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct OrderLimits {
    /// Target number of replicas of the model in this data centre.
    pub replicas: usize,
}
