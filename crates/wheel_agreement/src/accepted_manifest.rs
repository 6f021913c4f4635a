//! An accepted revision of the operators' manifest.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestHash;
use wheel_types::ManifestRevision;

/// A committed manifest with its revision and the hash that chains it to the previous one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AcceptedManifest {
    /// Its revision.
    pub revision: ManifestRevision,
    /// Its chained hash.
    pub hash: ManifestHash,
    /// The manifest itself.
    pub source: Arc<str>,
}

impl Default for AcceptedManifest {
    fn default() -> Self {
        let (revision, hash) = Default::default();
        Self { revision, hash, source: "".into() }
    }
}
