//! Limits concurrent loads from the weight store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

/// Initial limit of concurrent loads; it then adapts to the measured speed.
const FIRST_LIMIT: usize = 4;
/// The same under load control. Loads share the store evenly: at a store that sustains one, four at
/// once all take longer than any caller waits, and nothing is served for a minute.
const CAREFUL_FIRST_LIMIT: usize = 2;
/// Bounds of the limit.
const LIMIT_RANGE: [usize; 2] = [1, 64];
/// A load that takes this many times its expected duration, with the lag of reports, shows that too
/// many run at once.
const SLOW_FACTOR: f64 = 1.35;
/// The same under load control: four loads at a store that sustains three take 1.33 times as long.
/// Reports are 0.25 s old, which is 3% of the fastest load there.
const CAREFUL_SLOW_FACTOR: f64 = 1.15;
/// Consecutive loads at the limit and at full speed after which the limit grows by one.
const PROBE_AFTER: u32 = 6;
/// Bound on the same after attempts at a higher limit that failed.
const MAX_PROBE_AFTER: u32 = 96;
/// Expected remaining time of a load that has taken longer than expected.
const OVERDUE_TIME: Duration = Duration::from_millis(500);

/// Adaptive limit on concurrent loads from the weight store.
///
/// The store has an unknown capacity, beyond which each further load slows all of them in
/// proportion: nothing is gained and every load ends late. The limit follows the largest number of
/// loads that still run at full speed.
#[derive(Clone, Debug)]
pub struct StoreLoadLimiter {
    limit: usize,
    running: BTreeMap<EngineId, RunningLoad>,
    full_speed: u32,
    /// Full-speed loads after which the limit grows.
    probe_after: u32,
    /// Whether every attempt at a higher limit that fails doubles `probe_after`.
    is_careful: bool,
}

#[derive(Clone, Debug)]
struct RunningLoad {
    model: Arc<str>,
    began: MonotonicTime,
    expected_duration: Duration,
    /// Maximum number of loads that ran at the same time, this one included.
    concurrent: usize,
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            running: BTreeMap::new(),
            full_speed: 0,
            probe_after: PROBE_AFTER,
            is_careful: false,
        }
    }
}

impl StoreLoadLimiter {
    /// A limiter for load control: it starts low, grows with each full-speed load at the limit until
    /// one is slow, and then seldom tries a higher limit again.
    pub fn careful() -> Self {
        Self { limit: CAREFUL_FIRST_LIMIT, probe_after: 1, is_careful: true, ..Self::default() }
    }

    /// Maximum number of concurrent loads.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of loads that may start now.
    pub fn available(&self) -> usize {
        self.limit.saturating_sub(self.running.len())
    }

    /// Expected time until each of the concurrent loads may start, in ascending order.
    pub fn waits(&self, now: MonotonicTime) -> Vec<Duration> {
        let mut waits: Vec<Duration> = self
            .running
            .values()
            .map(|load| match load.expected_duration.saturating_sub(now.since(load.began)) {
                Duration::ZERO => OVERDUE_TIME,
                left => left,
            })
            .collect();
        waits.sort();
        // Where more loads run than the limit allows, the first that end free nothing.
        let excess = waits.len().saturating_sub(self.limit);
        waits.drain(..excess);
        waits.splice(0..0, std::iter::repeat_n(Duration::ZERO, self.available()));
        waits
    }

    /// Adds a load that starts now and should take `expected_duration`.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        engine: EngineId,
        model: Arc<str>,
        expected_duration: Duration,
    ) {
        self.running
            .insert(engine, RunningLoad { model, began: now, expected_duration, concurrent: 0 });
        let count = self.running.len();
        self.running.values_mut().for_each(|load| load.concurrent = load.concurrent.max(count));
    }

    /// Removes the loads for whose engine and model `is_loading` is false, and adapts the limit.
    pub fn remove_finished(
        &mut self,
        now: MonotonicTime,
        is_loading: impl Fn(&EngineId, &str) -> bool,
    ) {
        let has_ended =
            |(engine, load): &(&EngineId, &RunningLoad)| !is_loading(engine, &load.model);
        let ended: Vec<EngineId> =
            self.running.iter().filter(has_ended).map(|(engine, _)| engine.clone()).collect();
        for engine in ended {
            if let Some(load) = self.running.remove(&engine) {
                self.update_limit(now, &load);
            }
        }
    }

    fn update_limit(&mut self, now: MonotonicTime, load: &RunningLoad) {
        let took_s = now.since(load.began).as_secs_f64();
        let expected_s = load.expected_duration.as_secs_f64();
        // A load that ended far too early was refused or lost with its engine.
        let is_complete = took_s >= expected_s * 0.8;
        let slow_factor = if self.is_careful { CAREFUL_SLOW_FACTOR } else { SLOW_FACTOR };
        let is_slow = took_s > expected_s * slow_factor;
        match load.concurrent {
            // Loads share the store's capacity evenly, so the slowdown tells how many it sustains.
            concurrent if is_slow && concurrent > 1 => {
                let sustained = (concurrent as f64 * expected_s / took_s).round() as usize;
                self.limit = self.limit.min(sustained).max(LIMIT_RANGE[0]);
                self.full_speed = 0;
                if self.is_careful {
                    self.probe_after = (self.probe_after * 2).clamp(PROBE_AFTER, MAX_PROBE_AFTER);
                }
            }
            concurrent if is_complete && !is_slow && concurrent >= self.limit => {
                self.full_speed += 1;
                if self.full_speed >= self.probe_after {
                    self.limit = (self.limit + 1).min(LIMIT_RANGE[1]);
                    self.full_speed = 0;
                }
            }
            _ => {}
        }
    }
}
