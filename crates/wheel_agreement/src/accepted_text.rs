//! An accepted revision of the operators' text.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestHash;
use wheel_types::ManifestRevision;

/// A committed text with its revision and the hash that chains it to the one before.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AcceptedText {
    /// Its revision.
    pub revision: ManifestRevision,
    /// Its chained hash.
    pub hash: ManifestHash,
    /// The text itself.
    pub source: Arc<str>,
}

impl Default for AcceptedText {
    fn default() -> Self {
        let (revision, hash) = Default::default();
        Self { revision, hash, source: "".into() }
    }
}
