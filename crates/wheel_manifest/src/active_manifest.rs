//! A revision of the manifest, prepared for serving requests.

use std::sync::Arc;

use wheel_types::ManifestRevision;

use crate::{DeploymentManifest, ManifestHash, ManifestIndex};

/// An accepted revision with its source, its checked form and an index by name.
#[derive(Clone, Debug, Default)]
pub struct ActiveManifest {
    /// The revision.
    pub revision: ManifestRevision,
    /// Its chained hash.
    pub hash: ManifestHash,
    /// The manifest's source as it was applied.
    pub source: Arc<str>,
    /// The checked form.
    pub manifest: Arc<DeploymentManifest>,
    /// Look-ups in the checked form.
    pub index: ManifestIndex,
}

impl ActiveManifest {
    /// Indexes a checked manifest.
    pub fn new(
        revision: ManifestRevision,
        hash: ManifestHash,
        source: Arc<str>,
        manifest: DeploymentManifest,
    ) -> Self {
        let manifest = Arc::new(manifest);
        let index = ManifestIndex::new(Arc::clone(&manifest));
        Self { revision, hash, source, manifest, index }
    }
}
