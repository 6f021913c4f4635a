//! What engines load and unload next, each test a load pattern.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_policy::{DemandLevel, FleetPlan, FleetPlanner, PlanEngine, PlanInput};
use wheel_route::{DemandKey, EngineId, EngineProfile, ModelProfile};
use wheel_types::{HeldChange, MonotonicTime};

const MODELS: usize = 12;

fn name(model: usize) -> Arc<str> {
    format!("m{model}").into()
}

fn profile() -> EngineProfile {
    let models = (0..MODELS).map(|model| ModelProfile {
        name: name(model),
        weights_mb: 70_000.0,
        load: Duration::from_secs(6),
        warm_load: Duration::from_millis(300),
        disk_load: Duration::from_millis(400),
        adapter_mb: 12.0,
    });
    EngineProfile {
        slots: 16,
        kv_tokens: 200_000,
        weights_mb: 220_000.0,
        adapter_slots: 2,
        loads_per_s: 4.0,
        models: models.collect(),
    }
}

/// An engine that holds `models`, with copies of `disk` and of what it holds on its disk.
fn engine(place: usize, centre: &str, models: &[usize], disk: &[usize]) -> PlanEngine {
    let held: Vec<Arc<str>> = models.iter().map(|model| name(*model)).collect();
    PlanEngine {
        id: EngineId { name: format!("e{place}").into(), started_unix_ms: 1 },
        centre: centre.into(),
        is_free: true,
        takes_work: true,
        is_read: true,
        possible: held.clone(),
        usable: held.clone(),
        fresh: Vec::new(),
        adapters: Vec::new(),
        in_memory: Vec::new(),
        on_disk: held.into_iter().chain(disk.iter().map(|model| name(*model))).collect(),
        active: 0,
    }
}

fn asks(entries: &[(usize, f64, u32)]) -> BTreeMap<DemandKey, DemandLevel> {
    let key = |model| DemandKey { service: "s".into(), model: name(model), adapter: None };
    entries.iter().map(|(model, rate, waiting)| (key(*model), level(*rate, *waiting))).collect()
}

/// Demand all of which is lost where a load is needed.
fn level(rate: f64, waiting: u32) -> DemandLevel {
    DemandLevel { rate, miss_rate: rate, waiting }
}

struct World {
    planner: FleetPlanner,
    profile: EngineProfile,
    engines: Vec<PlanEngine>,
    store_room: usize,
    millis: u64,
}

impl World {
    fn new(engines: Vec<PlanEngine>) -> Self {
        let planner = FleetPlanner::default();
        Self { planner, profile: profile(), engines, store_room: 4, millis: 0 }
    }

    fn plan(&mut self, demand: &BTreeMap<DemandKey, DemandLevel>) -> FleetPlan {
        self.millis += 100;
        let input = PlanInput {
            now: MonotonicTime::from_millis(self.millis),
            profile: &self.profile,
            engines: &self.engines,
            demand,
            store_room: self.store_room,
            store_limit: 4,
        };
        self.planner.plan(&input)
    }

