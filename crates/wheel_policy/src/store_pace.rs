//! How many loads from the weight store run at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

/// Loads at once to begin with; the store's full speed is learned from there.
const FIRST_LIMIT: usize = 4;
/// The fewest and the most.
const LIMIT_RANGE: [usize; 2] = [1, 64];
/// A load that takes this much longer than stated, reports' lag included, shows that too many run at once.
const SLOW_FACTOR: f64 = 1.35;
/// Loads in a row at the limit that went at full speed before one more is tried.
const PROBE_AFTER: u32 = 6;

/// Beyond a number that isn't stated, each load at once slows all of them in proportion: nothing is gained,
/// and every one arrives late. Keeps to the most that still go at full speed.
#[derive(Clone, Debug)]
pub struct StorePace {
    limit: usize,
    running: BTreeMap<EngineId, RunningLoad>,
    full_speed: u32,
}

#[derive(Clone, Debug)]
struct RunningLoad {
    model: Arc<str>,
    began: MonotonicTime,
    takes: Duration,
    /// The most loads that ran beside it, itself included.
    beside: usize,
}

impl Default for StorePace {
    fn default() -> Self {
        Self { limit: FIRST_LIMIT, running: BTreeMap::new(), full_speed: 0 }
    }
}

impl StorePace {
    /// Loads that may run at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Loads that may begin now.
    pub fn room(&self) -> usize {
        self.limit.saturating_sub(self.running.len())
    }

    /// Notes a load that begins.
    pub fn begin(
        &mut self,
        now: MonotonicTime,
        engine: EngineId,
        model: Arc<str>,
        takes: Duration,
    ) {
        self.running.insert(engine, RunningLoad { model, began: now, takes, beside: 0 });
        let count = self.running.len();
        self.running.values_mut().for_each(|load| load.beside = load.beside.max(count));
    }

    /// Takes the ends of loads in: those of an engine and a model for which `is_loading` doesn't hold any more.
    pub fn follow(&mut self, now: MonotonicTime, is_loading: impl Fn(&EngineId, &str) -> bool) {
        let has_ended =
            |(engine, load): &(&EngineId, &RunningLoad)| !is_loading(engine, &load.model);
        let ended: Vec<EngineId> =
            self.running.iter().filter(has_ended).map(|(engine, _)| engine.clone()).collect();
        for engine in ended {
            if let Some(load) = self.running.remove(&engine) {
                self.judge(now, &load);
            }
        }
    }

    fn judge(&mut self, now: MonotonicTime, load: &RunningLoad) {
        let took = now.since(load.began).as_secs_f64();
        let stated = load.takes.as_secs_f64();
        // One that ended far too early was refused or lost with its engine.
        let is_whole = took >= stated * 0.8;
        let is_slow = took > stated * SLOW_FACTOR;
        match load.beside {
            // The store worked at full speed for so many: its time is shared in proportion.
            beside if is_slow && beside > 1 => {
                let borne = (beside as f64 * stated / took).round() as usize;
                self.limit = self.limit.min(borne).max(LIMIT_RANGE[0]);
                self.full_speed = 0;
            }
            beside if is_whole && !is_slow && beside >= self.limit => {
                self.full_speed += 1;
                if self.full_speed >= PROBE_AFTER {
                    self.limit = (self.limit + 1).min(LIMIT_RANGE[1]);
                    self.full_speed = 0;
                }
            }
            _ => {}
        }
    }
}
