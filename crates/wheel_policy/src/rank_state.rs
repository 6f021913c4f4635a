//! One rank of an engine's queue.

use std::time::Duration;

use crate::moving_average::MovingAverage;
use crate::rank_credit::RankCredit;
use crate::rank_queue::RankQueue;

/// Weight of a new sample in the measured cost of requests.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time over which arriving work is averaged.
pub(crate) const ARRIVAL_SPAN: Duration = Duration::from_secs(5);
/// Weight of a new sample in a maximum that fades.
const FADE_WEIGHT: f64 = 0.005;

/// One rank's waiting requests, floor and load.
#[derive(Clone, Debug)]
pub(crate) struct RankState {
    /// Requests that wait.
    pub(crate) queue: RankQueue,
    /// The floor.
    pub(crate) credit: RankCredit,
    /// Requests that hold a slot.
    pub(crate) running: u32,
    /// Expected slot time that came in the last seconds, fading.
    pub(crate) arriving_s: f64,
    /// Measured over expected slot time.
    pub(crate) cost_factor: MovingAverage,
    /// The longest times to the first byte of late, so that what is promised holds.
    first_byte_s: f64,
}

impl RankState {
    /// An empty rank; the owner sets its floor.
    pub(crate) fn new(first_byte: Duration) -> Self {
        Self {
            first_byte_s: first_byte.as_secs_f64(),
            queue: RankQueue::default(),
            credit: RankCredit::default(),
            running: 0,
            arriving_s: 0.0,
            cost_factor: MovingAverage::new(1.0, SAMPLE_WEIGHT),
        }
    }

    /// Time to the first byte to count with.
    pub(crate) fn first_byte(&self) -> Duration {
        Duration::from_secs_f64(self.first_byte_s)
    }

    /// Follows the longest times of late.
    pub(crate) fn learn_first_byte(&mut self, sample_s: f64) {
        let faded_s = self.first_byte_s + FADE_WEIGHT * (sample_s - self.first_byte_s);
        self.first_byte_s = faded_s.max(sample_s);
    }

    /// Slot time that expected `work` really takes, in seconds.
    pub(crate) fn slot_seconds(&self, work: Duration) -> f64 {
        work.as_secs_f64() * self.cost_factor.value()
    }

    /// Slots that the rank's arrivals keep busy.
    pub(crate) fn arriving_slots(&self) -> f64 {
        self.arriving_s * self.cost_factor.value() / ARRIVAL_SPAN.as_secs_f64()
    }
}
