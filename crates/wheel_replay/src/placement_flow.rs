//! Placement of models in a replay.

use std::collections::HashSet;
use std::time::Duration;

use wheel_policy::{
    CheckpointSource, DemandView, FleetView, PlacedModel, PlacementAction, PlacementStep,
    ReplicaView,
};
use wheel_types::{ModelName, ModelPhase};

use crate::load_record::LoadRecord;
use crate::replay_run::{PLAN_DELAY, ReplayEvent, ReplayRun};

/// Time after which a drained replica may be unloaded.
const DRAIN_DELAY: Duration = Duration::from_millis(210);
/// Loads from the store that a data centre without contact to the others may have in flight.
const ISOLATED_STORE_LOADS: u32 = 1;

impl<'a> ReplayRun<'a> {
    /// Plans placement in a data centre and executes the steps.
    pub(crate) fn plan(&mut self, centre: usize) {
        let fleet = self.fleet_view(centre);
        let demand = self.demand_view(centre);
        for step in self.centres[centre].placer.plan(self.now, &fleet, &demand) {
            self.execute(centre, &step);
        }
    }

    fn fleet_view(&self, centre: usize) -> FleetView {
        let own = self.engines.iter().filter(|one| one.centre == centre && one.alive);
        let engines: Vec<_> = own.map(|one| one.view.clone()).collect();
        let loading = engines.iter().flat_map(|engine| &engine.models).filter(|placed| {
            placed.phase == ModelPhase::Loading && placed.source == CheckpointSource::Store
        });
        let own_loads = loading.count() as u32;
        let limit = self.site.manifest.store.full_speed_loads;
        let is_isolated =
            (0..self.centres.len()).all(|other| other == centre || !self.can_reach(centre, other));
        let others = self.store.in_flight() - own_loads;
        let isolated = self.centres.iter().filter(|one| one.cut).count() as u32;
        let store_loads = match is_isolated {
            true => ISOLATED_STORE_LOADS,
            false => limit.saturating_sub(others.max(isolated * ISOLATED_STORE_LOADS)),
        };
        FleetView {
            engines,
            store_loads,
            store_starts: store_loads,
            adapter_loads: self.site.manifest.store.adapter_loads,
        }
    }

    fn demand_view(&mut self, centre: usize) -> DemandView {
        let (now, wall) = (self.now, self.wall_time());
        let cold = self.centres[centre].cold.demands(now);
        let own = self.engines.iter().filter(|one| one.centre == centre);
        let placed: HashSet<ModelName> =
            own.flat_map(|one| &one.view.models).map(|one| one.model.clone()).collect();
        let mut models = self.demand.view(centre, wall, &self.forecast, cold, &placed);
        for entry in &mut models {
            entry.remote_replicas = self.count_remote_replicas(centre, &entry.model);
            entry.remote_queued = if entry.remote_replicas > 0 { entry.queued } else { 0 };
        }
        DemandView { models }
    }

    fn count_remote_replicas(&self, centre: usize, model: &ModelName) -> u32 {
        let others = self.engines.iter().filter(|one| {
            one.centre != centre
                && one.alive
                && !one.view.leaving
                && self.can_reach(centre, one.centre)
        });
        let models = others.flat_map(|one| &one.view.models);
        models.filter(|one| &one.model == model && one.accepts_work()).count() as u32
    }

    /// Current wall time.
    pub(crate) fn wall_time(&self) -> jiff::Timestamp {
        let offset_s = self.now.since(crate::replay_run::TRACE_START).as_secs() as i64;
        jiff::Timestamp::from_second(self.start_s + offset_s).unwrap_or_default()
    }

