//! State shared by the passes of one placement plan.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use wheel_types::{ModelName, MonotonicTime, UpstreamName};

use crate::eviction_choice::{EvictionRules, is_idle_since};
use crate::fleet_ledger::FleetLedger;
use crate::placement_manifest::PlacementManifest;
use crate::stage_ledger::StageLedger;
use crate::{
    CheckpointSource, DemandView, EngineView, FleetView, ModelDemand, PlacedModel, PlacementAction,
    PlacementReason, PlacementSettings, PlacementStep,
};

/// Requests per hour expected for a model without a forecast right after its last request.
const RECENT_RATE: f64 = 2.0;
/// Idle time after which that expectation has halved, in hours.
const RECENT_HALVING_H: f64 = 0.25;
/// Time over which the expected loss of an eviction is counted, in hours.
const LOSS_HORIZON_H: f64 = 0.25;
/// Share of the loss that remains while another replica accepts requests.
const OTHER_REPLICA_SHARE: f64 = 0.1;

/// Memory of an engine that is reserved for a load while it waits for evictions or the store.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadReservation {
    /// The engine.
    pub(crate) upstream: UpstreamName,
    /// Reserved memory, in mebibytes.
    pub(crate) memory_mib: u64,
    /// When it was reserved.
    pub(crate) since: MonotonicTime,
    /// Why the load is planned.
    pub(crate) reason: PlacementReason,
}

/// State shared by the passes of one plan: the views, the capacity used up, and the steps so far.
#[derive(Debug)]
pub(crate) struct PlanRound<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) settings: &'a PlacementSettings,
    pub(crate) manifest: &'a PlacementManifest,
    pub(crate) fleet: &'a FleetView,
    pub(crate) slowdown: f64,
    pub(crate) demands: HashMap<&'a ModelName, &'a ModelDemand>,
    pub(crate) ledger: FleetLedger<'a>,
    pub(crate) reservations: BTreeMap<ModelName, LoadReservation>,
    pub(crate) steps: Vec<PlacementStep>,
    /// Replicas that this round drained, by engine and model.
    pub(crate) drained: HashSet<(usize, ModelName)>,
    /// Replicas that are loaded only to bring their checkpoint nearer.
    pub(crate) staging: StageLedger,
}

impl<'a> PlanRound<'a> {
    /// Starts a round without any steps.
    pub(crate) fn new(
        now: MonotonicTime,
        settings: &'a PlacementSettings,
        manifest: &'a PlacementManifest,
        fleet: &'a FleetView,
        demand: &'a DemandView,
    ) -> Self {
        Self {
            now,
            settings,
            manifest,
            fleet,
            slowdown: 1.0,
            demands: demand.models.iter().map(|entry| (&entry.model, entry)).collect(),
            ledger: FleetLedger::new(fleet),
            reservations: BTreeMap::new(),
            steps: Vec::new(),
            drained: HashSet::new(),
            staging: StageLedger::default(),
        }
    }

    /// Whether the plan has reached its maximum number of steps.
    pub(crate) fn is_full(&self) -> bool {
        self.steps.len() >= self.settings.max_steps
    }

    /// Adds a step at engine `index`.
    pub(crate) fn push(&mut self, index: usize, action: PlacementAction, reason: PlacementReason) {
        let upstream = self.fleet.engines[index].upstream.clone();
        self.steps.push(PlacementStep { upstream, action, reason });
    }

    /// Adds a load at engine `index`, which has the memory free.
    pub(crate) fn load(&mut self, index: usize, model: &ModelName, reason: PlacementReason) {
        let Some(spec) = self.manifest.model(model) else { return };
        let source = self.fleet.engines[index].source(model);
        self.ledger.use_memory(index, spec.memory_mib);
        self.ledger.add_loading(&spec.name);
        self.ledger.begin(source);
        let (version, memory_mib) = (spec.version, spec.memory_mib);
        let action = PlacementAction::Load { model: model.clone(), version, memory_mib, source };
        self.push(index, action, reason);
    }

