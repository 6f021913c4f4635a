//! Loads and unloads planned for the engines of a service, one load pattern per test.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_policy::{DemandLevel, FleetPlan, FleetPlanner, PlanEngine, PlanInput};
use wheel_route::{DemandKey, EngineId, EngineProfile, ModelProfile};
use wheel_types::{ModelChange, MonotonicTime};

const MODELS: usize = 12;

fn name(model: usize) -> Arc<str> {
    format!("m{model}").into()
}

fn profile() -> EngineProfile {
    let models = (0..MODELS).map(|model| ModelProfile {
        name: name(model),
        weights_mb: 70_000.0,
        store_load_time: Duration::from_secs(6),
        memory_load_time: Duration::from_millis(300),
        disk_load_time: Duration::from_millis(400),
        adapter_mb: 12.0,
    });
    EngineProfile {
        slots: 16,
        kv_tokens: 200_000,
        memory_mb: 220_000.0,
        adapter_slots: 2,
        loads_per_s: 4.0,
        models: models.collect(),
    }
}

/// An engine with `models` loaded and the checkpoints of these and of `disk` on its disk.
fn engine(number: usize, centre: &str, models: &[usize], disk: &[usize]) -> PlanEngine {
    let held: Vec<Arc<str>> = models.iter().map(|model| name(*model)).collect();
    PlanEngine {
        id: EngineId { name: format!("e{number}").into(), started_unix_ms: 1 },
        centre: centre.into(),
        accepts_orders: true,
        free_in: Duration::ZERO,
        accepts_work: true,
        contents_known: true,
        possible: held.clone(),
        usable: held.clone(),
        recently_loaded: Vec::new(),
        adapters: Vec::new(),
        in_memory: Vec::new(),
        on_disk: held.into_iter().chain(disk.iter().map(|model| name(*model))).collect(),
        active: 0,
        is_limited: false,
    }
}

fn demand_of(entries: &[(usize, f64, u32)]) -> BTreeMap<DemandKey, DemandLevel> {
    let key = |model| DemandKey { service: "s".into(), model: name(model), adapter: None };
    entries.iter().map(|(model, rate, waiting)| (key(*model), level(*rate, *waiting))).collect()
}

/// Demand that is all lost if the model has to be loaded first.
fn level(rate: f64, waiting: u32) -> DemandLevel {
    DemandLevel { rate, miss_rate: rate, waiting, recent_rate: rate }
}

struct Simulation {
    planner: FleetPlanner,
    profile: EngineProfile,
    engines: Vec<PlanEngine>,
    free_store_loads: usize,
    millis: u64,
}

impl Simulation {
    fn new(engines: Vec<PlanEngine>) -> Self {
        let planner = FleetPlanner::default();
        Self { planner, profile: profile(), engines, free_store_loads: 4, millis: 0 }
    }

    fn plan(&mut self, demand: &BTreeMap<DemandKey, DemandLevel>) -> FleetPlan {
        self.millis += 100;
        let input = PlanInput {
            now: MonotonicTime::from_millis(self.millis),
            profile: &self.profile,
            engines: &self.engines,
            demand,
            free_store_loads: self.free_store_loads,
            store_limit: 4,
            store_waits: &[],
            controls_load: false,
        };
        self.planner.plan(&input)
    }

    /// Carries out all steps at once.
    fn carry_out(&mut self, plan: &FleetPlan) {
        for step in &plan.steps {
            let engine = self.engines.iter_mut().find(|engine| engine.id == step.engine);
            let engine = engine.expect("every step names a known engine");
            match &step.change {
                ModelChange::LoadModel(model) => {
                    engine.possible.push(model.clone());
                    engine.usable.push(model.clone());
                }
                ModelChange::UnloadModel(model) => {
                    engine.possible.retain(|held| held != model);
                    engine.usable.retain(|held| held != model);
                }
                ModelChange::LoadAdapter(model, adapter) => {
                    engine.adapters.push((model.clone(), adapter.clone()));
                }
                ModelChange::UnloadAdapter(model, adapter) => {
                    engine.adapters.retain(|held| *held != (model.clone(), adapter.clone()));
                }
            }
        }
    }

    fn holders(&self, model: usize) -> usize {
        self.engines.iter().filter(|engine| engine.usable.contains(&name(model))).count()
    }
}

fn loads(plan: &FleetPlan) -> Vec<&Arc<str>> {
    let load = |step: &wheel_policy::PlanStep| matches!(step.change, ModelChange::LoadModel(_));
    let loads = plan.steps.iter().filter(|step| load(step));
    loads
        .map(|step| match &step.change {
            ModelChange::LoadModel(model) => model,
            _ => unreachable!("only loads are left"),
        })
        .collect()
}

