//! The time for which an upstream has asked not to be called.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Until when an upstream has asked its owner not to call it.
#[derive(Debug, Default)]
pub(crate) struct UpstreamRest {
    end: Mutex<Option<Instant>>,
}

impl UpstreamRest {
    /// Records that the upstream asks for `length` of rest; never makes an earlier rest end sooner.
    pub(crate) fn record(&self, length: Duration) {
        let end = Instant::now() + length;
        let mut current = self.end.lock();
        *current = Some(current.map_or(end, |current| current.max(end)));
    }

    /// Forgets the rest, because the upstream has started anew.
    pub(crate) fn clear(&self) {
        *self.end.lock() = None;
    }

    /// How much of the rest remains; `None` if the upstream may be called.
    pub(crate) fn remaining(&self) -> Option<Duration> {
        let end = (*self.end.lock())?;
        Some(end.saturating_duration_since(Instant::now())).filter(|rest| !rest.is_zero())
    }
}
