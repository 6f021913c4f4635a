//! The committed configuration documents that this instance holds.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;
use wheel_agreement::StoredDocument;

/// Bytes of older documents that are kept.
const MAX_OLD_BYTES: usize = 8 << 20;

/// The newest committed document known to this instance, whose version only goes up, and some of
/// those before it.
#[derive(Debug)]
pub struct DocumentState {
    held: watch::Sender<Option<Arc<StoredDocument>>>,
    /// Documents that were replaced, the oldest first.
    old: Mutex<VecDeque<Arc<StoredDocument>>>,
    max_old: usize,
}

impl Default for DocumentState {
    fn default() -> Self {
        Self::keeping(0)
    }
}

impl DocumentState {
    /// An empty state that keeps up to `max_old` documents beside the newest one, within a limit on
    /// their size.
    pub fn keeping(max_old: usize) -> Self {
        Self { held: watch::Sender::new(None), old: Mutex::default(), max_old }
    }

    /// Stores a committed document, unless one as new is held. True if it was stored.
    pub fn adopt(&self, document: &StoredDocument) -> bool {
        let mut replaced = None;
        let is_adopted = self.held.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|held| held.version < document.version);
            if is_newer {
                replaced = held.replace(Arc::new(document.clone()));
            }
            is_newer
        });
        if let Some(replaced) = replaced {
            self.keep_old(replaced);
        }
        is_adopted
    }

    fn keep_old(&self, replaced: Arc<StoredDocument>) {
        let mut old = self.old.lock();
        old.push_back(replaced);
        let mut bytes: usize = old.iter().map(|document| document.bytes.len()).sum();
        while old.len() > self.max_old || bytes > MAX_OLD_BYTES {
            let Some(oldest) = old.pop_front() else { break };
            bytes -= oldest.bytes.len();
        }
    }

    /// The newest document held.
    pub fn current(&self) -> Option<Arc<StoredDocument>> {
        self.held.borrow().clone()
    }

    /// The document of exactly this version, if it is the newest one or still kept.
    pub fn find(&self, version: u64) -> Option<Arc<StoredDocument>> {
        let is_wanted = |document: &Arc<StoredDocument>| document.version == version;
        let old = || self.old.lock().iter().find(|document| is_wanted(document)).cloned();
        self.current().filter(is_wanted).or_else(old)
    }

    /// The newest version held; 0 without a document.
    pub fn version(&self) -> u64 {
        self.held.borrow().as_ref().map_or(0, |held| held.version)
    }

    /// Subscribes to changes of the newest document held.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<StoredDocument>>> {
        self.held.subscribe()
    }
}