#[test]
fn plan_freed_memory_is_used() {
    // All engines are full and a request waits for a model that is on a disk: one round unloads,
    // the next one loads.
    let engines = vec![engine(0, "a", &[0, 1, 2], &[5]), engine(1, "b", &[0, 3, 4], &[])];
    let mut simulation = Simulation::new(engines);
    let demand = demand_of(&[(0, 2.0, 0), (5, 0.07, 1)]);
    let first = simulation.plan(&demand);
    assert!(matches!(first.steps[0].change, ModelChange::UnloadModel(_)));
    assert_eq!(&*first.steps[0].engine.name, "e0", "the engine that has the checkpoint");
    simulation.carry_out(&first);
    let second = simulation.plan(&demand);
    assert_eq!(loads(&second)[0], &name(5), "before any prefetched model");
    assert!(!second.steps[0].from_store);
}

#[test]
fn plan_many_cold_models_use_all_engines() {
    // As many rare models wait as there are engines: all engines are used, none stays reserved.
    let engines: Vec<PlanEngine> =
        (0..4).map(|number| engine(number, "a", &[0, 1, 2], &[4, 5, 6, 7])).collect();
    let mut simulation = Simulation::new(engines);
    let demand = demand_of(&[(0, 1.0, 0), (4, 0.07, 1), (5, 0.07, 1), (6, 0.07, 1), (7, 0.07, 1)]);
    for _ in 0..2 {
        let plan = simulation.plan(&demand);
        assert_eq!(plan.steps.len(), 4);
        simulation.carry_out(&plan);
    }
    assert_eq!((4..8).map(|model| simulation.holders(model)).collect::<Vec<_>>(), [1, 1, 1, 1]);
    assert!(simulation.holders(0) >= 1);
}

#[test]
fn plan_disk_checkpoint_before_store() {
    // The only engine with a checkpoint is busy for a moment: the store, twelve times as slow,
    // isn't used.
    let mut with_checkpoint = engine(0, "a", &[0], &[5]);
    with_checkpoint.accepts_orders = false;
    let mut simulation = Simulation::new(vec![with_checkpoint, engine(1, "a", &[0], &[])]);
    let plan = simulation.plan(&demand_of(&[(5, 0.07, 1)]));
    assert!(loads(&plan).iter().all(|model| **model != name(5)));
    let (model, eta) = &plan.backlog[0];
    assert_eq!(*model, name(5));
    assert!(*eta < Duration::from_secs(2));
}

/// All memory is in use, so that each prefetch needs an unload first. The store is slow: a model that
/// is loaded twice takes the place of another one that no disk has.
#[test]
fn plan_prefetches_each_missing_model_once() {
    let models = [[0, 1, 2], [3, 4, 5], [6, 7, 8]];
    let engines = models.iter().enumerate();
    let engines = engines.map(|(number, models)| engine(number, "a", models, &[])).collect();
    let mut simulation = Simulation::new(engines);
    let mut loaded: Vec<Arc<str>> = Vec::new();
    for _ in 0..8 {
        let plan = simulation.plan(&BTreeMap::new());
        loaded.extend(loads(&plan).into_iter().cloned());
        simulation.carry_out(&plan);
        simulation.free_store_loads -= loads(&plan).len().min(simulation.free_store_loads);
    }
    let distinct: std::collections::BTreeSet<&Arc<str>> = loaded.iter().collect();
    assert!(loaded.len() >= 3, "{loaded:?}");
    assert_eq!(distinct.len(), loaded.len(), "{loaded:?}");
}

/// A model that only the store has is requested now and then, while another one stays so busy that
/// further replicas of it are always worth more. The store's only free slot goes to the first one, or
/// it is never served.
#[test]
fn plan_store_serves_a_model_that_no_disk_has_before_a_busy_one() {
    let engines: Vec<PlanEngine> = (0..4)
        .map(|number| PlanEngine { active: 16, ..engine(number, "a", &[0], &[]) })
        .chain((4..8).map(|number| engine(number, "b", &[1, 2], &[])))
        .collect();
    let mut simulation = Simulation::new(engines);
    simulation.free_store_loads = 1;
    let plan = simulation.plan(&demand_of(&[(0, 40.0, 0), (5, 0.1, 1)]));
    let from_store = plan.steps.iter().filter(|step| step.from_store);
    let from_store: Vec<&ModelChange> = from_store.map(|step| &step.change).collect();
    assert_eq!(from_store, [&ModelChange::LoadModel(name(5))], "{:?}", plan.steps);
}