    /// Adds the load that memory is reserved for, if the memory is free and the store has a slot.
    pub(crate) fn load_reserved(&mut self, model: &ModelName, spare: u32) {
        let Some(reservation) = self.reservations.get(model).cloned() else { return };
        let Some(index) = self.ledger.index(&reservation.upstream) else { return };
        let Some(spec) = self.manifest.model(model) else { return };
        let source = self.fleet.engines[index].source(model);
        let fits = self.fleet.engines[index].free_mib() >= reservation.memory_mib;
        if fits && self.ledger.may_begin(source, spare) {
            self.reservations.remove(model);
            self.ledger.begin(source);
            let (version, memory_mib) = (spec.version, spec.memory_mib);
            let action =
                PlacementAction::Load { model: model.clone(), version, memory_mib, source };
            self.push(index, action, reservation.reason);
        }
    }

    /// Reserves memory of engine `index` for a load.
    pub(crate) fn reserve(&mut self, index: usize, model: &ModelName, reason: PlacementReason) {
        let memory_mib = self.manifest.model(model).map_or(0, |spec| spec.memory_mib);
        let upstream = self.fleet.engines[index].upstream.clone();
        let reservation = LoadReservation { upstream, memory_mib, since: self.now, reason };
        self.add_reservation(index, model.clone(), reservation);
    }

    /// Adds a reservation and takes its memory off what is free.
    pub(crate) fn add_reservation(
        &mut self,
        index: usize,
        model: ModelName,
        reservation: LoadReservation,
    ) {
        let Some(spec) = self.manifest.model(&model) else { return };
        self.ledger.use_memory(index, reservation.memory_mib);
        self.ledger.add_loading(&spec.name);
        self.reservations.insert(model, reservation);
    }

    /// Drains a replica: it gets no new requests.
    pub(crate) fn drain(&mut self, index: usize, model: &ModelName, reason: PlacementReason) {
        let placed = self.fleet.engines[index].models.iter().find(|placed| &placed.model == model);
        let Some(placed) = placed.filter(|placed| placed.accepts_work()) else { return };
        if self.drained.insert((index, model.clone())) {
            let action = PlacementAction::Drain { model: model.clone(), version: placed.version };
            self.push(index, action, reason);
        }
    }

    /// Whether an engine isn't in use: it has no models, or only ones that are being staged.
    pub(crate) fn is_unused(&self, index: usize) -> bool {
        let engine = &self.fleet.engines[index];
        let is_staged =
            |placed: &PlacedModel| self.staging.contains(&engine.upstream, &placed.model);
        engine.models.iter().all(is_staged) && self.ledger.free_mib(index) == engine.free_mib()
    }

    /// Whether memory of an engine is reserved for a load.
    pub(crate) fn has_reservation(&self, upstream: &UpstreamName) -> bool {
        self.reservations.values().any(|reservation| &reservation.upstream == upstream)
    }

    /// Expected duration of a load of `model` from `source`.
    pub(crate) fn load_time(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        let load_ms = self.manifest.model(model).map_or(0, |spec| spec.load_ms);
        let share = match source {
            CheckpointSource::Memory => self.settings.memory_share,
            CheckpointSource::Disk => self.settings.disk_share,
            CheckpointSource::Store => self.slowdown,
        };
        Duration::from_millis(load_ms).mul_f64(share)
    }

    /// Cost of a wait to a caller of worth 1. It grows with the square of the wait, since the tail
    /// of the waits is what counts.
    pub(crate) fn wait_cost(&self, wait: Duration) -> f64 {
        let wait_s = wait.as_secs_f64();
        wait_s * wait_s / self.settings.reference_wait.as_secs_f64()
    }

