//! The part of a replay that places models.

use std::collections::HashSet;
use std::time::Duration;

use wheel_policy::{
    CheckpointSource, DemandView, FleetView, PlacedModel, PlacementAction, PlacementStep,
    ReplicaView,
};
use wheel_types::{ModelName, ModelPhase};

use crate::replay_run::{PLAN_DELAY, ReplayEvent, ReplayRun};

/// Time until a drained replica may be unloaded.
const DRAIN_DELAY: Duration = Duration::from_millis(210);
/// Loads from the store that a data centre may have in flight while it is cut off.
const SAFE_SHARE: u32 = 1;

impl<'a> ReplayRun<'a> {
    /// Plans in a data centre and carries out the steps.
    pub(crate) fn plan(&mut self, centre: usize) {
        let fleet = self.fleet_view(centre);
        let demand = self.demand_view(centre);
        for step in self.centres[centre].placer.plan(self.now, &fleet, &demand) {
            self.carry_out(centre, &step);
        }
    }

    fn fleet_view(&self, centre: usize) -> FleetView {
        let own = self.engines.iter().filter(|one| one.centre == centre && one.alive);
        let engines: Vec<_> = own.map(|one| one.view.clone()).collect();
        let loading = engines.iter().flat_map(|engine| &engine.models).filter(|placed| {
            placed.phase == ModelPhase::Loading && placed.source == CheckpointSource::Store
        });
        let own_loads = loading.count() as u32;
        let limit = self.site.text.store.full_speed_loads;
        let alone =
            (0..self.centres.len()).all(|other| other == centre || !self.reaches(centre, other));
        let others = self.store.in_flight() - own_loads;
        let cut = self.centres.iter().filter(|one| one.cut).count() as u32;
        let store_loads = match alone {
            true => SAFE_SHARE,
            false => limit.saturating_sub(others.max(cut * SAFE_SHARE)),
        };
        FleetView {
            engines,
            store_loads,
            store_starts: store_loads,
            adapter_loads: self.site.text.store.adapter_loads,
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
            entry.remote_replicas = self.ready_elsewhere(centre, &entry.model);
            entry.remote_queued = if entry.remote_replicas > 0 { entry.queued } else { 0 };
        }
        DemandView { models }
    }

    fn ready_elsewhere(&self, centre: usize, model: &ModelName) -> u32 {
        let others = self.engines.iter().filter(|one| {
            one.centre != centre
                && one.alive
                && !one.view.leaving
                && self.reaches(centre, one.centre)
        });
        let models = others.flat_map(|one| &one.view.models);
        models.filter(|one| &one.model == model && one.accepts_work()).count() as u32
    }

    /// Wall time of the present moment.
    pub(crate) fn wall_time(&self) -> jiff::Timestamp {
        let offset_s = self.now.since(crate::replay_run::TRACE_START).as_secs() as i64;
        jiff::Timestamp::from_second(self.start_s + offset_s).unwrap_or_default()
    }

    /// Notes every bound that a load has broken.
    fn check(&mut self, engine: usize, model: &ModelName) {
        let host = &self.engines[engine];
        let used: u64 = host.view.models.iter().map(PlacedModel::total_mib).sum();
        if used > host.view.memory_mib {
            self.counts.broken.push(format!("{}: memory overcommitted", host.view.upstream));
        }
        let centre = host.centre;
        let own = self.engines.iter().filter(|one| one.centre == centre);
        let placed = own.flat_map(|one| &one.view.models);
        let held = placed.filter(|one| &one.model == model).count();
        let max = self.demand.spec(model).map_or(0, |spec| spec.max_replicas);
        if held > max as usize {
            self.counts.broken.push(format!("{model}: {held} replicas"));
        }
    }

