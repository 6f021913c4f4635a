//! Settings of a data centre's director.

use std::time::{Duration, Instant};

use wheel_lease::LeaseSettings;
use wheel_policy::PlacementSettings;
use wheel_types::{CentreName, IncarnationId, InstanceName, MonotonicTime};

/// Settings of the lease and the placement in this process.
#[derive(Clone, Debug)]
pub struct DirectorSettings {
    /// This instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Its data centre.
    pub centre: CentreName,
    /// Timing of the lease; the same at all instances.
    pub lease: LeaseSettings,
    /// Origin of this process's [`MonotonicTime`].
    pub start: Instant,
    /// Settings of the placement planner.
    pub placement: PlacementSettings,
    /// Seed of this candidate's retry spread.
    pub seed: u64,
}

impl DirectorSettings {
    /// Time after sending from which an order can't reach its engine any more.
    pub fn order_life(&self) -> Duration {
        self.lease.order_life
    }

    /// The current time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::between(self.start, Instant::now())
    }
}
