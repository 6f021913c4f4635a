//! Cancels what nobody reads any more.

use std::sync::Arc;

use tokio::runtime::Handle;
use wheel_types::RequestId;

use crate::engine_client::EngineCore;
use crate::{AttemptId, CallFailure, FailureKind, SentState};

/// Cancels its request at the engine when it is dropped, unless the request has ended.
///
/// At best effort: no more than a fixed number of cancels are under way at once for one engine,
/// and one more is left out, since the closed connection tells the engine as well.
pub(crate) struct CancelGuard {
    core: Arc<EngineCore>,
    request: RequestId,
    attempt: AttemptId,
    armed: bool,
}

impl CancelGuard {
    /// Watches over `request`.
    pub(crate) fn new(core: Arc<EngineCore>, request: RequestId, attempt: AttemptId) -> Self {
        Self { core, request, attempt, armed: true }
    }

    /// The request has ended.
    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }

    /// The request has failed; one that never left or that the engine refused needs no cancel.
    pub(crate) fn note_failure(&mut self, failure: &CallFailure) {
        let refused = matches!(failure.kind, FailureKind::Refused { .. });
        if refused || failure.sent == SentState::NotSent {
            self.disarm();
        }
    }

    /// The client that the request went through.
    pub(crate) fn core(&self) -> &EngineCore {
        &self.core
    }

    /// The request.
    pub(crate) fn request(&self) -> &RequestId {
        &self.request
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let counters = &self.core.pool.counters;
        let slot = self.core.cancels.clone().try_acquire_owned();
        match (slot, Handle::try_current()) {
            (Ok(slot), Ok(runtime)) => {
                counters.cancels.add_one();
                let (core, request) = (self.core.clone(), self.request.clone());
                let attempt = self.attempt;
                runtime.spawn(async move {
                    // The engine ends the request on its own if this is lost.
                    let _ = core.cancel(&request, Some(attempt)).await;
                    drop(slot);
                });
            }
            _ => counters.cancels_skipped.add_one(),
        }
    }
}
