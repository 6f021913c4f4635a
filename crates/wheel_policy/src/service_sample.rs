//! What serving one request took.

use std::time::Duration;

/// Measured by whoever called the engine, and fed back to [`crate::EngineQueue::finish`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceSample {
    /// How long the request held its slot.
    pub slot_time: Duration,
    /// From the start in the slot to the first byte of the answer; `None` if none came.
    pub first_byte: Option<Duration>,
}
