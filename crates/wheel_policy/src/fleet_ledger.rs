//! Capacity of a fleet while a plan is made.

use std::collections::HashMap;

use wheel_types::{EngineRole, ModelName, ModelPhase, UpstreamName};

use crate::{CheckpointSource, FleetView};

/// Free memory, replica counts and load slots, updated with each step that the plan adds.
#[derive(Clone, Debug)]
pub(crate) struct FleetLedger<'a> {
    fleet: &'a FleetView,
    free_mib: Vec<u64>,
    counts: HashMap<&'a ModelName, ReplicaCount>,
    indexes: HashMap<&'a UpstreamName, usize>,
    store_in_flight: u32,
    store_starts: u32,
    adapters_in_flight: u32,
}

/// Replicas of one model, counted over all versions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ReplicaCount {
    /// Those that take memory, in any phase; bounded by `max_replicas`.
    pub(crate) held: u32,
    /// Those that accept requests.
    pub(crate) ready: u32,
    /// Those that are being loaded, with the loads of this plan.
    pub(crate) loading: u32,
}

impl<'a> FleetLedger<'a> {
    /// Counts the memory, replicas and loads in `fleet`.
    pub(crate) fn new(fleet: &'a FleetView) -> Self {
        let indexes = fleet.engines.iter().enumerate();
        let mut ledger = Self {
            fleet,
            free_mib: fleet.engines.iter().map(|engine| engine.free_mib()).collect(),
            counts: HashMap::new(),
            indexes: indexes.map(|(index, engine)| (&engine.upstream, index)).collect(),
            store_in_flight: 0,
            store_starts: fleet.store_starts,
            adapters_in_flight: 0,
        };
        ledger.count();
        ledger
    }

    /// The index of an engine.
    pub(crate) fn index(&self, upstream: &UpstreamName) -> Option<usize> {
        self.indexes.get(upstream).copied()
    }

    /// Replicas of a model.
    pub(crate) fn replicas(&self, model: &ModelName) -> ReplicaCount {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// Whether an engine may load `model`: it serves, isn't leaving and doesn't hold it already.
    pub(crate) fn may_load(&self, index: usize, model: &ModelName) -> bool {
        let engine = &self.fleet.engines[index];
        let serves = engine.role == EngineRole::Serve && !engine.leaving;
        serves && !engine.models.iter().any(|placed| &placed.model == model)
    }

    /// Free memory of an engine that the plan hasn't used, in mebibytes.
    pub(crate) fn free_mib(&self, index: usize) -> u64 {
        self.free_mib[index]
    }

    /// Takes `memory_mib` off the free memory of an engine.
    pub(crate) fn use_memory(&mut self, index: usize, memory_mib: u64) {
        self.free_mib[index] = self.free_mib[index].saturating_sub(memory_mib);
    }

    /// Counts a load that the plan starts or reserves memory for.
    pub(crate) fn add_loading(&mut self, model: &'a ModelName) {
        let count = self.counts.entry(model).or_default();
        count.held += 1;
        count.loading += 1;
    }

    /// Whether a load from `source` may start while `spare` slots of the store stay free.
    pub(crate) fn may_begin(&self, source: CheckpointSource, spare: u32) -> bool {
        source != CheckpointSource::Store
            || (self.store_starts > 0 && self.store_in_flight + spare < self.fleet.store_loads)
    }

    /// Counts a load that starts.
    pub(crate) fn begin(&mut self, source: CheckpointSource) {
        if source == CheckpointSource::Store {
            self.store_in_flight += 1;
            self.store_starts = self.store_starts.saturating_sub(1);
        }
    }

    /// Counts an adapter load that starts; false if the limit of loads in flight is reached.
    pub(crate) fn begin_adapter(&mut self) -> bool {
        let may_begin = self.adapters_in_flight < self.fleet.adapter_loads;
        self.adapters_in_flight += u32::from(may_begin);
        may_begin
    }

    fn count(&mut self) {
        let placed =
            self.fleet.engines.iter().flat_map(|engine| {
                engine.models.iter().map(move |placed| (engine.leaving, placed))
            });
        for (leaving, placed) in placed {
            let count = self.counts.entry(&placed.model).or_default();
            let loading = placed.phase == ModelPhase::Loading;
            count.held += 1;
            count.loading += u32::from(loading && !leaving);
            count.ready += u32::from(placed.accepts_work() && !leaving);
            let from_store = loading && placed.source == CheckpointSource::Store;
            self.store_in_flight += u32::from(from_store);
            let adapters = placed.adapters.iter();
            let loading = adapters.filter(|adapter| adapter.phase == ModelPhase::Loading);
            self.adapters_in_flight += loading.count() as u32;
        }
    }
}
