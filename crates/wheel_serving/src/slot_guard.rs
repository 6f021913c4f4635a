//! A slot in use.

use std::sync::Arc;
use std::time::Instant;

use wheel_policy::SlotSample;
use wheel_types::RequestId;

use crate::SlotQueue;

/// Holds one slot of an upstream; dropping it frees the slot.
#[derive(Debug)]
pub struct SlotGuard {
    queue: Arc<SlotQueue>,
    id: RequestId,
    started: Instant,
    first_byte: Option<Instant>,
}

impl SlotGuard {
    pub(crate) fn new(queue: Arc<SlotQueue>, id: RequestId) -> Self {
        Self { queue, id, started: Instant::now(), first_byte: None }
    }

    /// Records the arrival of the answer's first byte.
    pub fn record_first_byte(&mut self) {
        self.first_byte.get_or_insert_with(Instant::now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let sample = SlotSample {
            slot_time: self.started.elapsed(),
            first_byte: self.first_byte.map(|first| first - self.started),
        };
        self.queue.release(&self.id, sample);
        self.queue.grant_slots();
    }
}
