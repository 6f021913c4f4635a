//! The committed configuration document that this instance holds.

use std::sync::Arc;

use tokio::sync::watch;
use wheel_agreement::StoredDocument;

/// The newest committed document known to this instance; its version only goes up.
#[derive(Debug)]
pub struct DocumentState {
    held: watch::Sender<Option<Arc<StoredDocument>>>,
}

impl Default for DocumentState {
    fn default() -> Self {
        Self { held: watch::Sender::new(None) }
    }
}

impl DocumentState {
    /// Stores a committed document, unless one as new is held. True if it was stored.
    pub fn adopt(&self, document: &StoredDocument) -> bool {
        self.held.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|held| held.version < document.version);
            if is_newer {
                *held = Some(Arc::new(document.clone()));
            }
            is_newer
        })
    }

    /// The document held.
    pub fn current(&self) -> Option<Arc<StoredDocument>> {
        self.held.borrow().clone()
    }

    /// The version held; 0 without a document.
    pub fn version(&self) -> u64 {
        self.held.borrow().as_ref().map_or(0, |held| held.version)
    }

    /// Subscribes to changes of the document held.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<StoredDocument>>> {
        self.held.subscribe()
    }
}
