//! Updates that bring an older manifest up to date.

use serde::{Deserialize, Serialize};
use wheel_manifest::{ManifestDelta, ManifestHash};
use wheel_types::ManifestRevision;

use crate::AcceptedManifest;

/// One accepted change, from the previous revision to this one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestChange {
    /// The revision after the change.
    pub revision: ManifestRevision,
    /// The chained hash of that revision.
    pub hash: ManifestHash,
    /// What changed.
    pub delta: ManifestDelta,
}

/// The update for a holder of a given revision and hash.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ManifestUpdate {
    /// Nothing is newer.
    Current,
    /// The changes that follow, oldest first.
    Changes(Vec<ManifestChange>),
    /// The whole manifest: the changes in between aren't kept, or the hash isn't known.
    Snapshot(AcceptedManifest),
}
