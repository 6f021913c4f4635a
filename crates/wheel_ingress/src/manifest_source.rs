//! The source of the manifest in force.

use std::sync::Arc;

use wheel_manifest::ActiveManifest;

/// Provides the accepted manifest that this instance follows.
pub trait ManifestSource: Send + Sync + 'static {
    /// The manifest in force; `None` before the first one.
    fn current(&self) -> Option<Arc<ActiveManifest>>;
}
