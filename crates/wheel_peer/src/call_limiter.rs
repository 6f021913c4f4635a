//! Limits on the calls from other instances.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{ConnectionClass, PeerLimits};

/// Limits the calls in progress and the bytes of their bodies, for members of a quorum apart from
/// everyone else.
pub(crate) struct CallLimiter {
    members: CallPool,
    others: CallPool,
}

/// The calls and bytes that are left.
struct CallPool {
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
            members: CallPool::new(limits.max_member_calls, limits.max_member_bytes),
            others: CallPool::new(limits.max_handled, limits.max_handled_bytes),
        }
    }

    /// Takes a permit for a call with a body of `bytes`; `None` if a limit is reached.
    pub(crate) fn acquire(&self, class: ConnectionClass, bytes: usize) -> Option<CallPermit> {
        let pool = match class {
            ConnectionClass::Member => &self.members,
            ConnectionClass::Guest | ConnectionClass::Entering => &self.others,
        };
        pool.acquire(bytes)
    }

    /// Waits until no call is in progress.
    pub(crate) async fn wait_idle(&self) {
        self.members.wait_idle().await;
        self.others.wait_idle().await;
    }
}

impl CallPool {
    fn new(max_calls: u32, max_bytes: u32) -> Self {
        Self {
            calls: Arc::new(Semaphore::new(max_calls as usize)),
            bytes: Arc::new(Semaphore::new(max_bytes as usize)),
            max_calls,
        }
    }

    fn acquire(&self, bytes: usize) -> Option<CallPermit> {
        let bytes = u32::try_from(bytes).ok()?;
        let call = self.calls.clone().try_acquire_owned().ok()?;
        let bytes = self.bytes.clone().try_acquire_many_owned(bytes).ok()?;
        Some(CallPermit { _call: call, _bytes: bytes })
    }

    async fn wait_idle(&self) {
        let _all = self.calls.acquire_many(self.max_calls).await;
    }
}
