//! One round of planning.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use wheel_types::{ModelName, MonotonicTime, UpstreamName};

use crate::eviction_choice::{VictimRules, is_idle_since};
use crate::fleet_ledger::FleetLedger;
use crate::placement_text::PlacementText;
use crate::{
    CheckpointSource, DemandView, EngineView, FleetView, ModelDemand, PlacedModel, PlacementAction,
    PlacementReason, PlacementSettings, PlacementStep,
};

/// Requests an hour that a model without a forecast is expected to get right after its last one.
const RECENT_RATE: f64 = 2.0;
/// Time after which that expectation has halved, in hours.
const RECENT_SPAN_H: f64 = 0.25;
/// Time over which the loss of an eviction is counted, in hours.
const LOSS_SPAN_H: f64 = 0.25;
/// Share of the loss that is left while another replica takes work.
const SPARE_SHARE: f64 = 0.1;

/// Memory that is kept for a load until its victims have left.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadPromise {
    /// The engine.
    pub(crate) upstream: UpstreamName,
    /// Memory that is kept, in mebibytes.
    pub(crate) memory_mib: u64,
    /// When it was promised.
    pub(crate) since: MonotonicTime,
    /// Why the load is wanted.
    pub(crate) reason: PlacementReason,
}

/// What the passes of one plan share: the views, what was spent, and the steps so far.
#[derive(Debug)]
pub(crate) struct PlanRound<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) settings: &'a PlacementSettings,
    pub(crate) text: &'a PlacementText,
    pub(crate) fleet: &'a FleetView,
    pub(crate) slowdown: f64,
    pub(crate) demands: HashMap<&'a ModelName, &'a ModelDemand>,
    pub(crate) ledger: FleetLedger<'a>,
    pub(crate) promises: BTreeMap<ModelName, LoadPromise>,
    pub(crate) steps: Vec<PlacementStep>,
    /// Replicas that this round drained, by engine and model.
    pub(crate) drained: HashSet<(usize, ModelName)>,
}

impl<'a> PlanRound<'a> {
    /// Begins a round.
    pub(crate) fn new(
        now: MonotonicTime,
        settings: &'a PlacementSettings,
        text: &'a PlacementText,
        fleet: &'a FleetView,
        demand: &'a DemandView,
    ) -> Self {
        Self {
            now,
            settings,
            text,
            fleet,
            slowdown: 1.0,
            demands: demand.models.iter().map(|entry| (&entry.model, entry)).collect(),
            ledger: FleetLedger::new(fleet),
            promises: BTreeMap::new(),
            steps: Vec::new(),
            drained: HashSet::new(),
        }
    }

    /// Whether the plan has as many steps as it may take.
    pub(crate) fn is_full(&self) -> bool {
        self.steps.len() >= self.settings.max_steps
    }

    /// Adds a step at engine `index`.
    pub(crate) fn push(&mut self, index: usize, action: PlacementAction, reason: PlacementReason) {
        let upstream = self.fleet.engines[index].upstream.clone();
        self.steps.push(PlacementStep { upstream, action, reason });
    }

    /// Orders a load at engine `index`, whose memory is free, or keeps the memory for it if the
    /// store has no slot left.
    pub(crate) fn load(&mut self, index: usize, model: &ModelName, reason: PlacementReason) {
        let Some(spec) = self.text.model(model) else { return };
        let source = self.fleet.engines[index].source(model);
        self.ledger.spend(index, spec.memory_mib);
        self.ledger.add_loading(&spec.name);
        self.ledger.begin(source);
        let (version, memory_mib) = (spec.version, spec.memory_mib);
        let action = PlacementAction::Load { model: model.clone(), version, memory_mib, source };
        self.push(index, action, reason);
    }

    /// Orders the load that memory was kept for, if the memory is free and the store has a slot.
    pub(crate) fn load_promised(&mut self, model: &ModelName, spare: u32) {
        let Some(promise) = self.promises.get(model).cloned() else { return };
        let Some(index) = self.ledger.index(&promise.upstream) else { return };
        let Some(spec) = self.text.model(model) else { return };
        let source = self.fleet.engines[index].source(model);
        let fits = self.fleet.engines[index].free_mib() >= promise.memory_mib;
        if fits && self.ledger.may_begin(source, spare) {
            self.promises.remove(model);
            self.ledger.begin(source);
            let (version, memory_mib) = (spec.version, spec.memory_mib);
            let action =
                PlacementAction::Load { model: model.clone(), version, memory_mib, source };
            self.push(index, action, promise.reason);
        }
    }

    /// Keeps memory of engine `index` for a load.
    pub(crate) fn promise(&mut self, index: usize, model: &ModelName, reason: PlacementReason) {
        let memory_mib = self.text.model(model).map_or(0, |spec| spec.memory_mib);
        let upstream = self.fleet.engines[index].upstream.clone();
        let promise = LoadPromise { upstream, memory_mib, since: self.now, reason };
        self.keep_promise(index, model.clone(), promise);
    }

    /// Keeps a promise for another round.
    pub(crate) fn keep_promise(&mut self, index: usize, model: ModelName, promise: LoadPromise) {
        let Some(spec) = self.text.model(&model) else { return };
        self.ledger.spend(index, promise.memory_mib);
        self.ledger.add_loading(&spec.name);
        self.promises.insert(model, promise);
    }

