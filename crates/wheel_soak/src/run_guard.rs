//! The end of a run at an upstream stub.

use std::sync::Arc;

use crate::SeenEvent;
use crate::upstream_shared::UpstreamShared;

/// Records the end of a run when it is dropped.
pub(crate) struct RunGuard<'a> {
    pub(crate) shared: &'a UpstreamShared,
    pub(crate) id: Arc<str>,
    pub(crate) upstream: Arc<str>,
    pub(crate) model: String,
    pub(crate) body: Option<Vec<u8>>,
    pub(crate) epoch: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        // The counts are reset with each epoch.
        if *self.shared.epoch.borrow() == self.epoch {
            self.shared.state.lock().end_run(&self.model);
        }
        self.shared.sink.record(SeenEvent::RunEnded {
            id: Arc::clone(&self.id),
            upstream: Arc::clone(&self.upstream),
            body: self.body.take(),
        });
    }
}
