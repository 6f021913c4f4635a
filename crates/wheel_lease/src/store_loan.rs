//! Messages between a data centre and the allocator of the weight store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::CentreName;

use crate::StoreShare;

/// A request for a loan; answered by a [`StoreLoan`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRequest {
    /// The data centre that borrows.
    pub centre: CentreName,
    /// Distinguishes the answer from those to earlier requests.
    pub round: u64,
    /// The share that it could use beyond its safe share.
    pub wanted: StoreShare,
}

/// A share that is lent for a limited time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreLoan {
    /// The round of the request.
    pub round: u64,
    /// The lent share; it replaces the earlier loan.
    pub share: StoreShare,
    /// Length of the loan, measured by the data centre from when it sent the request.
    pub term: Duration,
}
