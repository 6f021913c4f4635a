//! The time at which bytes of an answer arrived last.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

/// When bytes of one answer arrived last; clones share it.
///
/// It stays readable while the body is being read, so that another task can tell a silent upstream
/// from one that sends.
#[derive(Clone, Debug)]
pub struct ArrivalClock {
    last: Arc<Mutex<Instant>>,
}

impl ArrivalClock {
    /// Starts with the arrival of the answer's head.
    pub(crate) fn start() -> Self {
        Self { last: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Records that bytes arrived.
    pub(crate) fn record(&self) {
        *self.last.lock() = Instant::now();
    }

    /// When bytes arrived last.
    pub fn last(&self) -> Instant {
        *self.last.lock()
    }
}
