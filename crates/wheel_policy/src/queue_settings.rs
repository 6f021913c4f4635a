//! Settings of one engine's queue.

use std::time::Duration;

use wheel_manifest::RankSpec;

/// Limits and shares of an [`crate::EngineQueue`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that the engine serves at once.
    pub slots: u32,
    /// Slots reserved for the most urgent rank, so that it doesn't wait behind long requests.
    pub urgent_slots: u32,
    /// KV cache of the engine, in tokens; 0 means no limit.
    pub kv_tokens: u64,
    /// Requests that may wait in each rank.
    pub rank_capacity: usize,
    /// Requests of one caller that may wait in each rank.
    pub caller_capacity: usize,
    /// Ranks, most urgent first, with their floors.
    pub ranks: Vec<RankSpec>,
    /// Expected time in a slot before the first measurement.
    pub initial_slot_time: Duration,
    /// Expected time to the first byte before the first measurement.
    pub initial_first_byte: Duration,
    /// Seed of the jitter in `retry_after`.
    pub seed: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            urgent_slots: 0,
            kv_tokens: 0,
            rank_capacity: 1_024,
            caller_capacity: 256,
            ranks: Vec::new(),
            initial_slot_time: Duration::from_secs(2),
            initial_first_byte: Duration::from_millis(500),
            seed: 0,
        }
    }
}

impl QueueSettings {
    /// Sets the number of slots.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the ranks.
    pub fn with_ranks(mut self, ranks: Vec<RankSpec>) -> Self {
        self.ranks = ranks;
        self
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
