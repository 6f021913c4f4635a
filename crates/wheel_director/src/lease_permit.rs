//! Checks the lease when an order is sent.

use std::sync::Arc;

use wheel_types::FencingNumber;
use wheel_upstream::OrderPermit;

use crate::LeaseDriver;

/// Valid as long as this instance holds the lease with the order's number.
pub(crate) struct LeasePermit {
    pub(crate) driver: Arc<LeaseDriver>,
    pub(crate) number: FencingNumber,
}

impl OrderPermit for LeasePermit {
    fn is_valid(&self) -> bool {
        self.driver.authority().is_some_and(|authority| authority.number == self.number)
    }
}