/// Many models wait for an engine that has their checkpoint. One that waits for the store isn't
/// behind them, and its callers must not be told so.
#[test]
fn plan_backlog_for_the_store_excludes_models_that_wait_for_engines() {
    let mut busy = engine(0, "a", &[0, 1, 2], &[3, 4, 5, 6, 7]);
    busy.accepts_orders = false;
    let mut simulation = Simulation::new(vec![busy]);
    simulation.free_store_loads = 0;
    let waiting = [(3, 0.5, 3), (4, 0.5, 3), (5, 0.5, 3), (6, 0.5, 3), (7, 0.5, 3), (9, 0.1, 1)];
    let plan = simulation.plan(&demand_of(&waiting));
    let (_, eta) = plan.backlog.iter().find(|(model, _)| *model == name(9)).expect("it waits");
    assert!(*eta <= Duration::from_secs(6).mul_f64(1.25), "{eta:?}");
}

#[test]
fn plan_backlog_names_models_for_which_memory_is_being_freed() {
    // All memory is taken; a model on the disk is requested. Its engine unloads another one first,
    // which takes until the requests of that end. Callers must hear all the while that it comes.
    let mut simulation = Simulation::new(vec![engine(1, "a", &[0, 1, 2], &[3])]);
    let demand = demand_of(&[(3, 0.2, 1)]);
    let plan = simulation.plan(&demand);
    assert!(matches!(plan.steps[0].change, ModelChange::UnloadModel(_)), "{:?}", plan.steps);
    let is_named = |plan: &FleetPlan| {
        let eta = plan.backlog.iter().find(|(model, _)| *model == name(3)).map(|(_, eta)| *eta);
        eta.is_some_and(|eta| eta < Duration::from_secs(1))
    };
    assert!(is_named(&plan), "{:?}", plan.backlog);
    simulation.engines[0].accepts_orders = false;
    let plan = simulation.plan(&demand);
    assert!(plan.steps.is_empty() && is_named(&plan), "{plan:?}");
}

#[test]
fn plan_backlog_tells_when_store_is_free() {
    // No engine has a checkpoint and the store is full: the backlog tells when each model is
    // expected.
    let mut simulation = Simulation::new(vec![engine(0, "a", &[0], &[])]);
    simulation.free_store_loads = 0;
    let plan = simulation.plan(&demand_of(&[(5, 0.07, 2), (6, 0.07, 1)]));
    assert!(plan.steps.is_empty());
    let models: Vec<&Arc<str>> = plan.backlog.iter().map(|(model, _)| model).collect();
    assert_eq!(models, [&name(5), &name(6)]);
    assert!(plan.backlog[0].1 >= Duration::from_secs(6));
    assert!(plan.backlog[1].1 > plan.backlog[0].1);
}

#[test]
fn plan_busy_model_gets_replica_in_each_centre() {
    // A busy model gets a replica in each data centre, from the store where no disk has a
    // checkpoint, so that each data centre keeps serving it when it is cut off.
    let engines = vec![
        engine(0, "a", &[0, 1, 2], &[]),
        engine(1, "b", &[3, 4, 5], &[]),
        engine(2, "c", &[6, 7, 8], &[]),
    ];
    let mut simulation = Simulation::new(engines);
    let demand = demand_of(&[(0, 20.0, 0)]);
    for _ in 0..8 {
        let plan = simulation.plan(&demand);
        simulation.carry_out(&plan);
    }
    assert_eq!(simulation.holders(0), 3);
}

#[test]
fn plan_keeps_more_requested_models() {
    // A model with one request per minute doesn't displace models with one every second.
    let mut simulation = Simulation::new(vec![engine(0, "a", &[0, 1, 2], &[5])]);
    let demand = demand_of(&[(0, 1.0, 0), (1, 1.0, 0), (2, 1.0, 0), (5, 0.02, 0)]);
    assert!(simulation.plan(&demand).steps.is_empty());
}

#[test]
fn plan_prefetches_while_idle() {
    let mut simulation =
        Simulation::new(vec![engine(0, "a", &[0], &[1, 2]), engine(1, "a", &[0], &[3, 4])]);
    let plan = simulation.plan(&BTreeMap::new());
    assert_eq!(loads(&plan), [&name(5)], "the first that no engine holds");
    // With any demand, the last slot of the store stays free for loads that callers wait for.
    simulation.free_store_loads = 1;
    assert!(simulation.plan(&demand_of(&[(0, 1.0, 0)])).steps.is_empty());
    // Until all engines have reported, it isn't known which models no engine holds.
    simulation.free_store_loads = 4;
    simulation.engines[1].contents_known = false;
    assert!(simulation.plan(&BTreeMap::new()).steps.is_empty());
}

