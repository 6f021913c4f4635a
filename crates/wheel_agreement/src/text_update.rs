//! What brings a lagging text up to date.

use serde::{Deserialize, Serialize};
use wheel_manifest::{ManifestDelta, ManifestHash};
use wheel_types::ManifestRevision;

use crate::AcceptedText;

/// One accepted change: the step from the revision before to this one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TextChange {
    /// The revision after the change.
    pub revision: ManifestRevision,
    /// The chained hash of that revision.
    pub hash: ManifestHash,
    /// What changed.
    pub delta: ManifestDelta,
}

/// The answer to a revision and hash that someone holds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TextUpdate {
    /// Nothing is newer.
    Current,
    /// The changes that follow, oldest first.
    Changes(Vec<TextChange>),
    /// The whole text: the changes in between aren't kept, or the hash isn't known.
    Snapshot(AcceptedText),
}
