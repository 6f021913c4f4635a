//! Monitoring of the bytes received on one connection.

use std::cell::Cell;

use tokio::time::Instant;

/// Bytes that a side may send before it is authenticated.
const MAX_UNAUTHENTICATED_BYTES: usize = 16 << 10;

/// Records when bytes were last received, and limits the bytes received before authentication.
pub(crate) struct StreamMonitor {
    last_received: Cell<Instant>,
    allowance: Cell<Option<usize>>,
}

impl StreamMonitor {
    pub(crate) fn new() -> Self {
        Self {
            last_received: Cell::new(Instant::now()),
            allowance: Cell::new(Some(MAX_UNAUTHENTICATED_BYTES)),
        }
    }

    pub(crate) fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Removes the limit on received bytes.
    pub(crate) fn remove_limit(&self) {
        self.allowance.set(None);
    }

    /// Records received bytes; false if an unauthenticated side sent too many.
    pub(crate) fn record_received(&self, bytes: usize) -> bool {
        self.last_received.set(Instant::now());
        let Some(allowance) = self.allowance.get() else { return true };
        self.allowance.set(Some(allowance.saturating_sub(bytes)));
        bytes <= allowance
    }
}
