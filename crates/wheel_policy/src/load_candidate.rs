//! A load that a placement plan considers.

use wheel_types::{ModelName, MonotonicTime};

use crate::{ModelDemand, PlacementReason, RankDemand};

/// Share of its worth that a request counts once it can't be answered in time: others will follow
/// it.
const LATE_SHARE: f64 = 0.2;
/// Waiting time that doubles the value of a request, in seconds, so that requests of low worth are
/// served eventually.
const AGING_S: f64 = 30.0;

/// What a load is for; the kinds are planned in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum LoadKind {
    /// Requests that wait now.
    Demand,
    /// Requirements of the manifest.
    Manifest,
    /// Requests that the forecast expects.
    Forecast,
}

/// A model that should get one more replica.
#[derive(Clone, Debug)]
pub(crate) struct LoadCandidate {
    /// The model.
    pub(crate) model: ModelName,
    /// What it is for.
    pub(crate) kind: LoadKind,
    /// Value of having the model loaded at once, in worth.
    pub(crate) value: f64,
    /// Value over the expected duration of the load, in worth per second.
    pub(crate) value_rate: f64,
    /// Why it is planned.
    pub(crate) reason: PlacementReason,
}

/// Value of the requests that wait for a model that is ready at `ready` and serves `slots` at once.
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
