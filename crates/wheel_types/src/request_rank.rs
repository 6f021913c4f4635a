//! The rank of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Orders requests by urgency: 0 is the most urgent. The text gives each rank its name, deadline
/// and floor, in this order.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestRank(pub u8);

impl RequestRank {
    /// The most ranks that a text may have.
    pub const MAX_RANKS: usize = 8;

    /// The rank as an index into a table of ranks.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for RequestRank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
