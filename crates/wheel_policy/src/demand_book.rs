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
    at: MonotonicTime,
}

impl FadingRate {
    fn value(&self, now: MonotonicTime) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

impl DemandBook {
    /// Takes over what an instance tells: arrivals since its last report, and what waits there now.
    pub fn note(&mut self, now: MonotonicTime, instance: &str, counts: &[DemandCount]) {
        for count in counts.iter().filter(|count| count.arrived > 0) {
            let rate = self.rates.entry(count.key.clone());
            let rate = rate.or_insert(FadingRate { per_s: 0.0, at: now });
            let per_s = rate.value(now) + f64::from(count.arrived) / MEMORY.as_secs_f64();
            *rate = FadingRate { per_s, at: now };
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
        self.rates.retain(|_, rate| rate.value(now) >= MIN_RATE);
    }

    /// Requests a second for exactly this key.
    pub fn rate(&self, now: MonotonicTime, key: &DemandKey) -> f64 {
        self.rates.get(key).map_or(0.0, |rate| rate.value(now))
    }

    /// All keys with their rates and how many requests wait for each.
    pub fn entries(&self, now: MonotonicTime) -> BTreeMap<DemandKey, (f64, u32)> {
        let rates = self.rates.iter().map(|(key, rate)| (key.clone(), (rate.value(now), 0)));
        let mut entries: BTreeMap<DemandKey, (f64, u32)> = rates.collect();
        for (key, count) in self.waiting.values().flatten() {
            entries.entry(key.clone()).or_default().1 += count;
        }
        entries
    }
}
