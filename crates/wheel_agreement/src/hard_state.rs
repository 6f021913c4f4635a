//! The term and vote of a participant.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// What a participant must never lose: it is synced before any message that depends on it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HardState {
    /// The newest term that it has seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<NodeId>,
}
