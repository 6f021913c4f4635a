//! What was seen on one connection.

use std::cell::Cell;

use tokio::time::Instant;

/// Bytes that either side may send before it is authenticated.
const GREETING_ALLOWANCE: usize = 16 << 10;

/// When a connection was last heard, and how much it may still say unauthenticated.
pub(crate) struct StreamGauge {
    last_received: Cell<Instant>,
    allowance: Cell<Option<usize>>,
}

impl StreamGauge {
    pub(crate) fn new() -> Self {
        Self {
            last_received: Cell::new(Instant::now()),
            allowance: Cell::new(Some(GREETING_ALLOWANCE)),
        }
    }

    pub(crate) fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Lifts the bound on received bytes.
    pub(crate) fn trust(&self) {
        self.allowance.set(None);
    }

    /// Notes received bytes; false if an unauthenticated side sent too many.
    pub(crate) fn receive(&self, bytes: usize) -> bool {
        self.last_received.set(Instant::now());
        let Some(allowance) = self.allowance.get() else { return true };
        self.allowance.set(Some(allowance.saturating_sub(bytes)));
        bytes <= allowance
    }
}