    /// Records a violation if a load exceeds the engine's memory or the model's replica limit.
    fn check_limits(&mut self, engine: usize, model: &ModelName) {
        let target = &self.engines[engine];
        let used: u64 = target.view.models.iter().map(PlacedModel::total_mib).sum();
        if used > target.view.memory_mib {
            self.counts.violations.push(format!("{}: memory overcommitted", target.view.upstream));
        }
        let centre = target.centre;
        let own = self.engines.iter().filter(|one| one.centre == centre);
        let placed = own.flat_map(|one| &one.view.models);
        let replicas = placed.filter(|one| &one.model == model).count();
        let max = self.demand.spec(model).map_or(0, |spec| spec.max_replicas);
        if replicas > max as usize {
            self.counts.violations.push(format!("{model}: {replicas} replicas"));
        }
    }

    fn execute(&mut self, centre: usize, step: &PlacementStep) {
        let found = self.engines.iter().position(|one| one.view.upstream == step.upstream);
        let Some(engine) = found else { return };
        let now = self.now;
        self.engines[engine].accrue(now);
        let model = step.action.model().clone();
        match &step.action {
            PlacementAction::Load { memory_mib, version, source, .. } => {
                self.begin_load(engine, &model, *memory_mib, *version, *source);
            }
            PlacementAction::Drain { .. } => {
                if let Some(placed) = self.engines[engine].placed(&model) {
                    placed.draining = Some(now);
                }
                self.announce(engine, &model);
                self.schedule(now + DRAIN_DELAY, ReplayEvent::Plan(centre));
            }
            PlacementAction::Resume { .. } => {
                if let Some(placed) = self.engines[engine].placed(&model) {
                    placed.draining = None;
                }
                self.announce(engine, &model);
            }
            PlacementAction::Unload { .. } => self.begin_unload(engine, &model),
            PlacementAction::LoadAdapter { .. } | PlacementAction::UnloadAdapter { .. } => {}
        }
    }

    fn begin_load(
        &mut self,
        engine: usize,
        model: &ModelName,
        memory_mib: u64,
        version: u32,
        source: CheckpointSource,
    ) {
        self.counts.loads += 1;
        let placed = PlacedModel {
            model: model.clone(),
            version,
            phase: ModelPhase::Loading,
            source,
            memory_mib,
            since: self.now,
            ..PlacedModel::default()
        };
        self.engines[engine].view.models.push(placed);
        self.check_limits(engine, model);
        let load_ms = self.demand.spec(model).map_or(0, |spec| spec.load_ms);
        let share = match source {
            CheckpointSource::Memory => self.site.speed.memory_share,
            CheckpointSource::Disk => self.site.speed.disk_share,
            CheckpointSource::Store => 1.0,
        };
        let span = Duration::from_millis(load_ms).mul_f64(share);
        self.record_load(engine, model, source, span);
        self.store.begin(self.now, engine, model.clone(), source, span);
        self.schedule_loads();
    }

    fn record_load(
        &mut self,
        engine: usize,
        model: &ModelName,
        source: CheckpointSource,
        full_speed: Duration,
    ) {
        let centre = self.engines[engine].centre;
        let own = self.engines.iter().filter(|one| one.centre == centre && one.alive);
        let nearest = own.map(|one| one.view.source(model)).min().unwrap_or_default();
        let here = self.unloads.iter().filter(|((other, ..), _)| *other == centre);
        let of_engine = here.clone().filter(|((_, _, other), _)| *other == engine);
        let of_model = here.filter(|((_, other, _), _)| other == model);
        self.loads.push(LoadRecord {
            engine,
            model: model.clone(),
            source,
            nearest,
            begun: self.now,
            ended: None,
            full_speed,
            memory_freed_at: of_engine.map(|(_, at)| *at).max(),
            slot_freed_at: self.slot_freed_at,
            unloaded_at: of_model.map(|(_, at)| *at).max(),
            expected: self.demand.expected(model),
        });
    }

    fn begin_unload(&mut self, engine: usize, model: &ModelName) {
        self.counts.unloads += 1;
        let running = self.engines[engine].running.iter();
        let used = running.filter(|index| &self.calls[**index].arrival.model == model).count();
        if used > 0 {
            self.counts.violations.push(format!("{model}: unloaded with {used} requests running"));
        }
        if let Some(placed) = self.engines[engine].placed(model) {
            placed.phase = ModelPhase::Unloading;
        }
        let at = self.now + self.site.speed.unload;
        let epoch = self.epochs[engine];
        self.schedule(at, ReplayEvent::Unloaded { engine, model: model.clone(), epoch });
    }

