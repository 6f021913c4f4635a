//! What a replica of a model is worth.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time over which gains and losses are counted, in seconds: about two loads from the store.
pub(crate) const HORIZON_S: f64 = 10.0;
/// Value of a further replica relative to the first while the others aren't overloaded: it only
/// shortens queues and covers the loss of an engine.
const SPARE_WORTH: f64 = 0.15;
/// Value of a further replica relative to the first while the others are overloaded.
const NEEDED_WORTH: f64 = 0.5;
/// Rate from which a model should have a second replica, in requests per second.
const SPARE_RATE: f64 = 0.5;
/// Value of a replica in a data centre that has none, relative to the first: a data centre that is
/// cut off keeps serving what it has loaded, and no request has to go to another data centre.
const SPREAD_WORTH: f64 = 0.05;
/// Rate from which a model should have a replica in each data centre, in requests per second.
pub(crate) const SPREAD_RATE: f64 = 1.0;

/// Bound on the expected growth of a model's requests: the start of a burst says little about its
/// height.
const MAX_GROWTH: f64 = 3.0;

/// Demand for one model and its replicas, from which the value of each replica follows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaValue {
    pub(crate) rate: f64,
    pub(crate) miss_rate: f64,
    pub(crate) waiting: u32,
    /// Rate of the last seconds.
    pub(crate) recent_rate: f64,
    /// Replicas that accept requests.
    pub(crate) usable: usize,
    /// Replicas that are loaded or that an order may still load.
    pub(crate) possible: usize,
    /// Replicas that the running requests need.
    pub(crate) needed: usize,
    /// Replicas that accept requests, by data centre.
    pub(crate) centres: BTreeMap<Arc<str>, usize>,
    /// Number of data centres without a replica, loaded or planned.
    pub(crate) uncovered_centres: usize,
}

impl ReplicaValue {
    /// How many times as many requests are expected as run now, by the rate of the last seconds.
    pub(crate) fn growth(&self) -> f64 {
        match self.rate > SPARE_RATE {
            true => (self.recent_rate / self.rate).clamp(1.0, MAX_GROWTH),
            false => 1.0,
        }
    }

    /// Gain of one more replica, in requests.
    pub(crate) fn gain(&self) -> f64 {
        let worth = self.miss_rate * HORIZON_S;
        match self.possible {
            0 => f64::from(self.waiting) + worth,
            replicas if replicas < self.needed => worth * NEEDED_WORTH / replicas as f64,
            1 if self.rate >= SPARE_RATE => worth * SPARE_WORTH,
            _ if self.wants_spread() => worth * SPREAD_WORTH,
            _ => 0.0,
        }
    }

    /// Whether a data centre without a replica should get one.
    pub(crate) fn wants_spread(&self) -> bool {
        self.uncovered_centres > 0 && self.rate >= SPREAD_RATE
    }

    /// Additional loss of unloading the only replica in a data centre, in requests.
    pub(crate) fn centre_loss(&self, centre: &str) -> f64 {
        match self.centres.get(centre) {
            Some(1) if self.rate >= SPREAD_RATE => self.rate * HORIZON_S * SPREAD_WORTH,
            _ => 0.0,
        }
    }

    /// Loss of unloading one replica, in requests.
    pub(crate) fn loss(&self) -> f64 {
        let worth = self.miss_rate * HORIZON_S;
        match self.usable {
            0 | 1 => f64::from(self.waiting) + worth,
            replicas if replicas <= self.needed => worth * NEEDED_WORTH / (replicas - 1) as f64,
            2 if self.rate >= SPARE_RATE => worth * SPARE_WORTH,
            replicas => worth * 0.02 / replicas as f64,
        }
    }
}