    fn carry_out(&mut self, centre: usize, step: &PlacementStep) {
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
        self.check(engine, model);
        let load_ms = self.demand.spec(model).map_or(0, |spec| spec.load_ms);
        let share = match source {
            CheckpointSource::Memory => self.site.speed.memory_share,
            CheckpointSource::Disk => self.site.speed.disk_share,
            CheckpointSource::Store => 1.0,
        };
        let span = Duration::from_millis(load_ms).mul_f64(share);
        self.store.begin(self.now, engine, model.clone(), source, span);
        self.schedule_loads();
    }

    fn begin_unload(&mut self, engine: usize, model: &ModelName) {
        self.counts.unloads += 1;
        let running = self.engines[engine].running.iter();
        let used = running.filter(|index| &self.calls[**index].arrival.model == model).count();
        if used > 0 {
            self.counts.broken.push(format!("{model}: unloaded with {used} requests running"));
        }
        if let Some(placed) = self.engines[engine].placed(model) {
            placed.phase = ModelPhase::Unloading;
        }
        let at = self.now + self.site.speed.unload;
        let epoch = self.epochs[engine];
        self.schedule(at, ReplayEvent::Unloaded { engine, model: model.clone(), epoch });
    }

    /// Ends an unload.
    pub(crate) fn unloaded(&mut self, engine: usize, model: &ModelName, epoch: u64) {
        if epoch != self.epochs[engine] {
            return;
        }
        let speed = self.site.speed;
        let size = |name: &ModelName| self.demand.spec(name).map_or(0, |spec| spec.memory_mib);
        let host = &mut self.engines[engine];
        host.accrue(self.now);
        host.view.models.retain(|placed| &placed.model != model);
        host.keep_in_memory(model, &speed, &size);
        self.plan_soon(self.engines[engine].centre, PLAN_DELAY);
    }

    /// Ends the loads that are done.
    pub(crate) fn end_loads(&mut self) {
        let speed = self.site.speed;
        for load in self.store.take_done(self.now) {
            let now = self.now;
            let size = |name: &ModelName| self.demand.spec(name).map_or(0, |spec| spec.memory_mib);
            let host = &mut self.engines[load.engine];
            host.accrue(now);
            host.keep_on_disk(&load.model, &speed, &size);
            if let Some(placed) = host.placed(&load.model) {
                placed.phase = ModelPhase::Loaded;
                placed.since = now;
            }
            let centre = host.centre;
            let taken = now.since(load.since);
            self.centres[centre].placer.observe_load(&load.model, load.source, taken);
            self.announce(load.engine, &load.model);
            for place in 0..self.centres.len() {
                self.plan_soon(place, PLAN_DELAY);
            }
        }
        self.schedule_loads();
    }

    /// Tells every data centre of a change of a model's replicas, as far as news reaches it.
    pub(crate) fn announce(&mut self, engine: usize, model: &ModelName) {
        for centre in 0..self.centres.len() {
            let at = self.now + self.delay(centre, self.engines[engine].centre);
            self.schedule(at, ReplayEvent::Routes { centre, model: model.clone() });
        }
    }

    pub(crate) fn update_routes(&mut self, centre: usize, model: &ModelName) {
        let link_ms = self.site.speed.link.as_secs_f64() * 1_000.0;
        let mut replicas = Vec::new();
        for engine in self.engines.iter().filter(|one| one.alive && !one.view.leaving) {
            let takes = |placed: &wheel_policy::PlacedModel| {
                &placed.model == model && placed.accepts_work()
            };
            if self.reaches(centre, engine.centre) && engine.view.models.iter().any(takes) {
                let far = engine.centre != centre;
                replicas.push(ReplicaView {
                    upstream: engine.view.upstream.clone(),
                    centre: self.site.text.centres[engine.centre].name.clone(),
                    slots: engine.view.slots,
                    delay_ms: if far { link_ms } else { 0.0 },
                    ..ReplicaView::default()
                });
            }
        }
        let ready = !replicas.is_empty();
        self.centres[centre].router.set_replicas(model, replicas);
        if ready {
            for request in self.centres[centre].cold.take_ready(model) {
                if let Ok(index) = request.id.as_str().parse::<usize>() {
                    self.dispatch(index);
                }
            }
        }
    }
}