#[test]
fn plan_never_over_memory() {
    let engines = vec![engine(0, "a", &[0, 1, 2], &[3, 4, 5, 6]), engine(1, "b", &[0], &[7, 8])];
    let mut simulation = Simulation::new(engines);
    for round in 0..40_usize {
        let demand = demand_of(&[(0, 3.0, 0), (3 + round % 6, 0.3, 3), (4 + round % 5, 0.2, 1)]);
        let plan = simulation.plan(&demand);
        simulation.carry_out(&plan);
        for engine in &simulation.engines {
            assert!(engine.possible.len() <= 3, "{round}: {:?}", engine.possible);
        }
    }
}

#[test]
fn plan_adapter_displaces_least_requested() {
    let mut simulation = Simulation::new(vec![engine(0, "a", &[0], &[])]);
    simulation.engines[0].adapters = vec![(name(0), "x".into()), (name(0), "y".into())];
    let key = |adapter: &str| DemandKey {
        service: "s".into(),
        model: name(0),
        adapter: Some(adapter.into()),
    };
    let demand = BTreeMap::from([
        (key("x"), level(0.5, 0)),
        (key("y"), level(0.1, 0)),
        (key("z"), level(0.1, 1)),
    ]);
    let plan = simulation.plan(&demand);
    assert_eq!(plan.steps[0].change, ModelChange::UnloadAdapter(name(0), "y".into()));
    simulation.carry_out(&plan);
    let plan = simulation.plan(&demand);
    assert_eq!(plan.steps[0].change, ModelChange::LoadAdapter(name(0), "z".into()));
}

#[test]
fn plan_models_of_patient_callers_displace_each_other() {
    // Models whose callers accept the wait for a load displace each other for a single request:
    // each has a checkpoint on the disk.
    let mut simulation = Simulation::new(vec![engine(0, "a", &[0, 1, 2], &[5])]);
    let mut demand = demand_of(&[(0, 0.5, 0), (1, 0.5, 0), (2, 0.5, 0), (5, 0.5, 1)]);
    assert!(simulation.plan(&demand).steps.is_empty(), "not if each load loses a request");
    demand.values_mut().for_each(|level| level.miss_rate = level.rate / 4.0);
    let plan = simulation.plan(&demand);
    assert!(matches!(plan.steps[0].change, ModelChange::UnloadModel(_)));
}

#[test]
fn plan_recently_loaded_model_stays() {
    // A model that was loaded a moment ago isn't displaced by the next one: its requests are still
    // on their way.
    let mut simulation = Simulation::new(vec![engine(0, "a", &[0, 1, 2], &[5])]);
    simulation.engines[0].recently_loaded = (0..3).map(name).collect();
    let demand = demand_of(&[(5, 0.07, 1)]);
    assert!(simulation.plan(&demand).steps.is_empty());
    simulation.engines[0].recently_loaded.clear();
    assert!(!simulation.plan(&demand).steps.is_empty());
}

#[test]
fn plan_overloaded_model_gets_replicas() {
    // One model has most of the demand and its two engines are overloaded while others are idle: it
    // gets replicas until its requests fill no more than the target share of the batches.
    let mut engines: Vec<PlanEngine> =
        (0..8).map(|number| engine(number, "a", &[1 + number % 4], &[0])).collect();
    for busy in &mut engines[..2] {
        busy.possible.push(name(0));
        busy.usable.push(name(0));
        busy.active = 24;
    }
    let mut simulation = Simulation::new(engines);
    let demand = demand_of(&[(0, 60.0, 0), (1, 0.5, 0), (2, 0.5, 0), (3, 0.5, 0), (4, 0.5, 0)]);
    for _ in 0..12 {
        let plan = simulation.plan(&demand);
        simulation.carry_out(&plan);
    }
    // 48 requests in progress, 0.4 of 16 slots for each engine.
    assert!(simulation.holders(0) >= 7, "{}", simulation.holders(0));
}

#[test]
fn plan_keeps_spare_replicas_before_demand() {
    // Before any request, several replicas show that a model used to be busy: they aren't displaced
    // by a prefetch.
    let engines = vec![engine(0, "a", &[0, 1, 2], &[]), engine(1, "a", &[0, 3, 4], &[])];
    let mut simulation = Simulation::new(engines);
    for _ in 0..6 {
        let plan = simulation.plan(&BTreeMap::new());
        simulation.carry_out(&plan);
    }
    assert_eq!(simulation.holders(0), 2);
}

