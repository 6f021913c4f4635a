//! Costs and times that placement decides by.

use std::time::Duration;

/// Settings of a [`crate::PlacementPlanner`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Duration of a load from host memory, as a fraction of one from the store.
    pub memory_share: f64,
    /// Duration of a load from the engine's disk, as a fraction of one from the store.
    pub disk_share: f64,
    /// Minimum time that a model stays once it is loaded.
    pub min_residence: Duration,
    /// How long a drained replica waits for requests that are on their way to it.
    pub drain_grace: Duration,
    /// How long memory stays reserved for a load that can't start yet.
    pub reservation_timeout: Duration,
    /// Cost of an idle accelerator, in worth per second. A caller of worth 1 that waits one second
    /// for a load costs 1.
    pub idle_cost: f64,
    /// The wait whose cost equals its length; the cost grows with the square of the wait.
    pub reference_wait: Duration,
    /// Fixed cost of a load for a forecast, in worth.
    pub forecast_load_cost: f64,
    /// How long an engine is expected to stay in use for a forecast: the time over which the cost
    /// of putting an empty engine to use is counted.
    pub forecast_horizon: Duration,
    /// How long an engine is expected to stay in use for requests that wait now.
    pub demand_horizon: Duration,
    /// Factor by which the gain of a forecast load must exceed its cost.
    pub forecast_margin: f64,
    /// Waiting requests per slot, at all engines of a model, from which it needs one more replica.
    pub queue_per_slot: f64,
    /// Maximum number of steps in one plan.
    pub max_steps: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            memory_share: 0.1,
            disk_share: 0.35,
            min_residence: Duration::from_secs(90),
            drain_grace: Duration::from_millis(200),
            reservation_timeout: Duration::from_secs(30),
            idle_cost: 0.2,
            reference_wait: Duration::from_secs(2),
            forecast_load_cost: 0.5,
            forecast_horizon: Duration::from_secs(600),
            demand_horizon: Duration::from_secs(10),
            forecast_margin: 2.0,
            queue_per_slot: 1.0,
            max_steps: 64,
        }
    }
}
