//! The committed text that this instance holds.

use std::sync::Arc;

use parking_lot::Mutex;
use spdlog::{error, info};
use tokio::sync::watch;
use wheel_agreement::{AcceptedText, TextHistory, TextUpdate, UpdateError};
use wheel_manifest::{ActiveManifest, DeploymentManifest, ManifestHash};
use wheel_types::ManifestRevision;

/// The newest committed text with its latest changes; it only goes up.
///
/// Lock order: the history's lock, then the channel's own.
#[derive(Debug)]
pub struct TextState {
    history: Mutex<TextHistory>,
    serving: watch::Sender<Option<Arc<ActiveManifest>>>,
}

impl Default for TextState {
    fn default() -> Self {
        Self { history: Mutex::default(), serving: watch::Sender::new(None) }
    }
}

impl TextState {
    /// Takes a newer text in.
    ///
    /// # Errors
    /// [`UpdateError`] if the update is older or doesn't follow the text held.
    pub fn follow(&self, update: TextUpdate) -> Result<(), UpdateError> {
        let mut history = self.history.lock();
        history.follow(update)?;
        self.publish(history.text());
        Ok(())
    }

    /// Takes over the history of the group's state, if it is newer.
    pub(crate) fn replace(&self, newer: &TextHistory) {
        let mut history = self.history.lock();
        if newer.text().revision > history.text().revision {
            *history = newer.clone();
            self.publish(history.text());
        }
    }

    /// The revision and hash held.
    pub fn held(&self) -> (ManifestRevision, ManifestHash) {
        let history = self.history.lock();
        (history.text().revision, history.text().hash)
    }

    /// The text held.
    pub fn accepted(&self) -> AcceptedText {
        self.history.lock().text().clone()
    }

    /// What leads from the revision that someone holds to the text held here.
    pub fn changes_since(&self, revision: ManifestRevision, hash: ManifestHash) -> TextUpdate {
        let history = self.history.lock();
        match history.text().revision {
            // Someone who is ahead gets nothing; the text never goes back.
            held if held < revision => TextUpdate::Current,
            _ => history.changes_since(revision, hash),
        }
    }

    /// The text in force.
    pub fn serving(&self) -> Option<Arc<ActiveManifest>> {
        self.serving.borrow().clone()
    }

    /// Follows the text in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<ActiveManifest>>> {
        self.serving.subscribe()
    }

    fn publish(&self, text: &AcceptedText) {
        match DeploymentManifest::parse_unchecked(&text.source) {
            Ok(parsed) => {
                let source = Arc::clone(&text.source);
                let serving = ActiveManifest::new(text.revision, text.hash, source, parsed);
                info!("text_in_force", kv: { revision = text.revision.0 });
                self.serving.send_replace(Some(Arc::new(serving)));
            }
            // Every text is checked before it is proposed, which isn't repeated here. One from a newer
            // version may have keys that this one doesn't know: the text before stays in force.
            Err(fault) => error!("text_not_understood", kv: {
                revision = text.revision.0,
                reason:? = fault.to_string()
            }),
        }
    }
}
