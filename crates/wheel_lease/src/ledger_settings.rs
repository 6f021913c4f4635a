//! Settings of the order ledger.

use std::sync::Arc;
use std::time::Duration;

/// Settings of an [`OrderLedger`](crate::OrderLedger).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LedgerSettings {
    /// Start of every order id; differs between instances and their incarnations.
    pub id_prefix: Arc<str>,
    /// The longest time after which an order that was sent can still reach an engine.
    pub order_life: Duration,
    /// The most orders whose effect isn't known; further ones are refused.
    pub max_open_orders: usize,
}