    /// Cost to the next caller once a placed model has been unloaded. Hosts keep the checkpoints of
    /// unloaded models in memory, but not for ever, so this is the mean of a load from memory and
    /// one from `source`.
    pub(crate) fn reload_cost(&self, model: &ModelName, source: CheckpointSource) -> f64 {
        let cached = self.wait_cost(self.load_time(model, CheckpointSource::Memory));
        let current = self.wait_cost(self.load_time(model, source));
        (cached + current) / 2.0
    }

    /// Expected requests per hour for a placed model.
    pub(crate) fn hourly_rate(&self, placed: &PlacedModel) -> f64 {
        let known = self.demands.get(&placed.model).map_or(0.0, |demand| demand.hourly_rate);
        let used = placed.last_used.max(placed.since);
        let idle_h = self.now.since(used).as_secs_f64() / 3_600.0;
        let recent = RECENT_RATE * RECENT_HALVING_H / (RECENT_HALVING_H + idle_h);
        known.max(if known > 0.0 { 0.0 } else { recent })
    }

    /// What keeping a placed model saves, in worth per second.
    pub(crate) fn saving_rate(&self, engine: &EngineView, placed: &PlacedModel) -> f64 {
        let worth = self.demands.get(&placed.model).map_or(1.0, |demand| demand.worth);
        let reload = self.reload_cost(&placed.model, engine.source(&placed.model));
        let replica_share = if self.has_other_replica(placed) { OTHER_REPLICA_SHARE } else { 1.0 };
        worth * reload * replica_share * self.hourly_rate(placed) / 3_600.0
    }

    /// Whether other replicas of the model accept requests, here or in another data centre.
    pub(crate) fn has_other_replica(&self, placed: &PlacedModel) -> bool {
        let remote_replicas =
            self.demands.get(&placed.model).map_or(0, |demand| demand.remote_replicas);
        let ready = self.ledger.replicas(&placed.model).ready;
        ready.saturating_sub(u32::from(placed.accepts_work())) + remote_replicas > 0
    }

    /// Whether the manifest's `min_replicas` requires this replica.
    pub(crate) fn is_pinned(&self, placed: &PlacedModel) -> bool {
        let min_replicas = self.manifest.model(&placed.model).map_or(0, |spec| spec.min_replicas);
        self.ledger.replicas(&placed.model).ready <= min_replicas
    }

    /// Whether requests wait for a model, in queues or without a replica.
    pub(crate) fn is_requested(&self, model: &ModelName) -> bool {
        let demand = self.demands.get(model);
        demand.is_some_and(|demand| demand.queued > 0 || demand.waiting_count() > 0)
    }

    /// Replicas loaded after this time are too young to be unloaded.
    pub(crate) fn residence_cutoff(&self) -> MonotonicTime {
        self.time_before(self.settings.min_residence)
    }

    /// The time `span` ago.
    pub(crate) fn time_before(&self, span: Duration) -> MonotonicTime {
        let span_us = span.as_micros() as u64;
        MonotonicTime::from_micros(self.now.as_micros().saturating_sub(span_us))
    }
}

impl EvictionRules for PlanRound<'_> {
    fn may_evict(&self, placed: &PlacedModel) -> bool {
        let needed = self.reservations.contains_key(&placed.model);
        let idle = is_idle_since(placed, self.residence_cutoff());
        idle && !needed && !self.is_requested(&placed.model) && !self.is_pinned(placed)
    }

    fn loss(&self, engine: &EngineView, placed: &PlacedModel) -> f64 {
        let worth = self.demands.get(&placed.model).map_or(1.0, |demand| demand.worth);
        let reload = self.reload_cost(&placed.model, engine.source(&placed.model));
        let replica_share = if self.has_other_replica(placed) { OTHER_REPLICA_SHARE } else { 1.0 };
        let probability = 1.0 - (-self.hourly_rate(placed) * LOSS_HORIZON_H).exp();
        worth * reload * replica_share * probability
    }
}
