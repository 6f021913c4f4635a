//! State of one rank of an engine's queue.

use std::time::Duration;

use crate::moving_average::MovingAverage;
use crate::rank_credit::RankCredit;
use crate::rank_queue::RankQueue;

/// Weight of a new sample in the average cost factor.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time over which arriving work is averaged.
pub(crate) const ARRIVAL_SPAN: Duration = Duration::from_secs(5);
/// Weight of a new sample in the decaying maximum.
const DECAY_WEIGHT: f64 = 0.005;

/// One rank's waiting requests, floor and load.
#[derive(Clone, Debug)]
pub(crate) struct RankState {
    /// Waiting requests.
    pub(crate) queue: RankQueue,
    /// Credit towards the rank's floor.
    pub(crate) credit: RankCredit,
    /// Number of requests that hold a slot.
    pub(crate) running: u32,
    /// Expected slot time of recent arrivals, decaying with `ARRIVAL_SPAN`.
    pub(crate) arriving_s: f64,
    /// Ratio of measured to expected slot time.
    pub(crate) cost_factor: MovingAverage,
    /// Decaying maximum of the time to the first byte, so that accepted deadlines are met.
    first_byte_s: f64,
}

impl RankState {
    /// An empty rank without a floor; [`crate::EngineQueue`] sets it.
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

    /// Time to the first byte to expect.
    pub(crate) fn first_byte(&self) -> Duration {
        Duration::from_secs_f64(self.first_byte_s)
    }

    /// Adds a measured time to the first byte, in seconds.
    pub(crate) fn record_first_byte(&mut self, sample_s: f64) {
        let decayed_s = self.first_byte_s + DECAY_WEIGHT * (sample_s - self.first_byte_s);
        self.first_byte_s = decayed_s.max(sample_s);
    }

    /// Slot time that the expected `work` really takes, in seconds, as measured so far.
    pub(crate) fn slot_seconds(&self, work: Duration) -> f64 {
        work.as_secs_f64() * self.cost_factor.value()
    }

    /// Slots that the rank's arrivals keep busy.
    pub(crate) fn arriving_slots(&self) -> f64 {
        self.arriving_s * self.cost_factor.value() / ARRIVAL_SPAN.as_secs_f64()
    }
}