#[test]
fn plan_store_slot_is_reserved_once() {
    // One slot of the store is free, and memory is being freed for a rare model. No further memory
    // is reserved for loads from the store until that load has started, so that a busier model that
    // is requested meanwhile isn't passed over.
    let engines: Vec<PlanEngine> =
        (0..4).map(|number| engine(number, "a", &[0, 1, 2], &[])).collect();
    let mut simulation = Simulation::new(engines);
    simulation.free_store_loads = 1;
    let demand = demand_of(&[(0, 0.5, 0), (5, 0.3, 1), (6, 0.3, 1), (7, 0.3, 1)]);
    let plan = simulation.plan(&demand);
    assert_eq!(plan.steps.len(), 1, "{:?}", plan.steps);
    assert!(simulation.plan(&demand).steps.is_empty(), "until that load has started");
}

/// The only replica of a requested model is on an engine that takes few requests: all others would
/// wait there or be refused.
#[test]
fn replica_on_a_limited_engine_gets_another_one_elsewhere() {
    let mut engines = vec![engine(1, "a", &[0], &[]), engine(2, "b", &[1], &[0])];
    let demand = demand_of(&[(0, 0.2, 0), (1, 0.2, 0)]);
    let plans_load = |engines: &[PlanEngine]| {
        let mut simulation = Simulation::new(engines.to_vec());
        let plan = simulation.plan(&demand);
        let load = ModelChange::LoadModel(name(0));
        plan.steps.iter().any(|step| step.change == load && &*step.engine.name == "e2")
    };
    engines[1].on_disk.clear();
    engines[1].centre = "a".into();
    assert!(!plans_load(&engines), "one replica is enough");
    engines[0].is_limited = true;
    assert!(plans_load(&engines));
}

/// A model that is on no engine isn't loaded where few requests are taken, if there is room elsewhere.
#[test]
fn load_goes_to_an_engine_without_a_limit() {
    let mut engines = vec![engine(1, "a", &[], &[0]), engine(2, "a", &[], &[])];
    engines[0].is_limited = true;
    let mut simulation = Simulation::new(engines);
    let plan = simulation.plan(&demand_of(&[(0, 0.2, 1)]));
    let load = ModelChange::LoadModel(name(0));
    let loads = plan.steps.iter().filter(|step| step.change == load);
    let loads: Vec<&str> = loads.map(|step| &*step.engine.name).collect();
    assert_eq!(loads, ["e2"]);
}

/// An engine accepts an unload, and refuses the load behind it while requests of the unloaded model run.
/// Were the model then displaced at the next engine as well, none would serve it.
#[test]
fn plan_refused_load_waits_for_the_memory_that_is_being_freed() {
    let mut simulation =
        Simulation::new(vec![engine(0, "a", &[0, 1, 2], &[3]), engine(1, "a", &[0, 1, 2], &[3])]);
    // Models that nobody requests stay in the store.
    simulation.free_store_loads = 0;
    let demand = demand_of(&[(0, 0.01, 0), (1, 3.0, 0), (2, 3.0, 0), (3, 0.2, 1)]);
    let freeing = simulation.plan(&demand);
    let [unload] = &freeing.steps[..] else { panic!("{freeing:?}") };
    assert!(matches!(unload.change, ModelChange::UnloadModel(_)), "{unload:?}");
    let (at, other) = match &*unload.engine.name {
        "e0" => (0, 1),
        _ => (1, 0),
    };
    let before = simulation.engines[at].clone();
    simulation.carry_out(&freeing);
    let loading = simulation.plan(&demand);
    assert_eq!(loads(&loading), [&name(3)]);
    // While the order is on its way it may have been accepted, and then it is refused.
    simulation.engines[at].possible.push(name(3));
    simulation.engines[at].accepts_orders = false;
    assert_eq!(simulation.plan(&demand).steps, []);
    simulation.engines[at] = PlanEngine { accepts_orders: false, ..before };
    for _ in 0..10 {
        let waiting = simulation.plan(&demand);
        assert_eq!(waiting.steps, [], "{:?}", simulation.engines[other]);
    }
    simulation.carry_out(&freeing);
    simulation.engines[at].accepts_orders = true;
    assert_eq!(loads(&simulation.plan(&demand)), [&name(3)], "the memory is free");
}
