//! The revision of the operators' manifest.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts accepted manifests; revision 0 is the empty manifest before the first apply.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct ManifestRevision(pub u64);

impl ManifestRevision {
    /// The number that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ManifestRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
