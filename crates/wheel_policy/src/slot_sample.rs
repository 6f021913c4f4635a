//! Measured times of one served request.

use std::time::Duration;

/// Times measured by the caller of the engine, passed to [`crate::EngineQueue::finish`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotSample {
    /// How long the request held its slot.
    pub slot_time: Duration,
    /// Time from the start in the slot to the first byte of the answer; `None` if there was none.
    pub first_byte: Option<Duration>,
}
