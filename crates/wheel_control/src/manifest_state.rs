//! The committed manifest that this instance holds.

use std::sync::Arc;

use parking_lot::Mutex;
use spdlog::{error, info};
use tokio::sync::watch;
use wheel_agreement::{AcceptedManifest, ManifestHistory, ManifestUpdate, UpdateError};
use wheel_manifest::{ActiveManifest, DeploymentManifest, ManifestHash};
use wheel_types::ManifestRevision;

/// The newest committed manifest with its latest changes; it only goes up.
///
/// Lock order: the history's lock, then the channel's own.
#[derive(Debug)]
pub struct ManifestState {
    history: Mutex<ManifestHistory>,
    active: watch::Sender<Option<Arc<ActiveManifest>>>,
}

impl Default for ManifestState {
    fn default() -> Self {
        Self { history: Mutex::default(), active: watch::Sender::new(None) }
    }
}

impl ManifestState {
    /// Applies an update to a newer manifest.
    ///
    /// # Errors
    /// [`UpdateError`] if the update is older or doesn't follow the manifest held.
    pub fn apply(&self, update: ManifestUpdate) -> Result<(), UpdateError> {
        let mut history = self.history.lock();
        history.apply(update)?;
        self.publish(history.manifest());
        Ok(())
    }

    /// Replaces the history by that of the group's state, if that is newer.
    pub(crate) fn replace(&self, newer: &ManifestHistory) {
        let mut history = self.history.lock();
        if newer.manifest().revision > history.manifest().revision {
            *history = newer.clone();
            self.publish(history.manifest());
        }
    }

    /// The revision and hash held.
    pub fn current_revision(&self) -> (ManifestRevision, ManifestHash) {
        let history = self.history.lock();
        (history.manifest().revision, history.manifest().hash)
    }

    /// The manifest held.
    pub fn accepted(&self) -> AcceptedManifest {
        self.history.lock().manifest().clone()
    }

    /// The update from a given revision to the manifest held here.
    pub fn changes_since(&self, revision: ManifestRevision, hash: ManifestHash) -> ManifestUpdate {
        let history = self.history.lock();
        match history.manifest().revision {
            // A holder of a newer revision gets nothing; the manifest never goes back.
            held if held < revision => ManifestUpdate::Current,
            _ => history.changes_since(revision, hash),
        }
    }

    /// The manifest in force.
    pub fn active(&self) -> Option<Arc<ActiveManifest>> {
        self.active.borrow().clone()
    }

    /// Subscribes to changes of the manifest in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ActiveManifest>>> {
        self.active.subscribe()
    }

    fn publish(&self, manifest: &AcceptedManifest) {
        match DeploymentManifest::parse_unchecked(&manifest.source) {
            Ok(parsed) => {
                let source = Arc::clone(&manifest.source);
                let active = ActiveManifest::new(manifest.revision, manifest.hash, source, parsed);
                info!("text_in_force", kv: { revision = manifest.revision.0 });
                self.active.send_replace(Some(Arc::new(active)));
            }
            // Every manifest is checked before it is proposed, which isn't repeated here. One from
            // a newer version may have keys that this version doesn't know: the previous manifest
            // stays in force.
            Err(fault) => error!("text_not_understood", kv: {
                revision = manifest.revision.0,
                reason:? = fault.to_string()
            }),
        }
    }
}
