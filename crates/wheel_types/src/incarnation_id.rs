//! The incarnation of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Distinguishes successive runs of a process; a restarted process has a new one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl IncarnationId {
    /// The number that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
