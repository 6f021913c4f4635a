//! Bounds on the calls that other instances make.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::PeerLimits;

/// Counts the calls in hand and the bytes of their bodies.
pub(crate) struct CallLedger {
    calls: Arc<Semaphore>,
    bytes: Arc<Semaphore>,
    max_calls: u32,
}

/// Room for one call, given back when it is dropped.
pub(crate) struct HeldCall {
    _call: OwnedSemaphorePermit,
    _bytes: OwnedSemaphorePermit,
}

impl CallLedger {
    pub(crate) fn new(limits: &PeerLimits) -> Self {
        Self {
            calls: Arc::new(Semaphore::new(limits.max_handled as usize)),
            bytes: Arc::new(Semaphore::new(limits.max_held_bytes as usize)),
            max_calls: limits.max_handled,
        }
    }

    /// Takes room for a call with a body of `bytes`, unless there is none.
    pub(crate) fn hold(&self, bytes: usize) -> Option<HeldCall> {
        let bytes = u32::try_from(bytes).ok()?;
        let call = self.calls.clone().try_acquire_owned().ok()?;
        let bytes = self.bytes.clone().try_acquire_many_owned(bytes).ok()?;
        Some(HeldCall { _call: call, _bytes: bytes })
    }

    /// Waits until no call is in hand.
    pub(crate) async fn wait_idle(&self) {
        let _all = self.calls.acquire_many(self.max_calls).await;
    }
}
