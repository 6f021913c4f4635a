//! Hashes that chain the revisions of the manifest.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The hash of a revision, computed over the previous revision's hash and the new manifest.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct ManifestHash([u8; 32]);

impl ManifestHash {
    /// The hash of the revision with the manifest `source` that follows the revision with this
    /// hash.
    pub fn chain(self, source: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(source.as_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// The bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for ManifestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(8).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
