//! This data centre's share of the weight store.

use std::time::{Duration, SystemTime};

use wheel_manifest::{CentreSpec, StoreLimits};
use wheel_types::{CentreName, MonotonicTime};

/// Starts that may be saved up while the store isn't used, as a span of the rate.
const MAX_SAVED: Duration = Duration::from_secs(2);
/// Turns are this many times longer than the longest load, which may begin in the first part only.
const TURN_LOADS: u32 = 4;
/// The shortest turn.
const MIN_TURN: Duration = Duration::from_secs(4);

/// The fixed share that is safe however the data centres are cut off from each other: the shares of
/// all of them never add up to more than the store carries.
#[derive(Clone, Debug)]
pub struct StorePace {
    share: StoreShare,
    starts: f64,
    updated: MonotonicTime,
}

/// What one data centre may draw from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreShare {
    /// Loads in flight.
    pub loads: u32,
    /// Loads that may begin each second.
    pub rate: f64,
    /// Adapter loads in flight.
    pub adapter_loads: u32,
    /// When loads may begin, where there are more data centres than loads at full speed.
    pub turn: Option<StoreTurn>,
}

/// Turns at the store by the clock, for data centres that may be cut off from each other.
///
/// The loads of all of them stay within what the store carries at full speed as long as a load takes
/// less than three quarters of a turn and the clocks differ by less than what is left of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreTurn {
    /// Length of a turn.
    pub length: Duration,
    /// Turns until the first comes again.
    pub count: u32,
    /// The own turn.
    pub own: u32,
}

impl StoreTurn {
    /// Whether a load may begin at a time since 1970.
    pub fn is_open(&self, since: Duration) -> bool {
        let length = self.length.as_millis().max(1);
        let turn = since.as_millis() / length % u128::from(self.count.max(1));
        let begun = since.as_millis() % length;
        turn == u128::from(self.own) && begun * u128::from(TURN_LOADS) < length
    }
}

impl StoreShare {
    /// Splits `limits` evenly among `centres`; what is left over goes to the first ones. Where there
    /// are fewer loads than data centres, each has one load, in its turn; `longest_load` is that of
    /// the text's models.
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
        let at_once = limits.full_speed_loads.max(1);
        let turn = (at_once < count).then(|| StoreTurn {
            length: (longest_load * TURN_LOADS).max(MIN_TURN),
            count: count.div_ceil(at_once),
            own: position as u32 / at_once,
        });
        Self {
            loads: turn.map_or_else(|| split(limits.full_speed_loads), |_| 1),
            turn,
            rate: limits.loads_per_second / f64::from(count),
            adapter_loads: split(limits.adapter_loads),
        }
    }
}

impl StorePace {
    /// Starts with nothing saved up but one load.
    pub fn new(now: MonotonicTime) -> Self {
        Self { share: StoreShare::default(), starts: 1.0, updated: now }
    }

    /// Takes over the share of a text.
    pub fn set_share(&mut self, share: StoreShare) {
        self.share = share;
    }

    /// The share.
    pub fn share(&self) -> StoreShare {
        self.share
    }

    /// Loads that may begin now; the turns go by the wall clock.
    pub fn starts(&mut self, now: MonotonicTime, clock: SystemTime) -> u32 {
        let earned = now.since(self.updated).as_secs_f64() * self.share.rate;
        let most = (self.share.rate * MAX_SAVED.as_secs_f64()).max(1.0);
        self.starts = (self.starts + earned).min(most);
        self.updated = now;
        let since = clock.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        match self.share.turn {
            Some(turn) if !turn.is_open(since) => 0,
            _ => self.starts.max(0.0) as u32,
        }
    }

    /// Counts a load that began.
    pub fn take(&mut self) {
        self.starts -= 1.0;
    }
}