    /// Stops new requests to a replica.
    pub(crate) fn drain(&mut self, index: usize, model: &ModelName, reason: PlacementReason) {
        let placed = self.fleet.engines[index].models.iter().find(|placed| &placed.model == model);
        let Some(placed) = placed.filter(|placed| placed.takes_work()) else { return };
        if self.drained.insert((index, model.clone())) {
            let action = PlacementAction::Drain { model: model.clone(), version: placed.version };
            self.push(index, action, reason);
        }
    }

    /// Whether memory of an engine is kept for a load.
    pub(crate) fn has_promise(&self, upstream: &UpstreamName) -> bool {
        self.promises.values().any(|promise| &promise.upstream == upstream)
    }

    /// Expected time of a load of `model` from `source`.
    pub(crate) fn load_time(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        let load_ms = self.text.model(model).map_or(0, |spec| spec.load_ms);
        let share = match source {
            CheckpointSource::Memory => self.settings.memory_share,
            CheckpointSource::Disk => self.settings.disk_share,
            CheckpointSource::Store => self.slowdown,
        };
        Duration::from_millis(load_ms).mul_f64(share)
    }

    /// What a caller of worth 1 loses by a wait: more for each second of a long one, since it is the
    /// tail of the waits that counts.
    pub(crate) fn wait_cost(&self, wait: Duration) -> f64 {
        let wait_s = wait.as_secs_f64();
        wait_s * wait_s / self.settings.fair_wait.as_secs_f64()
    }

    /// What the next caller loses once a placed model was unloaded. Hosts keep the checkpoints of
    /// what they unload, but not for ever: half-way between there and where it lies now.
    pub(crate) fn reload_cost(&self, model: &ModelName, lies: CheckpointSource) -> f64 {
        let kept = self.wait_cost(self.load_time(model, CheckpointSource::Memory));
        let lies = self.wait_cost(self.load_time(model, lies));
        (kept + lies) / 2.0
    }

    /// Requests an hour that a placed model is expected to get.
    pub(crate) fn hourly_rate(&self, placed: &PlacedModel) -> f64 {
        let known = self.demands.get(&placed.model).map_or(0.0, |demand| demand.hourly_rate);
        let used = placed.last_used.max(placed.since);
        let idle_h = self.now.since(used).as_secs_f64() / 3_600.0;
        let recent = RECENT_RATE * RECENT_SPAN_H / (RECENT_SPAN_H + idle_h);
        known.max(if known > 0.0 { 0.0 } else { recent })
    }

    /// What each second of keeping a placed model saves, in worth.
    pub(crate) fn saving_rate(&self, engine: &EngineView, placed: &PlacedModel) -> f64 {
        let worth = self.demands.get(&placed.model).map_or(1.0, |demand| demand.worth);
        let reload = self.reload_cost(&placed.model, engine.source(&placed.model));
        let spare = if self.has_spare(placed) { SPARE_SHARE } else { 1.0 };
        worth * reload * spare * self.hourly_rate(placed) / 3_600.0
    }

    /// Whether other replicas of the model take work, here or in another data centre.
    pub(crate) fn has_spare(&self, placed: &PlacedModel) -> bool {
        let elsewhere = self.demands.get(&placed.model).map_or(0, |demand| demand.elsewhere);
        let ready = self.ledger.replicas(&placed.model).ready;
        ready.saturating_sub(u32::from(placed.takes_work())) + elsewhere > 0
    }

    /// Whether the text wants this replica to stay.
    pub(crate) fn is_pinned(&self, placed: &PlacedModel) -> bool {
        let min_replicas = self.text.model(&placed.model).map_or(0, |spec| spec.min_replicas);
        self.ledger.replicas(&placed.model).ready <= min_replicas
    }

    /// Whether requests wait for a model, in queues or without a replica.
    pub(crate) fn is_wanted(&self, model: &ModelName) -> bool {
        let demand = self.demands.get(model);
        demand.is_some_and(|demand| demand.queued > 0 || demand.waiting_count() > 0)
    }

    /// The moment before which a replica must have come to be old enough to go.
    pub(crate) fn residence_start(&self) -> MonotonicTime {
        self.earlier(self.settings.min_residence)
    }

    /// The moment `span` ago.
    pub(crate) fn earlier(&self, span: Duration) -> MonotonicTime {
        let span_us = span.as_micros() as u64;
        MonotonicTime::from_micros(self.now.as_micros().saturating_sub(span_us))
    }
}

impl VictimRules for PlanRound<'_> {
    fn may_evict(&self, placed: &PlacedModel) -> bool {
        let needed = self.promises.contains_key(&placed.model);
        let idle = is_idle_since(placed, self.residence_start());
        idle && !needed && !self.is_wanted(&placed.model) && !self.is_pinned(placed)
    }

    fn loss(&self, engine: &EngineView, placed: &PlacedModel) -> f64 {
        let worth = self.demands.get(&placed.model).map_or(1.0, |demand| demand.worth);
        let reload = self.reload_cost(&placed.model, engine.source(&placed.model));
        let spare = if self.has_spare(placed) { SPARE_SHARE } else { 1.0 };
        let chance = 1.0 - (-self.hourly_rate(placed) * LOSS_SPAN_H).exp();
        worth * reload * spare * chance
    }
}