    /// Completes an unload; the checkpoint stays in host memory.
    pub(crate) fn unloaded(&mut self, engine: usize, model: &ModelName, epoch: u64) {
        if epoch != self.epochs[engine] {
            return;
        }
        let speed = self.site.speed;
        let size = |name: &ModelName| self.demand.spec(name).map_or(0, |spec| spec.memory_mib);
        let centre = self.engines[engine].centre;
        self.unloads.insert((centre, model.clone(), engine), self.now);
        let target = &mut self.engines[engine];
        target.accrue(self.now);
        target.view.models.retain(|placed| &placed.model != model);
        target.keep_in_memory(model, &speed, &size);
        self.schedule_plan(self.engines[engine].centre, PLAN_DELAY);
    }

    /// Completes the loads that are done; their checkpoints are kept on disk.
    pub(crate) fn end_loads(&mut self) {
        let speed = self.site.speed;
        let was_full = self.store.in_flight() >= self.site.manifest.store.full_speed_loads;
        let done = self.store.take_done(self.now);
        if was_full && done.iter().any(|load| load.source == CheckpointSource::Store) {
            self.slot_freed_at = Some(self.now);
        }
        for load in done {
            let now = self.now;
            let mut records = self.loads.iter_mut().rev();
            let record = records.find(|one| one.engine == load.engine && one.model == load.model);
            if let Some(record) = record {
                record.ended = Some(now);
            }
            let size = |name: &ModelName| self.demand.spec(name).map_or(0, |spec| spec.memory_mib);
            let target = &mut self.engines[load.engine];
            target.accrue(now);
            target.keep_on_disk(&load.model, &speed, &size);
            if let Some(placed) = target.placed(&load.model) {
                placed.phase = ModelPhase::Loaded;
                placed.since = now;
            }
            let centre = target.centre;
            let taken = now.since(load.since);
            self.centres[centre].placer.observe_load(&load.model, load.source, taken);
            self.announce(load.engine, &load.model);
            for other in 0..self.centres.len() {
                self.schedule_plan(other, PLAN_DELAY);
            }
        }
        self.schedule_loads();
    }

    /// Schedules an update of a model's routes in every data centre, after the delay of the link to
    /// it. The update leaves out engines that the data centre can't reach.
    pub(crate) fn announce(&mut self, engine: usize, model: &ModelName) {
        for centre in 0..self.centres.len() {
            let at = self.now + self.delay(centre, self.engines[engine].centre);
            self.schedule(at, ReplayEvent::UpdateRoutes { centre, model: model.clone() });
        }
    }

    pub(crate) fn update_routes(&mut self, centre: usize, model: &ModelName) {
        let link_ms = self.site.speed.link.as_secs_f64() * 1_000.0;
        let mut replicas = Vec::new();
        for engine in self.engines.iter().filter(|one| one.alive && !one.view.leaving) {
            let takes = |placed: &wheel_policy::PlacedModel| {
                &placed.model == model && placed.accepts_work()
            };
            if self.can_reach(centre, engine.centre) && engine.view.models.iter().any(takes) {
                let is_remote = engine.centre != centre;
                replicas.push(ReplicaView {
                    upstream: engine.view.upstream.clone(),
                    centre: self.site.manifest.centres[engine.centre].name.clone(),
                    slots: engine.view.slots,
                    delay_ms: if is_remote { link_ms } else { 0.0 },
                    ..ReplicaView::default()
                });
            }
        }
        let has_replicas = !replicas.is_empty();
        self.centres[centre].router.set_replicas(model, replicas);
        if has_replicas {
            for request in self.centres[centre].cold.take_ready(model) {
                if let Ok(index) = request.id.as_str().parse::<usize>() {
                    self.dispatch(index);
                }
            }
        }
    }
}
