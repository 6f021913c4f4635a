//! Cancels requests whose answer is no longer read.

use std::sync::Arc;

use tokio::runtime::Handle;
use wheel_types::RequestId;

use crate::engine_client::EngineCore;
use crate::{AttemptId, CallFailure, FailureKind, SentState};

/// Cancels its request at the engine when it is dropped, unless the request has ended.
///
/// Best effort: when the limit of concurrent cancels for one engine is reached, further ones are
/// skipped, since the closed connection also tells the engine.
pub(crate) struct CancelGuard {
    core: Arc<EngineCore>,
    request: RequestId,
    attempt: AttemptId,
    armed: bool,
}

impl CancelGuard {
    /// Guards `request`.
    pub(crate) fn new(core: Arc<EngineCore>, request: RequestId, attempt: AttemptId) -> Self {
        Self { core, request, attempt, armed: true }
    }

    /// Marks the request as ended; it isn't cancelled on drop.
    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }

    /// Records that the request failed. One that was never sent or that the engine refused isn't
    /// cancelled.
    pub(crate) fn record_failure(&mut self, failure: &CallFailure) {
        let refused = matches!(failure.kind, FailureKind::Refused { .. });
        if refused || failure.sent == SentState::NotSent {
            self.disarm();
        }
    }

    /// The client that sent the request.
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
                    // If the cancel is lost, the engine ends the request by itself.
                    let _ = core.cancel(&request, Some(attempt)).await;
                    drop(slot);
                });
            }
            _ => counters.cancels_skipped.add_one(),
        }
    }
}
