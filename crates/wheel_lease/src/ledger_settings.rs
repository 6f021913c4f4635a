//! Settings of the order ledger.

use std::sync::Arc;
use std::time::Duration;

/// Settings of an [`OrderLedger`](crate::OrderLedger).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LedgerSettings {
    /// Prefix of every order id; differs between instances and their incarnations.
    pub id_prefix: Arc<str>,
    /// The longest time after sending at which an order can still reach an engine.
    pub order_life: Duration,
    /// Limit of recorded orders, open or not yet expired; further ones are refused.
    pub max_open_orders: usize,
}
