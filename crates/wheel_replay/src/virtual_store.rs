//! Loads in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_policy::CheckpointSource;
use wheel_types::{ModelName, MonotonicTime};

/// The weight store and all loads in flight, including those from disks and host memory.
///
/// Up to `full_speed_loads` loads from the store run at full speed; more loads share that speed. If
/// the store becomes slower, loads in flight are slowed as well.
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
    /// Where the checkpoint is read from.
    pub(crate) source: CheckpointSource,
    /// When it began.
    pub(crate) since: MonotonicTime,
    remaining_s: f64,
    updated: MonotonicTime,
}

impl VirtualStore {
    /// Creates a store at full speed without loads.
    pub(crate) fn new(full_speed_loads: u32) -> Self {
        Self { full_speed_loads, factor: 1.0, loads: BTreeMap::new(), next_id: 0 }
    }

    /// Starts a load that takes `span` at full speed.
    pub(crate) fn begin(
        &mut self,
        now: MonotonicTime,
        engine: usize,
        model: ModelName,
        source: CheckpointSource,
        span: Duration,
    ) {
        self.advance(now);
        self.next_id += 1;
        let remaining_s = span.as_secs_f64();
        let load = VirtualLoad { engine, model, source, since: now, remaining_s, updated: now };
        self.loads.insert(self.next_id, load);
    }

    /// Sets the factor by which loads from the store take longer; 1 is full speed.
    pub(crate) fn set_factor(&mut self, now: MonotonicTime, factor: f64) {
        self.advance(now);
        self.factor = factor;
    }

    /// Aborts the loads of a lost engine.
    pub(crate) fn abort(&mut self, now: MonotonicTime, engine: usize) {
        self.advance(now);
        self.loads.retain(|_, load| load.engine != engine);
    }

    /// Removes and returns the loads that are done at `now`.
    pub(crate) fn take_done(&mut self, now: MonotonicTime) -> Vec<VirtualLoad> {
        self.advance(now);
        let done: Vec<u64> = self
            .loads
            .iter()
            .filter(|(_, load)| load.remaining_s <= 1e-6)
            .map(|(id, _)| *id)
            .collect();
        done.iter().filter_map(|id| self.loads.remove(id)).collect()
    }

    /// When the next load will be done if nothing changes until then.
    pub(crate) fn next_done(&self) -> Option<MonotonicTime> {
        let ends = self.loads.values().map(|load| {
            let remaining_s = load.remaining_s / self.speed(load.source);
            load.updated + Duration::from_secs_f64(remaining_s) + Duration::from_micros(2)
        });
        ends.min()
    }

    /// Number of loads from the store in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        let from_store = |load: &&VirtualLoad| load.source == CheckpointSource::Store;
        self.loads.values().filter(from_store).count() as u32
    }

    /// The first engine that is loading something.
    pub(crate) fn first_loading_engine(&self) -> Option<usize> {
        self.loads.values().next().map(|load| load.engine)
    }

    fn speed(&self, source: CheckpointSource) -> f64 {
        match source {
            CheckpointSource::Store => {
                let contention = f64::from(self.in_flight()) / f64::from(self.full_speed_loads);
                1.0 / (self.factor * contention.max(1.0))
            }
            CheckpointSource::Memory | CheckpointSource::Disk => 1.0,
        }
    }

    fn advance(&mut self, now: MonotonicTime) {
        let store = self.speed(CheckpointSource::Store);
        for load in self.loads.values_mut() {
            let speed = if load.source == CheckpointSource::Store { store } else { 1.0 };
            let done_s = now.since(load.updated).as_secs_f64() * speed;
            load.remaining_s = (load.remaining_s - done_s).max(0.0);
            load.updated = now;
        }
    }
}
