//! What this instance measured at engines, and what it sent them.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;
use wheel_policy::{PrefixTable, SendStart, SpeedTally};
use wheel_types::MonotonicTime;

use crate::FleetState;

/// The measurements between two syncs, and the beginnings of prompts that engines probably hold.
///
/// Times are those of the monotonic clock, which stands still while the instance is frozen, so that
/// engines don't seem to have been silent meanwhile.
pub(crate) struct EngineMeasures {
    pub(crate) speeds: Mutex<SpeedTally>,
    pub(crate) prefixes: Mutex<PrefixTable>,
    start: Instant,
}

impl Default for EngineMeasures {
    fn default() -> Self {
        Self { speeds: Mutex::default(), prefixes: Mutex::default(), start: Instant::now() }
    }
}

impl EngineMeasures {
    /// The time for the measurements.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + self.start.elapsed()
    }
}

/// Measures one send until it is dropped.
pub(crate) struct SendMeter {
    state: Arc<FleetState>,
    key: u64,
}

impl SendMeter {
    /// Starts measuring.
    pub(crate) fn begin(state: &Arc<FleetState>, start: SendStart) -> Self {
        let measures = &state.measures;
        let key = measures.speeds.lock().begin(measures.now(), start);
        Self { state: Arc::clone(state), key }
    }

    /// Records that a further event is awaited.
    pub(crate) fn begin_read(&self) {
        let measures = &self.state.measures;
        measures.speeds.lock().begin_read(measures.now(), self.key);
    }

    /// Records events; for an answer that isn't a stream, its head counts as one.
    pub(crate) fn record_events(&self, events: u32) {
        let measures = &self.state.measures;
        measures.speeds.lock().record_events(measures.now(), self.key, events);
    }

    /// Forgets the send, since its answer tells nothing about the upstream's speed.
    pub(crate) fn discard(&self) {
        self.state.measures.speeds.lock().discard(self.key);
    }
}

impl Drop for SendMeter {
    fn drop(&mut self) {
        let measures = &self.state.measures;
        measures.speeds.lock().end(measures.now(), self.key);
    }
}
