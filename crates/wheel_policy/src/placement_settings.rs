//! Prices and spans that placement weighs with.

use std::time::Duration;

/// Settings of a [`crate::PlacementPlanner`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Time of a load from host memory, as a share of one from the store.
    pub memory_share: f64,
    /// Time of a load from the engine's disk, as a share of one from the store.
    pub disk_share: f64,
    /// How long a model stays at least once it is loaded.
    pub min_residence: Duration,
    /// How long a drained replica waits for requests that are on their way to it.
    pub drain_grace: Duration,
    /// How long memory is kept for a load whose place isn't free yet.
    pub promise_span: Duration,
    /// What an idle accelerator costs, in worth for each second. A caller of worth 1 who waits one
    /// second for a load costs 1.
    pub idle_price: f64,
    /// The wait at which a second costs a caller one second; longer waits cost more for each.
    pub fair_wait: Duration,
    /// What a load for a forecast costs by itself, in worth.
    pub load_price: f64,
    /// Time for which a forecast looks ahead: what opening an engine for it is weighed with.
    pub open_span: Duration,
    /// How long an engine is expected to stay open for requests that wait now.
    pub demand_span: Duration,
    /// How much more a forecast load must gain than it costs.
    pub forecast_margin: f64,
    /// Requests waiting for each slot of the loaded replicas that ask for one more.
    pub queue_per_slot: f64,
    /// Steps that one plan takes at most.
    pub max_steps: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            memory_share: 0.1,
            disk_share: 0.35,
            min_residence: Duration::from_secs(90),
            drain_grace: Duration::from_millis(200),
            promise_span: Duration::from_secs(30),
            idle_price: 0.2,
            fair_wait: Duration::from_secs(2),
            load_price: 0.5,
            open_span: Duration::from_secs(600),
            demand_span: Duration::from_secs(10),
            forecast_margin: 2.0,
            queue_per_slot: 1.0,
            max_steps: 64,
        }
    }
}
