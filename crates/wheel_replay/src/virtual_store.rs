//! Loads in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_policy::CheckpointSource;
use wheel_types::{ModelName, MonotonicTime};

/// The weight store and the loads in flight, also those from disks and host memory.
///
/// Up to a number of loads from the store run at full speed; more share it. A slowed store makes
/// all of them longer, also those that are half-way.
#[derive(Clone, Debug)]
pub(crate) struct VirtualStore {
    full_speed_loads: u32,
    factor: f64,
    loads: BTreeMap<u64, VirtualLoad>,
    next_id: u64,
}

/// A load in flight.
#[derive(Clone, Debug)]
pub(crate) struct VirtualLoad {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// The model.
    pub(crate) model: ModelName,
    /// Where it comes from.
    pub(crate) source: CheckpointSource,
    /// When it began.
    pub(crate) since: MonotonicTime,
    left_s: f64,
    updated: MonotonicTime,
}

impl VirtualStore {
    /// A store at full speed with nothing in flight.
    pub(crate) fn new(full_speed_loads: u32) -> Self {
        Self { full_speed_loads, factor: 1.0, loads: BTreeMap::new(), next_id: 0 }
    }

    /// Begins a load that takes `span` at full speed.
    pub(crate) fn begin(
        &mut self,
        now: MonotonicTime,
        engine: usize,
        model: ModelName,
        source: CheckpointSource,
        span: Duration,
    ) {
        self.progress(now);
        self.next_id += 1;
        let left_s = span.as_secs_f64();
        let load = VirtualLoad { engine, model, source, since: now, left_s, updated: now };
        self.loads.insert(self.next_id, load);
    }

    /// Slows the store, or gives it its full speed back.
    pub(crate) fn set_factor(&mut self, now: MonotonicTime, factor: f64) {
        self.progress(now);
        self.factor = factor;
    }

    /// Ends the loads of an engine that is gone.
    pub(crate) fn abort(&mut self, now: MonotonicTime, engine: usize) {
        self.progress(now);
        self.loads.retain(|_, load| load.engine != engine);
    }

    /// Takes the loads that are done at `now`.
    pub(crate) fn take_done(&mut self, now: MonotonicTime) -> Vec<VirtualLoad> {
        self.progress(now);
        let done: Vec<u64> =
            self.loads.iter().filter(|(_, load)| load.left_s <= 1e-6).map(|(id, _)| *id).collect();
        done.iter().filter_map(|id| self.loads.remove(id)).collect()
    }

    /// When the next load is done, if nothing changes until then.
    pub(crate) fn next_done(&self) -> Option<MonotonicTime> {
        let ends = self.loads.values().map(|load| {
            let left_s = load.left_s / self.speed(load.source);
            load.updated + Duration::from_secs_f64(left_s) + Duration::from_micros(2)
        });
        ends.min()
    }

    /// Loads from the store in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        let from_store = |load: &&VirtualLoad| load.source == CheckpointSource::Store;
        self.loads.values().filter(from_store).count() as u32
    }

    /// The first engine that is loading something.
    pub(crate) fn first_engine(&self) -> Option<usize> {
        self.loads.values().next().map(|load| load.engine)
    }

    fn speed(&self, source: CheckpointSource) -> f64 {
        match source {
            CheckpointSource::Store => {
                let crowded = f64::from(self.in_flight()) / f64::from(self.full_speed_loads);
                1.0 / (self.factor * crowded.max(1.0))
            }
            CheckpointSource::Memory | CheckpointSource::Disk => 1.0,
        }
    }

    fn progress(&mut self, now: MonotonicTime) {
        let store = self.speed(CheckpointSource::Store);
        for load in self.loads.values_mut() {
            let speed = if load.source == CheckpointSource::Store { store } else { 1.0 };
            let done_s = now.since(load.updated).as_secs_f64() * speed;
            load.left_s = (load.left_s - done_s).max(0.0);
            load.updated = now;
        }
    }
}
