//! A load that a plan weighs.

use wheel_types::{ModelName, MonotonicTime};

use crate::{ModelDemand, PlacementReason, RankDemand};

/// What a request that can't be answered in time any more counts, as a share of its worth: others
/// will follow it.
const LATE_SHARE: f64 = 0.2;
/// Waiting time that doubles the value of what waits, in seconds, so that cheap work gets its turn.
const AGING_S: f64 = 30.0;

/// How pressing a load is; the kinds are planned in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum LoadKind {
    /// Requests wait now.
    Demand,
    /// The text wants it.
    Text,
    /// The forecast wants it.
    Forecast,
}

/// A model that should get one more replica.
#[derive(Clone, Debug)]
pub(crate) struct LoadCandidate {
    /// The model.
    pub(crate) model: ModelName,
    /// How pressing it is.
    pub(crate) kind: LoadKind,
    /// What having it at once would be worth.
    pub(crate) value: f64,
    /// Value over the expected time of the load.
    pub(crate) value_rate: f64,
    /// Why.
    pub(crate) reason: PlacementReason,
}

/// Worth of what waits for a model that is ready at `ready` and then serves `slots` at once.
pub(crate) fn waiting_value(
    now: MonotonicTime,
    ready: MonotonicTime,
    demand: &ModelDemand,
    slots: u32,
    worth: impl Fn(&RankDemand) -> f64,
) -> f64 {
    let values = demand.waiting.iter().map(|rank| {
        let slack_s = rank.earliest_deadline.since(ready).as_secs_f64();
        let urgency = match rank.earliest_deadline {
            deadline if deadline < ready => LATE_SHARE,
            _ => 1.0 + 1.0 / (1.0 + slack_s),
        };
        let aging = 1.0 + now.since(rank.oldest_arrival).as_secs_f64() / AGING_S;
        worth(rank) * f64::from(rank.count.min(slots)) * urgency * aging
    });
    values.sum()
}
