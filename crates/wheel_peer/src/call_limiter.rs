//! Limits on the calls from other instances.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::PeerLimits;

/// Limits the calls in progress and the bytes of their bodies.
pub(crate) struct CallLimiter {
    calls: Arc<Semaphore>,
    bytes: Arc<Semaphore>,
    max_calls: u32,
}

/// A permit for one call, released on drop.
pub(crate) struct CallPermit {
    _call: OwnedSemaphorePermit,
    _bytes: OwnedSemaphorePermit,
}

impl CallLimiter {
    pub(crate) fn new(limits: &PeerLimits) -> Self {
        Self {
            calls: Arc::new(Semaphore::new(limits.max_handled as usize)),
            bytes: Arc::new(Semaphore::new(limits.max_handled_bytes as usize)),
            max_calls: limits.max_handled,
        }
    }

    /// Takes a permit for a call with a body of `bytes`; `None` if a limit is reached.
    pub(crate) fn acquire(&self, bytes: usize) -> Option<CallPermit> {
        let bytes = u32::try_from(bytes).ok()?;
        let call = self.calls.clone().try_acquire_owned().ok()?;
        let bytes = self.bytes.clone().try_acquire_many_owned(bytes).ok()?;
        Some(CallPermit { _call: call, _bytes: bytes })
    }

    /// Waits until no call is in progress.
    pub(crate) async fn wait_idle(&self) {
        let _all = self.calls.acquire_many(self.max_calls).await;
    }
}
