//! This data centre's share of the weight store.

use std::time::{Duration, SystemTime};

use wheel_manifest::{CentreSpec, StoreLimits};
use wheel_types::{CentreName, MonotonicTime};

/// Time over which unused load starts accumulate.
const MAX_SAVED: Duration = Duration::from_secs(2);
/// Length of a time slot as a multiple of the longest load. Loads may begin in the first
/// `1 / SLOT_LOADS` of a slot only.
const SLOT_LOADS: u32 = 4;
/// The shortest time slot.
const MIN_SLOT: Duration = Duration::from_secs(4);

/// Limits the loads from the store to this data centre's fixed share. The share is safe under any
/// network partition: the shares of all data centres never add up to more than the store can serve.
#[derive(Clone, Debug)]
pub struct StoreRateLimiter {
    share: StoreShare,
    /// Load starts that may be used now; unused ones accumulate over [`MAX_SAVED`].
    saved_starts: f64,
    updated: MonotonicTime,
}

/// The share of one data centre in the store's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreShare {
    /// Loads in flight.
    pub loads: u32,
    /// Loads that may begin per second.
    pub rate: f64,
    /// Adapter loads in flight.
    pub adapter_loads: u32,
    /// When loads may begin, if there are more data centres than loads at full speed.
    pub time_slot: Option<TimeSlot>,
}

/// Rotating time slots of the store by the wall clock, for data centres that may be partitioned.
///
/// The loads of all data centres stay within what the store serves at full speed as long as a load
/// takes less than three quarters of a slot and the clocks differ by less than the rest of these
/// three quarters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeSlot {
    /// Length of a slot.
    pub length: Duration,
    /// Number of slots in one cycle.
    pub count: u32,
    /// Index of this data centre's slot in the cycle.
    pub own_index: u32,
}

impl TimeSlot {
    /// Whether a load may begin at `since`, the time since 1970.
    pub fn is_open(&self, since: Duration) -> bool {
        let length = self.length.as_millis().max(1);
        let index = since.as_millis() / length % u128::from(self.count.max(1));
        let elapsed = since.as_millis() % length;
        index == u128::from(self.own_index) && elapsed * u128::from(SLOT_LOADS) < length
    }
}

impl StoreShare {
    /// Splits `limits` evenly among `centres`; the remainder goes to the first ones. If there are
    /// fewer loads than data centres, each has one load, in its time slot. `longest_load` is the
    /// longest load time of the manifest's models.
    pub fn of(
        centre: &CentreName,
        centres: &[CentreSpec],
        limits: &StoreLimits,
        longest_load: Duration,
    ) -> Self {
        let count = u32::try_from(centres.len()).unwrap_or(u32::MAX).max(1);
        let position = centres.iter().position(|spec| &spec.name == centre);
        let Some(position) = position else { return Self::default() };
        let split = |total: u32| total / count + u32::from((position as u32) < total % count);
        let full_speed_loads = limits.full_speed_loads.max(1);
        let time_slot = (full_speed_loads < count).then(|| TimeSlot {
            length: (longest_load * SLOT_LOADS).max(MIN_SLOT),
            count: count.div_ceil(full_speed_loads),
            own_index: position as u32 / full_speed_loads,
        });
        Self {
            loads: time_slot.map_or_else(|| split(limits.full_speed_loads), |_| 1),
            time_slot,
            rate: limits.loads_per_second / f64::from(count),
            adapter_loads: split(limits.adapter_loads),
        }
    }
}

impl StoreRateLimiter {
    /// Starts with a saved start for one load.
    pub fn new(now: MonotonicTime) -> Self {
        Self { share: StoreShare::default(), saved_starts: 1.0, updated: now }
    }

    /// Sets the share that follows from a manifest.
    pub fn set_share(&mut self, share: StoreShare) {
        self.share = share;
    }

    /// The share.
    pub fn share(&self) -> StoreShare {
        self.share
    }

    /// Loads that may begin now; `clock` is the wall clock, which determines the time slot.
    pub fn available_starts(&mut self, now: MonotonicTime, clock: SystemTime) -> u32 {
        let earned = now.since(self.updated).as_secs_f64() * self.share.rate;
        let limit = (self.share.rate * MAX_SAVED.as_secs_f64()).max(1.0);
        self.saved_starts = (self.saved_starts + earned).min(limit);
        self.updated = now;
        let since = clock.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        match self.share.time_slot {
            Some(time_slot) if !time_slot.is_open(since) => 0,
            _ => self.saved_starts.max(0.0) as u32,
        }
    }

    /// Counts a load that began.
    pub fn take(&mut self) {
        self.saved_starts -= 1.0;
    }
}
