//! Loads of a replay, from which the causes of waits are found.

use std::time::Duration;

use wheel_policy::CheckpointSource;
use wheel_types::{ModelName, MonotonicTime};

/// One load of a model, and the last events that it may have waited for.
#[derive(Clone, Debug)]
pub(crate) struct LoadRecord {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// The model.
    pub(crate) model: ModelName,
    /// Where the checkpoint was read from.
    pub(crate) source: CheckpointSource,
    /// The nearest source at any engine of the data centre when it began.
    pub(crate) nearest: CheckpointSource,
    /// When it began.
    pub(crate) begun: MonotonicTime,
    /// When it ended; `None` if its engine was lost.
    pub(crate) ended: Option<MonotonicTime>,
    /// Its duration at full speed.
    pub(crate) full_speed: Duration,
    /// When the engine last ended an unload.
    pub(crate) memory_freed_at: Option<MonotonicTime>,
    /// When the store last had a slot again after all were taken.
    pub(crate) slot_freed_at: Option<MonotonicTime>,
    /// When an earlier replica of the model was last unloaded in the data centre.
    pub(crate) unloaded_at: Option<MonotonicTime>,
    /// Requests that the forecast expected within its horizon.
    pub(crate) expected: f64,
}
