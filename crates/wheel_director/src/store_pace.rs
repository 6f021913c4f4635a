//! This data centre's share of the weight store.

use std::time::Duration;

use wheel_text::{CentreSpec, StoreLimits};
use wheel_types::{CentreName, MonotonicTime};

/// Starts that may be saved up while the store isn't used, as a span of the rate.
const MAX_SAVED: Duration = Duration::from_secs(2);

/// The fixed share that is safe however the data centres are cut off from each other: the shares of
/// all of them never add up to more than the store carries.
#[derive(Clone, Debug)]
pub(crate) struct StorePace {
    share: StoreShare,
    starts: f64,
    updated: MonotonicTime,
}

/// What one data centre may draw from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct StoreShare {
    /// Loads in flight.
    pub(crate) loads: u32,
    /// Loads that may begin each second.
    pub(crate) rate: f64,
    /// Adapter loads in flight.
    pub(crate) adapter_loads: u32,
}

impl StoreShare {
    /// Splits `limits` evenly among `centres`; what is left over goes to the first ones.
    pub(crate) fn of(centre: &CentreName, centres: &[CentreSpec], limits: &StoreLimits) -> Self {
        let count = u32::try_from(centres.len()).unwrap_or(u32::MAX).max(1);
        let position = centres.iter().position(|spec| &spec.name == centre);
        let Some(position) = position else { return Self::default() };
        let split = |total: u32| total / count + u32::from((position as u32) < total % count);
        Self {
            loads: split(limits.full_speed_loads),
            rate: limits.loads_per_second / f64::from(count),
            adapter_loads: split(limits.adapter_loads),
        }
    }
}

impl StorePace {
    /// Starts with nothing saved up but one load.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { share: StoreShare::default(), starts: 1.0, updated: now }
    }

    /// Takes over the share of a text.
    pub(crate) fn set_share(&mut self, share: StoreShare) {
        self.share = share;
    }

    /// The share.
    pub(crate) fn share(&self) -> StoreShare {
        self.share
    }

    /// Loads that may begin now.
    pub(crate) fn starts(&mut self, now: MonotonicTime) -> u32 {
        let earned = now.since(self.updated).as_secs_f64() * self.share.rate;
        let most = (self.share.rate * MAX_SAVED.as_secs_f64()).max(1.0);
        self.starts = (self.starts + earned).min(most);
        self.updated = now;
        self.starts as u32
    }

    /// Counts a load that began.
    pub(crate) fn take(&mut self) {
        self.starts -= 1.0;
    }
}
