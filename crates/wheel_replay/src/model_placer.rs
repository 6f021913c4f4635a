//! Common interface of the replayed placement policies.

use std::time::Duration;

use wheel_policy::{CheckpointSource, DemandView, FleetView, PlacementPlanner, PlacementStep};
use wheel_types::{ModelName, MonotonicTime};

/// Places models in one data centre.
pub trait ModelPlacer {
    /// Plans the next placement steps.
    fn plan(
        &mut self,
        now: MonotonicTime,
        fleet: &FleetView,
        demand: &DemandView,
    ) -> Vec<PlacementStep>;

    /// Records the duration of a completed load.
    fn observe_load(&mut self, model: &ModelName, source: CheckpointSource, taken: Duration);

    /// Expected duration of a load.
    fn expected_load(&self, model: &ModelName, source: CheckpointSource) -> Duration;
}

impl ModelPlacer for PlacementPlanner {
    fn plan(
        &mut self,
        now: MonotonicTime,
        fleet: &FleetView,
        demand: &DemandView,
    ) -> Vec<PlacementStep> {
        Self::plan(self, now, fleet, demand)
    }

    fn observe_load(&mut self, model: &ModelName, source: CheckpointSource, taken: Duration) {
        Self::observe_load(self, model, source, taken);
    }

    fn expected_load(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        Self::expected_load(self, model, source)
    }
}
