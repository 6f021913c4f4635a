//! How often each model and adapter is asked for.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_route::{DemandCount, DemandKey};
use wheel_types::MonotonicTime;

/// Time constant of the averages. Long enough that a model which is asked for every quarter of a minute
/// isn't forgotten between two requests, short enough that a burst shows within one load.
const MEMORY: Duration = Duration::from_secs(15);
/// Averages below this, in requests a second, are forgotten: nothing came for five time constants.
const MIN_RATE: f64 = 0.000_5;

/// How much something is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandLevel {
    /// Requests a second.
    pub rate: f64,
    /// The part of the rate that is lost where a model has to be loaded first, in requests a second.
    pub miss_rate: f64,
    /// Requests that wait for it right now.
    pub waiting: u32,
}

/// Averages of arrivals that fade with time, and what waits right now.
///
/// Its tables hold what was asked for within about five time constants.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    rates: BTreeMap<DemandKey, FadingRate>,
    /// What waits, by the instance that told it and what it waits for.
    waiting: BTreeMap<String, BTreeMap<DemandKey, u32>>,
}

#[derive(Clone, Copy, Debug)]
struct FadingRate {
    per_s: f64,
    missed_per_s: f64,
    at: MonotonicTime,
}

impl FadingRate {
    /// What is left of the averages at `now`.
    fn faded(&self, now: MonotonicTime) -> Self {
        let left = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Self { per_s: self.per_s * left, missed_per_s: self.missed_per_s * left, at: now }
    }
}

impl DemandBook {
    /// Takes over what an instance tells: arrivals since its last report, and what waits there now.
    pub fn note(&mut self, now: MonotonicTime, instance: &str, counts: &[DemandCount]) {
        for count in counts.iter().filter(|count| count.arrived > 0) {
            let empty = FadingRate { per_s: 0.0, missed_per_s: 0.0, at: now };
            let rate = self.rates.entry(count.key.clone()).or_insert(empty);
            *rate = rate.faded(now);
            rate.per_s += f64::from(count.arrived) / MEMORY.as_secs_f64();
            rate.missed_per_s += count.worth / MEMORY.as_secs_f64();
        }
        let waits = counts.iter().filter(|count| count.waiting > 0);
        let waits = waits.map(|count| (count.key.clone(), count.waiting)).collect();
        self.waiting.insert(instance.to_owned(), waits);
    }

    /// Forgets what an instance that has gone waited for.
    pub fn forget_instance(&mut self, instance: &str) {
        self.waiting.remove(instance);
    }

    /// Forgets what nobody asks for any more.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.rates.retain(|_, rate| rate.faded(now).per_s >= MIN_RATE);
    }

    /// All keys with what is asked of each.
    pub fn levels(&self, now: MonotonicTime) -> BTreeMap<DemandKey, DemandLevel> {
        let level = |rate: &FadingRate| {
            let faded = rate.faded(now);
            DemandLevel { rate: faded.per_s, miss_rate: faded.missed_per_s, waiting: 0 }
        };
        let mut levels: BTreeMap<DemandKey, DemandLevel> =
            self.rates.iter().map(|(key, rate)| (key.clone(), level(rate))).collect();
        for (key, count) in self.waiting.values().flatten() {
            levels.entry(key.clone()).or_default().waiting += count;
        }
        levels
    }
}
