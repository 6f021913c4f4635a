//! Estimates how often each model and adapter is requested.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_route::{DemandCount, DemandKey};
use wheel_types::MonotonicTime;

/// Time constant of the averages. Long enough that a model requested every quarter of a minute
/// isn't forgotten between two requests, short enough that a burst shows within the duration of one
/// load.
const TIME_CONSTANT: Duration = Duration::from_secs(15);
/// Time constant of the recent rate: demand moves to other models within seconds, and a load from a
/// disk takes one or two.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Ratio of the time constants.
const TIME_RATIO: f64 = RECENT_TIME_CONSTANT.as_millis() as f64 / TIME_CONSTANT.as_millis() as f64;
/// Rate below which an average is dropped, in requests per second: nothing came for about five time
/// constants.
const MIN_RATE: f64 = 0.000_5;

/// Demand for one model or adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandLevel {
    /// Requests per second.
    pub rate: f64,
    /// The part of the rate that would be lost if the model had to be loaded first, in requests per
    /// second.
    pub miss_rate: f64,
    /// Requests that wait for it now.
    pub waiting: u32,
    /// The rate of the last seconds, in requests per second.
    pub recent_rate: f64,
}

/// Exponentially decaying averages of arrivals, and the requests that wait now.
///
/// Its tables hold what was requested within about five time constants.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    rates: BTreeMap<DemandKey, DecayingRate>,
    /// Waiting requests, by the instance that reported them and by what they wait for.
    waiting: BTreeMap<String, BTreeMap<DemandKey, u32>>,
    /// Since when arrivals are recorded without a gap, and the last record.
    recorded: Option<[MonotonicTime; 2]>,
}

#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    per_s: f64,
    missed_per_s: f64,
    recent_per_s: f64,
    at: MonotonicTime,
}

impl DecayingRate {
    /// The averages decayed to `now`.
    fn decayed(&self, now: MonotonicTime) -> Self {
        let since_s = now.since(self.at).as_secs_f64();
        let left = (-since_s / TIME_CONSTANT.as_secs_f64()).exp();
        let recent_left = (-since_s / RECENT_TIME_CONSTANT.as_secs_f64()).exp();
        Self {
            per_s: self.per_s * left,
            missed_per_s: self.missed_per_s * left,
            recent_per_s: self.recent_per_s * recent_left,
            at: now,
        }
    }
}

impl DemandEstimator {
    /// Records the report of an instance: arrivals since its last report, and requests that wait
    /// there now.
    pub fn record(&mut self, now: MonotonicTime, instance: &str, counts: &[DemandCount]) {
        let since = match self.recorded {
            Some([since, last]) if now.since(last) < RECENT_TIME_CONSTANT => since,
            _ => now,
        };
        self.recorded = Some([since, now]);
        for count in counts.iter().filter(|count| count.arrived > 0) {
            let empty = DecayingRate { per_s: 0.0, missed_per_s: 0.0, recent_per_s: 0.0, at: now };
            let rate = self.rates.entry(count.key.clone()).or_insert(empty);
            *rate = rate.decayed(now);
            rate.per_s += f64::from(count.arrived) / TIME_CONSTANT.as_secs_f64();
            rate.recent_per_s += f64::from(count.arrived) / RECENT_TIME_CONSTANT.as_secs_f64();
            rate.missed_per_s += count.worth / TIME_CONSTANT.as_secs_f64();
        }
        let waits = counts.iter().filter(|count| count.waiting > 0);
        let waits = waits.map(|count| (count.key.clone(), count.waiting)).collect();
        self.waiting.insert(instance.to_owned(), waits);
    }

    /// Removes the waiting requests of an instance that has left.
    pub fn remove_instance(&mut self, instance: &str) {
        self.waiting.remove(instance);
    }

    /// Drops averages that have decayed to almost nothing.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.rates.retain(|_, rate| rate.decayed(now).per_s >= MIN_RATE);
    }

    /// Demand for each key at `now`.
    pub fn levels(&self, now: MonotonicTime) -> BTreeMap<DemandKey, DemandLevel> {
        // Both averages begin at zero, the recent one rises sooner: without this factor, all demand
        // would seem to grow when records begin.
        let recorded_s = self.recorded.map_or(0.0, |[since, _]| now.since(since).as_secs_f64());
        let risen = |constant: Duration| 1.0 - (-recorded_s / constant.as_secs_f64()).exp();
        let bias = match recorded_s > 0.0 {
            true => risen(TIME_CONSTANT) / risen(RECENT_TIME_CONSTANT),
            false => TIME_RATIO,
        };
        let level = |rate: &DecayingRate| {
            let decayed = rate.decayed(now);
            DemandLevel {
                rate: decayed.per_s,
                miss_rate: decayed.missed_per_s,
                waiting: 0,
                recent_rate: decayed.recent_per_s * bias,
            }
        };
        let mut levels: BTreeMap<DemandKey, DemandLevel> =
            self.rates.iter().map(|(key, rate)| (key.clone(), level(rate))).collect();
        for (key, count) in self.waiting.values().flatten() {
            levels.entry(key.clone()).or_default().waiting += count;
        }
        levels
    }
}
