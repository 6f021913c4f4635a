//! The accepted manifest with its latest changes.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};
use wheel_manifest::{DeltaError, ManifestDelta, ManifestHash};
use wheel_types::ManifestRevision;

use crate::{AcceptedManifest, ManifestChange, ManifestUpdate};

/// The newest accepted manifest and the changes that led to it, as many as the limits allow.
/// Control instances keep it in [`crate::GroupState`]; ingress instances keep one, too, and pass on
/// updates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestHistory {
    manifest: AcceptedManifest,
    changes: VecDeque<ManifestChange>,
    changes_bytes: usize,
}

/// Why an update wasn't applied; the manifest is unchanged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateError {
    /// It isn't newer than the manifest held.
    Stale,
    /// It doesn't follow the manifest held: request the whole manifest.
    Broken,
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stale => "the update isn't newer than the manifest held",
            Self::Broken => "the update doesn't follow the manifest held",
        })
    }
}

impl std::error::Error for UpdateError {}

impl ManifestHistory {
    /// The most changes kept; the oldest are dropped first.
    pub const MAX_CHANGES: usize = 1_024;
    /// The largest total size of the changes kept, in bytes; the oldest are dropped first.
    pub const MAX_CHANGES_BYTES: usize = 2 << 20;

    /// The newest manifest.
    pub fn manifest(&self) -> &AcceptedManifest {
        &self.manifest
    }

    /// The manifest after `delta`, unless the delta was made from another manifest.
    ///
    /// # Errors
    /// [`DeltaError`] if the delta doesn't apply.
    pub fn preview(&self, delta: &ManifestDelta) -> Result<AcceptedManifest, DeltaError> {
        let source = delta.apply_to(&self.manifest.source)?;
        let hash = self.manifest.hash.chain(&source);
        Ok(AcceptedManifest {
            revision: self.manifest.revision.next(),
            hash,
            source: source.into(),
        })
    }

    /// The update from a given revision to the newest manifest.
    pub fn changes_since(&self, revision: ManifestRevision, hash: ManifestHash) -> ManifestUpdate {
        let is_held = |change: &ManifestChange| change.revision == revision && change.hash == hash;
        let is_start = (revision, hash) == Default::default();
        let oldest = self.changes.front().map(|change| change.revision);
        match self.changes.iter().position(is_held) {
            _ if (revision, hash) == (self.manifest.revision, self.manifest.hash) => {
                ManifestUpdate::Current
            }
            Some(position) => self.changes_from(position + 1),
            None if is_start && oldest == Some(revision.next()) => self.changes_from(0),
            None => ManifestUpdate::Snapshot(self.manifest.clone()),
        }
    }

    /// Applies an update to a newer manifest; an older one is never applied.
    ///
    /// # Errors
    /// [`UpdateError`] if the update is older or doesn't follow the manifest held.
    pub fn apply(&mut self, update: ManifestUpdate) -> Result<(), UpdateError> {
        match update {
            ManifestUpdate::Current => Err(UpdateError::Stale),
            ManifestUpdate::Changes(changes) => self.apply_changes(changes),
            ManifestUpdate::Snapshot(manifest) if manifest.revision <= self.manifest.revision => {
                Err(UpdateError::Stale)
            }
            ManifestUpdate::Snapshot(manifest) => {
                *self = Self { manifest, ..Self::default() };
                Ok(())
            }
        }
    }

    /// Makes `manifest`, the [`ManifestHistory::preview`] of `delta`, the newest.
    pub(crate) fn push(&mut self, manifest: AcceptedManifest, delta: ManifestDelta) {
        let change = ManifestChange { revision: manifest.revision, hash: manifest.hash, delta };
        self.changes_bytes += change_bytes(&change);
        self.changes.push_back(change);
        self.manifest = manifest;
        self.trim();
    }

    fn apply_changes(&mut self, changes: Vec<ManifestChange>) -> Result<(), UpdateError> {
        let held = self.manifest.revision;
        let mut history = self.clone();
        for change in changes.into_iter().filter(|change| change.revision > held) {
            let manifest = history.preview(&change.delta).map_err(|_| UpdateError::Broken)?;
            if (manifest.revision, manifest.hash) != (change.revision, change.hash) {
                return Err(UpdateError::Broken);
            }
            history.push(manifest, change.delta);
        }
        if history.manifest.revision == held {
            return Err(UpdateError::Stale);
        }
        *self = history;
        Ok(())
    }

    fn changes_from(&self, position: usize) -> ManifestUpdate {
        ManifestUpdate::Changes(self.changes.iter().skip(position).cloned().collect())
    }

    fn trim(&mut self) {
        let is_over = |history: &Self| {
            history.changes.len() > Self::MAX_CHANGES
                || history.changes_bytes > Self::MAX_CHANGES_BYTES
        };
        while is_over(self)
            && let Some(oldest) = self.changes.pop_front()
        {
            self.changes_bytes -= change_bytes(&oldest);
        }
    }
}

/// Fixed part of the size of a change and of a hunk.
const CHANGE_OVERHEAD_BYTES: usize = 64;

fn change_bytes(change: &ManifestChange) -> usize {
    let hunk_bytes = change.delta.hunks.iter().map(|hunk| CHANGE_OVERHEAD_BYTES + hunk.added.len());
    CHANGE_OVERHEAD_BYTES + hunk_bytes.sum::<usize>()
}
