//! The fencing number of a lease.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Increases with each lease of a data centre; an order that carries a lower number is stale.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// The number that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