    /// Carries steps out at once.
    fn carry_out(&mut self, plan: &FleetPlan) {
        for step in &plan.steps {
            let engine = self.engines.iter_mut().find(|engine| engine.id == step.engine);
            let engine = engine.expect("steps name engines");
            match &step.change {
                HeldChange::LoadModel(model) => {
                    engine.possible.push(model.clone());
                    engine.usable.push(model.clone());
                }
                HeldChange::UnloadModel(model) => {
                    engine.possible.retain(|held| held != model);
                    engine.usable.retain(|held| held != model);
                }
                HeldChange::LoadAdapter(model, adapter) => {
                    engine.adapters.push((model.clone(), adapter.clone()));
                }
                HeldChange::UnloadAdapter(model, adapter) => {
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
    let load = |step: &wheel_policy::PlanStep| matches!(step.change, HeldChange::LoadModel(_));
    let loads = plan.steps.iter().filter(|step| load(step));
    loads
        .map(|step| match &step.change {
            HeldChange::LoadModel(model) => model,
            _ => unreachable!("only loads are left"),
        })
        .collect()
}

#[test]
fn plan_freed_room_is_used() {
    // Full engines, and a waiting request for a model that is on a disk: unload, then load, in two rounds.
    let engines = vec![engine(0, "a", &[0, 1, 2], &[5]), engine(1, "b", &[0, 3, 4], &[])];
    let mut world = World::new(engines);
    let demand = asks(&[(0, 2.0, 0), (5, 0.07, 1)]);
    let first = world.plan(&demand);
    assert!(matches!(first.steps[0].change, HeldChange::UnloadModel(_)));
    assert_eq!(&*first.steps[0].engine.name, "e0", "the engine that has the copy");
    world.carry_out(&first);
    let second = world.plan(&demand);
    assert_eq!(loads(&second)[0], &name(5), "before anything that is fetched ahead");
    assert!(!second.steps[0].from_store);
}

#[test]
fn plan_many_cold_models_at_once() {
    // As many rare models as there are engines wait at once: all engines work, none stays reserved.
    let engines: Vec<PlanEngine> =
        (0..4).map(|place| engine(place, "a", &[0, 1, 2], &[4, 5, 6, 7])).collect();
    let mut world = World::new(engines);
    let demand = asks(&[(0, 1.0, 0), (4, 0.07, 1), (5, 0.07, 1), (6, 0.07, 1), (7, 0.07, 1)]);
    for _ in 0..2 {
        let plan = world.plan(&demand);
        assert_eq!(plan.steps.len(), 4);
        world.carry_out(&plan);
    }
    assert_eq!((4..8).map(|model| world.holders(model)).collect::<Vec<_>>(), [1, 1, 1, 1]);
    assert!(world.holders(0) >= 1);
}

#[test]
fn plan_disk_copy_before_store() {
    // The only engine with a copy is busy for a moment: the store, twelve times as slow, isn't used.
    let mut with_copy = engine(0, "a", &[0], &[5]);
    with_copy.is_free = false;
    let mut world = World::new(vec![with_copy, engine(1, "a", &[0], &[])]);
    let plan = world.plan(&asks(&[(5, 0.07, 1)]));
    assert!(loads(&plan).iter().all(|model| **model != name(5)));
    let (model, eta) = &plan.backlog[0];
    assert_eq!(*model, name(5));
    assert!(*eta < Duration::from_secs(2));
}

#[test]
fn plan_backlog_of_store() {
    // Nothing has a copy and the store is full: what waits is told when its turn comes.
    let mut world = World::new(vec![engine(0, "a", &[0], &[])]);
    world.store_room = 0;
    let plan = world.plan(&asks(&[(5, 0.07, 2), (6, 0.07, 1)]));
    assert!(plan.steps.is_empty());
    let models: Vec<&Arc<str>> = plan.backlog.iter().map(|(model, _)| model).collect();
    assert_eq!(models, [&name(5), &name(6)]);
    assert!(plan.backlog[0].1 >= Duration::from_secs(6));
    assert!(plan.backlog[1].1 > plan.backlog[0].1);
}

#[test]
fn plan_spreads_busy_model() {
    // A busy model gets a copy in each data centre, from the store where no disk has one, so that each goes
    // on when it is cut off.
    let engines = vec![
        engine(0, "a", &[0, 1, 2], &[]),
        engine(1, "b", &[3, 4, 5], &[]),
        engine(2, "c", &[6, 7, 8], &[]),
    ];
    let mut world = World::new(engines);
    let demand = asks(&[(0, 20.0, 0)]);
    for _ in 0..8 {
        let plan = world.plan(&demand);
        world.carry_out(&plan);
    }
    assert_eq!(world.holders(0), 3);
}

#[test]
fn plan_keeps_what_is_asked_more() {
    // One request in a minute doesn't displace models that are asked for every second.
    let mut world = World::new(vec![engine(0, "a", &[0, 1, 2], &[5])]);
    let demand = asks(&[(0, 1.0, 0), (1, 1.0, 0), (2, 1.0, 0), (5, 0.02, 0)]);
    assert!(world.plan(&demand).steps.is_empty());
}

#[test]
fn plan_fetches_ahead_while_idle() {
    let mut world = World::new(vec![engine(0, "a", &[0], &[1, 2]), engine(1, "a", &[0], &[3, 4])]);
    let plan = world.plan(&BTreeMap::new());
    assert_eq!(loads(&plan), [&name(5)], "the first that stands nowhere");
    // With callers about, the last place at the store stays free for what they wait for.
    world.store_room = 1;
    assert!(world.plan(&asks(&[(0, 1.0, 0)])).steps.is_empty());
    // Before all engines were read it isn't known what stands nowhere.
    world.store_room = 4;
    world.engines[1].is_read = false;
    assert!(world.plan(&BTreeMap::new()).steps.is_empty());
}

#[test]
fn plan_never_over_memory() {
    let engines = vec![engine(0, "a", &[0, 1, 2], &[3, 4, 5, 6]), engine(1, "b", &[0], &[7, 8])];
    let mut world = World::new(engines);
    for round in 0..40_usize {
        let demand = asks(&[(0, 3.0, 0), (3 + round % 6, 0.3, 3), (4 + round % 5, 0.2, 1)]);
        let plan = world.plan(&demand);
        world.carry_out(&plan);
        for engine in &world.engines {
            assert!(engine.possible.len() <= 3, "{round}: {:?}", engine.possible);
        }
    }
}

#[test]
fn plan_adapter_makes_room() {
    let mut world = World::new(vec![engine(0, "a", &[0], &[])]);
    world.engines[0].adapters = vec![(name(0), "x".into()), (name(0), "y".into())];
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
    let plan = world.plan(&demand);
    assert_eq!(plan.steps[0].change, HeldChange::UnloadAdapter(name(0), "y".into()));
    world.carry_out(&plan);
    let plan = world.plan(&demand);
    assert_eq!(plan.steps[0].change, HeldChange::LoadAdapter(name(0), "z".into()));
}

#[test]
fn plan_patient_models_take_turns() {
    // Models whose callers bear a load displace each other for a single request: each has a copy on the disk.
    let mut world = World::new(vec![engine(0, "a", &[0, 1, 2], &[5])]);
    let mut demand = asks(&[(0, 0.5, 0), (1, 0.5, 0), (2, 0.5, 0), (5, 0.5, 1)]);
    assert!(world.plan(&demand).steps.is_empty(), "not where each load is a lost request");
    demand.values_mut().for_each(|level| level.miss_rate = level.rate / 4.0);
    let plan = world.plan(&demand);
    assert!(matches!(plan.steps[0].change, HeldChange::UnloadModel(_)));
}

#[test]
fn plan_fresh_model_stays() {
    // What was loaded a moment ago isn't displaced by the next one: its callers are on their way.
    let mut world = World::new(vec![engine(0, "a", &[0, 1, 2], &[5])]);
    world.engines[0].fresh = (0..3).map(name).collect();
    let demand = asks(&[(5, 0.07, 1)]);
    assert!(world.plan(&demand).steps.is_empty());
    world.engines[0].fresh.clear();
    assert!(!world.plan(&demand).steps.is_empty());
}

#[test]
fn plan_over_full_model_gets_copies() {
    // One model takes most of the demand and its two engines are over full, while others are idle: it gets
    // copies until its share of the batches is bearable.
    let mut engines: Vec<PlanEngine> =
        (0..8).map(|place| engine(place, "a", &[1 + place % 4], &[0])).collect();
    for busy in &mut engines[..2] {
        busy.possible.push(name(0));
        busy.usable.push(name(0));
        busy.active = 24;
    }
    let mut world = World::new(engines);
    let demand = asks(&[(0, 60.0, 0), (1, 0.5, 0), (2, 0.5, 0), (3, 0.5, 0), (4, 0.5, 0)]);
    for _ in 0..12 {
        let plan = world.plan(&demand);
        world.carry_out(&plan);
    }
    // 48 requests under way, 0.4 of 16 slots an engine.
    assert!(world.holders(0) >= 7, "{}", world.holders(0));
}

#[test]
fn plan_keeps_spare_copies_before_demand() {
    // Before anything is asked for, several copies show what used to be busy: they aren't displaced to
    // fetch ahead.
    let engines = vec![engine(0, "a", &[0, 1, 2], &[]), engine(1, "a", &[0, 3, 4], &[])];
    let mut world = World::new(engines);
    for _ in 0..6 {
        let plan = world.plan(&BTreeMap::new());
        world.carry_out(&plan);
    }
    assert_eq!(world.holders(0), 2);
}

#[test]
fn plan_store_room_is_promised_once() {
    // One place at the store, and room is being made for a rare model: a busier one that comes along isn't
    // passed over by several more such promises.
    let engines: Vec<PlanEngine> =
        (0..4).map(|place| engine(place, "a", &[0, 1, 2], &[])).collect();
    let mut world = World::new(engines);
    world.store_room = 1;
    let demand = asks(&[(0, 0.5, 0), (5, 0.3, 1), (6, 0.3, 1), (7, 0.3, 1)]);
    let plan = world.plan(&demand);
    assert_eq!(plan.steps.len(), 1, "{:?}", plan.steps);
    assert!(world.plan(&demand).steps.is_empty(), "until that load has begun");
}
