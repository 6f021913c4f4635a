//! The current term and the vote given in it.

use serde::{Deserialize, Serialize};

/// The vote of this folder, carried in [`LogRecord::Vote`](crate::LogRecord::Vote).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredVote {
    /// The current term.
    pub term: u64,
    /// The candidate that got the vote in that term; empty if there is none yet.
    pub voted_for: Vec<u8>,
}
