//! What a copy of a model is worth.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time over which demand is weighed against what is lost: about two loads from the store.
pub(crate) const HORIZON_S: f64 = 10.0;
/// What a further replica of a model is worth where the others aren't over full, against the first: it
/// only shortens queues and covers a lost engine.
const SPARE_WORTH: f64 = 0.15;
/// What a further replica is worth where the others are over full.
const NEEDED_WORTH: f64 = 0.5;
/// Rate from which a model should have a second replica, in requests a second.
const SPARE_RATE: f64 = 0.5;
/// What a copy in a data centre that has none is worth, against the first: a data centre that is cut off goes
/// on with what it holds, and no request has to leave its own.
const SPREAD_WORTH: f64 = 0.05;
/// Rate from which a model should have a copy in each data centre, in requests a second.
pub(crate) const SPREAD_RATE: f64 = 1.0;

/// Demand for one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelDemand {
    pub(crate) rate: f64,
    pub(crate) miss_rate: f64,
    pub(crate) waiting: u32,
    /// Copies that requests may be sent to.
    pub(crate) usable: usize,
    /// Copies that are there or come.
    pub(crate) possible: usize,
    /// Copies that the rate asks for.
    pub(crate) needed: usize,
    /// Copies that requests may be sent to, by data centre.
    pub(crate) centres: BTreeMap<Arc<str>, usize>,
    /// Data centres without a copy, there or on its way.
    pub(crate) bare_centres: usize,
}

impl ModelDemand {
    /// What one more copy gains.
    pub(crate) fn gain(&self) -> f64 {
        let worth = self.miss_rate * HORIZON_S;
        match self.possible {
            0 => f64::from(self.waiting) + worth,
            copies if copies < self.needed => worth * NEEDED_WORTH / copies as f64,
            1 if self.rate >= SPARE_RATE => worth * SPARE_WORTH,
            _ if self.wants_spread() => worth * SPREAD_WORTH,
            _ => 0.0,
        }
    }

    /// Whether a data centre without a copy should get one.
    pub(crate) fn wants_spread(&self) -> bool {
        self.bare_centres > 0 && self.rate >= SPREAD_RATE
    }

    /// What the loss of the only copy in a data centre costs beside the loss of a copy.
    pub(crate) fn centre_loss(&self, centre: &str) -> f64 {
        match self.centres.get(centre) {
            Some(1) if self.rate >= SPREAD_RATE => self.rate * HORIZON_S * SPREAD_WORTH,
            _ => 0.0,
        }
    }

    /// What the loss of one of its copies costs.
    pub(crate) fn loss(&self) -> f64 {
        let worth = self.miss_rate * HORIZON_S;
        match self.usable {
            0 | 1 => f64::from(self.waiting) + worth,
            copies if copies <= self.needed => worth * NEEDED_WORTH / (copies - 1) as f64,
            2 if self.rate >= SPARE_RATE => worth * SPARE_WORTH,
            copies => worth * 0.02 / copies as f64,
        }
    }
}
