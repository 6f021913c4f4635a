//! The current term and the vote given in it.

use serde::{Deserialize, Serialize};

/// The vote of this folder, carried in [`LogRecord::Vote`](crate::LogRecord::Vote).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredVote {
    /// The current term.
    pub term: u64,
    /// Who got the vote in that term; empty for no one yet.
    pub voted_for: Vec<u8>,
}
