//! Settings of a data centre's direction.

use std::time::{Duration, Instant};

use wheel_lease::LeaseSettings;
use wheel_policy::PlacementSettings;
use wheel_types::{CentreName, IncarnationId, InstanceName, MonotonicTime};

/// What the lease and the placement of a data centre need to know of this process.
#[derive(Clone, Debug)]
pub struct DirectorSettings {
    /// This instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Its data centre.
    pub centre: CentreName,
    /// Times of the lease; the same at all instances.
    pub lease: LeaseSettings,
    /// Where this process's [`MonotonicTime`] begins.
    pub start: Instant,
    /// What placement weighs with.
    pub placement: PlacementSettings,
    /// Seed of the candidates' spread.
    pub seed: u64,
}

impl DirectorSettings {
    /// Time for an order to die after it was sent.
    pub fn order_life(&self) -> Duration {
        self.lease.order_life
    }

    /// The present time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::between(self.start, Instant::now())
    }
}
