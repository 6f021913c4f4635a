//! Messages between a data centre and the lender.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::CentreName;

use crate::StoreShare;

/// Asks for a loan; answered by a [`StoreLoan`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRequest {
    /// The data centre that asks.
    pub centre: CentreName,
    /// Tells the answer from those to earlier requests.
    pub round: u64,
    /// What it could use beyond its safe share.
    pub wanted: StoreShare,
}

/// A share that is lent for a time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreLoan {
    /// The round of the request.
    pub round: u64,
    /// What is lent; it replaces the earlier loan.
    pub share: StoreShare,
    /// How long, counted by the borrower from when it sent the request.
    pub term: Duration,
}
