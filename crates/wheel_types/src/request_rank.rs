//! The rank of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Orders requests by urgency: 0 is the most urgent. The manifest lists the ranks in this order,
/// each with its name, deadline and floor.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestRank(pub u8);

impl RequestRank {
    /// The largest number of ranks in a manifest.
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
