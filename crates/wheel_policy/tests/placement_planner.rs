//! Placement: bounds, load order, eviction, dependencies, rollover.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use wheel_manifest::{DeploymentManifest, ModelSpec, RankSpec, ServiceSpec};
use wheel_policy::{
    CheckpointSource, DemandView, EngineView, FleetView, ModelDemand, PlacedModel, PlacementAction,
    PlacementPlanner, PlacementReason, PlacementSettings, PlacementStep, RankDemand,
};
use wheel_types::{ModelName, ModelPhase, MonotonicTime, RequestRank};

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000_000);

fn model(name: &str, memory_mib: u64) -> ModelSpec {
    ModelSpec {
        name: name.into(),
        version: 1,
        memory_mib,
        load_ms: 20_000,
        min_replicas: 0,
        max_replicas: 2,
    }
}

fn manifest(models: Vec<ModelSpec>) -> DeploymentManifest {
    let rank = |name: &str, worth| RankSpec {
        name: name.to_owned(),
        deadline_ms: 60_000,
        floor_percent: 0,
        worth,
    };
    let ranks = vec![rank("question", 10.0), rank("digest", 1.0)];
    DeploymentManifest { models, ranks, ..DeploymentManifest::default() }
}

fn planner(manifest: &DeploymentManifest) -> PlacementPlanner {
    PlacementPlanner::open(PlacementSettings::default(), manifest)
}

fn engine(name: &str, models: Vec<PlacedModel>) -> EngineView {
    EngineView { upstream: name.into(), memory_mib: 100, slots: 4, models, ..EngineView::default() }
}

fn fleet(engines: Vec<EngineView>) -> FleetView {
    FleetView { engines, store_loads: 2, store_starts: 2, adapter_loads: 32 }
}

fn loaded(name: &str, memory_mib: u64) -> PlacedModel {
    PlacedModel { model: name.into(), memory_mib, ..PlacedModel::default() }
}

fn waiting(name: &str, rank: u8, count: u32) -> ModelDemand {
    let one = RankDemand {
        rank: RequestRank(rank),
        count,
        oldest_arrival: NOW,
        earliest_deadline: NOW + Duration::from_secs(60),
    };
    ModelDemand { model: name.into(), waiting: vec![one], ..ModelDemand::default() }
}

fn demand(models: Vec<ModelDemand>) -> DemandView {
    DemandView { models }
}

fn loads(steps: &[PlacementStep]) -> Vec<String> {
    let load = |step: &PlacementStep| match &step.action {
        PlacementAction::Load { model, .. } => Some(format!("{model}@{}", step.upstream)),
        _ => None,
    };
    steps.iter().filter_map(load).collect()
}

fn drains(steps: &[PlacementStep]) -> Vec<String> {
    let drain = |step: &PlacementStep| match &step.action {
        PlacementAction::Drain { model, .. } => Some(format!("{model}@{}", step.upstream)),
        _ => None,
    };
    steps.iter().filter_map(drain).collect()
}

#[test]
fn plan_burst_orders_one_load() {
    let mut planner = planner(&manifest(vec![model("walks", 40)]));
    let mut view = fleet(vec![engine("a", vec![]), engine("b", vec![])]);
    let steps = planner.plan(NOW, &view, &demand(vec![waiting("walks", 0, 500)]));
    assert_eq!(loads(&steps).len(), 1);
    let loading = PlacedModel { phase: ModelPhase::Loading, since: NOW, ..loaded("walks", 40) };
    view.engines[0].models.push(loading);
    let later = NOW + Duration::from_secs(300);
    let steps = planner.plan(later, &view, &demand(vec![waiting("walks", 0, 900)]));
    assert_eq!(loads(&steps), Vec::<String>::new(), "a slow load isn't ordered twice");
}

#[test]
fn plan_busy_model_stays_within_max_replicas() {
    let mut planner = planner(&manifest(vec![model("walks", 40)]));
    let busy = ModelDemand { queued: 100, ..waiting("walks", 0, 0) };
    let used = || PlacedModel { in_use: 104, ..loaded("walks", 40) };
    let drains = PlacedModel { draining: Some(NOW), ..used() };
    let mut view = fleet(vec![engine("a", vec![used()]), engine("b", vec![])]);
    assert_eq!(loads(&planner.plan(NOW, &view, &demand(vec![busy.clone()]))), ["walks@b"]);
    view.engines[1].models.push(drains);
    view.engines.push(engine("c", vec![]));
    let steps = planner.plan(NOW, &view, &demand(vec![busy]));
    assert_eq!(loads(&steps), Vec::<String>::new(), "a draining replica counts as well");
}

#[test]
fn plan_model_busy_in_other_centres_is_loaded_where_slots_are_free() {
    let flooded = |queued| ModelDemand {
        remote_replicas: 2,
        remote_queued: queued,
        worth: 10.0,
        ..waiting("walks", 0, 0)
    };
    let plan = |models: Vec<PlacedModel>, demands: Vec<ModelDemand>| {
        let view = fleet(vec![engine("a", models)]);
        let manifest = manifest(vec![model("walks", 40), model("maps", 40)]);
        loads(&planner(&manifest).plan(NOW, &view, &demand(demands)))
    };
    assert_eq!(plan(vec![], vec![flooded(9)]), ["walks@a"], "more than 2 engines serve at once");
    assert_eq!(plan(vec![], vec![flooded(8)]), Vec::<String>::new(), "served there soon");
    let used = PlacedModel { in_use: 4, ..loaded("maps", 40) };
    assert_eq!(plan(vec![used], vec![flooded(9)]), Vec::<String>::new(), "no slot is free here");
    let digests = ModelDemand { worth: 1.0, ..flooded(9) };
    assert_eq!(plan(vec![], vec![digests]), Vec::<String>::new(), "models of lower worth wait");
}

#[test]
fn plan_store_slots_go_by_value_over_time() {
    let models = ["digests", "walks", "tides"].map(|name| model(name, 10));
    let mut planner = planner(&manifest(models.to_vec()));
    let view = fleet(vec![engine("a", vec![])]);
    let wants = vec![waiting("digests", 1, 3), waiting("walks", 0, 1), waiting("tides", 0, 2)];
    let steps = planner.plan(NOW, &view, &demand(wants));
    assert_eq!(loads(&steps), ["tides@a", "walks@a"]);
}

#[test]
fn plan_nearer_checkpoint_is_chosen() {
    let mut planner = planner(&manifest(vec![model("walks", 40)]));
    let near = EngineView { memory_checkpoints: vec!["walks".into()], ..engine("b", vec![]) };
    let view = fleet(vec![engine("a", vec![]), near]);
    let steps = planner.plan(NOW, &view, &demand(vec![waiting("walks", 0, 1)]));
    assert_eq!(loads(&steps), ["walks@b"]);
    let PlacementAction::Load { source, .. } = &steps[0].action else { panic!("{steps:?}") };
    assert_eq!(*source, CheckpointSource::Memory);
}

#[test]
fn plan_eviction_drains_first_then_loads() {
    let manifest = manifest(vec![model("walks", 60), model("old", 60)]);
    let mut planner = planner(&manifest);
    let mut view = fleet(vec![engine("a", vec![loaded("old", 60)])]);
    let wants = demand(vec![waiting("walks", 0, 1)]);
    let steps = planner.plan(NOW, &view, &wants);
    assert_eq!((drains(&steps), loads(&steps).len()), (vec!["old@a".to_owned()], 0));
    view.engines[0].models[0].draining = Some(NOW);
    view.engines[0].models[0].in_use = 1;
    let later = NOW + Duration::from_secs(1);
    assert_eq!(planner.plan(later, &view, &wants), vec![], "a model in use stays");
    view.engines[0].models[0].in_use = 0;
    let steps = planner.plan(later, &view, &wants);
    assert!(matches!(steps[0].action, PlacementAction::Unload { .. }), "{steps:?}");
    view.engines[0].models[0].phase = ModelPhase::Unloading;
    assert_eq!(planner.plan(later, &view, &wants), vec![], "the memory isn't confirmed to be free");
    view.engines[0].models.clear();
    assert_eq!(loads(&planner.plan(later, &view, &wants)), ["walks@a"]);
}

#[test]
fn plan_young_and_used_models_stay() {
    let manifest = manifest(vec![model("walks", 60), model("young", 60), model("used", 60)]);
    let mut planner = planner(&manifest);
    let young = PlacedModel { since: NOW, ..loaded("young", 60) };
    let used = PlacedModel { in_use: 1, ..loaded("used", 60) };
    let view = fleet(vec![engine("a", vec![young]), engine("b", vec![used])]);
    assert_eq!(planner.plan(NOW, &view, &demand(vec![waiting("walks", 0, 9)])), vec![]);
}

#[test]
fn plan_reserved_memory_counts() {
    let mut planner = planner(&manifest(vec![model("walks", 60)]));
    let unknown = EngineView { reserved_mib: 50, ..engine("a", vec![]) };
    let steps = planner.plan(NOW, &fleet(vec![unknown]), &demand(vec![waiting("walks", 0, 1)]));
    assert_eq!(steps, vec![]);
}

#[test]
fn plan_forecast_leaves_last_slot_and_waits_behind_demand() {
    let models = ["walks", "tides", "dawn"].map(|name| model(name, 10));
    let mut planner = planner(&manifest(models.to_vec()));
    let hot = PlacedModel { in_use: 1, ..loaded("hot", 10) };
    let view = fleet(vec![engine("a", vec![hot])]);
    let soon = |name: &str| ModelDemand {
        expected_soon: 1.0,
        hourly_rate: 60.0,
        ..ModelDemand { model: name.into(), ..ModelDemand::default() }
    };
    let steps = planner.plan(NOW, &view, &demand(vec![soon("dawn"), soon("tides")]));
    assert_eq!(loads(&steps).len(), 1, "one of two slots stays free: {steps:?}");
    let wants = vec![waiting("walks", 0, 1), soon("dawn"), soon("tides")];
    let steps = planner.plan(NOW, &view, &demand(wants));
    assert_eq!(loads(&steps), ["walks@a"]);
}

#[test]
fn plan_dependencies_are_loaded_all_or_none() {
    let service = |name: &str, model: &str, depends_on: Vec<&str>| ServiceSpec {
        name: name.into(),
        rank: "question".to_owned(),
        callers: vec![],
        models: vec![model.into()],
        adapters: vec![],
        depends_on: depends_on.into_iter().map(Into::into).collect(),
        time_zone: "UTC".to_owned(),
        path_prefix: None,
        idempotent: false,
    };
    let mut manifest = manifest(vec![model("walks", 60), model("embed", 60)]);
    manifest.services =
        vec![service("search", "embed", vec![]), service("desk", "walks", vec!["search"])];
    let mut planner = planner(&manifest);
    let wants = demand(vec![waiting("walks", 0, 1)]);
    let small = fleet(vec![engine("a", vec![])]);
    assert_eq!(
        planner.plan(NOW, &small, &wants),
        vec![],
        "a model without its dependency is of no use"
    );
    let large = fleet(vec![engine("a", vec![]), engine("b", vec![])]);
    assert_eq!(loads(&planner.plan(NOW, &large, &wants)).len(), 2);
}

#[test]
fn plan_rollover_loads_then_drains() {
    let mut manifest = manifest(vec![model("walks", 60)]);
    manifest.models[0].version = 2;
    let mut planner = planner(&manifest);
    let old = PlacedModel { in_use: 1, ..loaded("walks", 60) };
    let mut view = fleet(vec![engine("a", vec![old]), engine("b", vec![])]);
    let steps = planner.plan(NOW, &view, &DemandView::default());
    assert_eq!((loads(&steps), drains(&steps)), (vec!["walks@b".to_owned()], vec![]));
    view.engines[1].models.push(PlacedModel { version: 2, since: NOW, ..loaded("walks", 60) });
    let steps = planner.plan(NOW, &view, &DemandView::default());
    assert_eq!(drains(&steps), ["walks@a"]);
}

/// With one replica allowed, the plan drained the new version as one too many and the old one as
/// replaced, where the new one's engine came first: nothing was left to serve.
#[test]
fn plan_rollover_within_max_replicas_drains_only_the_old_version() {
    let mut manifest = manifest(vec![model("walks", 60)]);
    (manifest.models[0].version, manifest.models[0].max_replicas) = (2, 1);
    let mut planner = planner(&manifest);
    let at = |version| PlacedModel { version, in_use: 1, ..loaded("walks", 60) };
    for (first, second, old) in [(1, 2, "walks@a"), (2, 1, "walks@b")] {
        let view = fleet(vec![engine("a", vec![at(first)]), engine("b", vec![at(second)])]);
        assert_eq!(drains(&planner.plan(NOW, &view, &DemandView::default())), [old]);
    }
}

/// Instances send requests to a new version once its owner has reported it. If the old one drained
/// before, their requests would wait for a load.
#[test]
fn plan_rollover_keeps_the_old_version_until_the_new_one_is_reported() {
    let mut manifest = manifest(vec![model("walks", 60)]);
    manifest.models[0].version = 2;
    let mut planner = planner(&manifest);
    let old = PlacedModel { in_use: 1, ..loaded("walks", 60) };
    let new = PlacedModel { version: 2, is_reported: false, since: NOW, ..loaded("walks", 60) };
    let mut view = fleet(vec![engine("a", vec![old]), engine("b", vec![new])]);
    for max_replicas in [1, 2] {
        manifest.models[0].max_replicas = max_replicas;
        planner.set_manifest(&manifest);
        assert_eq!(planner.plan(NOW, &view, &DemandView::default()), vec![]);
    }
    view.engines[1].models[0].is_reported = true;
    assert_eq!(drains(&planner.plan(NOW, &view, &DemandView::default())), ["walks@a"]);
}

#[test]
fn plan_idle_engine_is_emptied_as_a_whole() {
    let mut planner = planner(&manifest(vec![model("walks", 10), model("tides", 10)]));
    let used = PlacedModel { in_use: 1, ..loaded("walks", 10) };
    let view = fleet(vec![
        engine("a", vec![used, loaded("tides", 10)]),
        engine("b", vec![loaded("walks", 10), loaded("tides", 10)]),
    ]);
    let steps = planner.plan(NOW, &view, &DemandView::default());
    assert_eq!(drains(&steps), ["walks@b", "tides@b"]);
    assert!(steps.iter().all(|step| step.reason == PlacementReason::Idle));
}

/// Carries out a step as an engine would, checking every bound.
fn carry_out(view: &mut FleetView, step: &PlacementStep, now: MonotonicTime) {
    let engine = view.engines.iter_mut().find(|engine| engine.upstream == step.upstream);
    let Some(engine) = engine else { panic!("no such engine: {step:?}") };
    let free_mib = engine.free_mib();
    let model = step.action.model();
    let placed = engine.models.iter_mut().find(|placed| &placed.model == model);
    match (&step.action, placed) {
        (PlacementAction::Load { memory_mib, .. }, None) => {
            assert!(free_mib >= *memory_mib, "memory overcommitted: {step:?}");
            let phase = ModelPhase::Loading;
            let placed = loaded(model.as_str(), *memory_mib);
            engine.models.push(PlacedModel { phase, since: now, ..placed });
        }
        (PlacementAction::Drain { .. }, Some(placed)) => placed.draining = Some(now),
        (PlacementAction::Resume { .. }, Some(placed)) => placed.draining = None,
        (PlacementAction::Unload { .. }, Some(placed)) => {
            assert_eq!(placed.in_use, 0, "a model in use was unloaded");
            assert!(placed.draining.is_some());
            placed.phase = ModelPhase::Unloading;
        }
        _ => panic!("a step that doesn't fit the engine: {step:?}"),
    }
}

/// One random event between two plans.
fn disturb(view: &mut FleetView, draw: u64, now: MonotonicTime) {
    let count = view.engines.len() as u64;
    let engine = &mut view.engines[(draw % count) as usize];
    let Some(placed) = engine.models.first_mut() else { return };
    match (draw / count) % 4 {
        0 if placed.phase == ModelPhase::Loading => {
            placed.phase = ModelPhase::Loaded;
            placed.since = now;
        }
        0 if placed.phase == ModelPhase::Unloading => {
            engine.models.remove(0);
        }
        1 if placed.phase == ModelPhase::Loaded => placed.in_use = 1,
        2 => placed.in_use = 0,
        3 if draw.is_multiple_of(7) => engine.models.clear(),
        _ => engine.models.rotate_left(1),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn plan_random_events_keep_every_bound(draws in prop::collection::vec(any::<u64>(), 100..300)) {
        let names: Vec<String> = (0..8).map(|n| format!("m{n}")).collect();
        let models = names.iter().enumerate().map(|(n, name)| model(name, 20 + 10 * n as u64));
        let manifest = manifest(models.collect());
        let mut planner = planner(&manifest);
        let mut view = fleet((0..4).map(|n| engine(&format!("e{n}"), vec![])).collect());
        let mut now = NOW;
        for draw in draws {
            now = now + Duration::from_secs(draw % 40);
            disturb(&mut view, draw >> 8, now);
            let wanted = &names[(draw >> 32) as usize % names.len()];
            let wants = demand(vec![waiting(wanted, (draw >> 40) as u8 % 2, 3)]);
            for step in planner.plan(now, &view, &wants) {
                carry_out(&mut view, &step, now);
            }
            let mut replicas: HashMap<&ModelName, u32> = HashMap::new();
            for placed in view.engines.iter().flat_map(|engine| &engine.models) {
                *replicas.entry(&placed.model).or_default() += 1;
            }
            prop_assert!(replicas.values().all(|count| *count <= 2), "{replicas:?}");
        }
    }
}

/// A model that the forecast expects some time today, far below what a forecast load needs.
fn expected_today(name: &str) -> ModelDemand {
    ModelDemand {
        model: name.into(),
        hourly_rate: 0.1,
        expected_soon: 0.02,
        worth: 10.0,
        ..ModelDemand::default()
    }
}

/// Plans and carries out until nothing changes, each plan a second after the one before; returns
/// the loads.
fn settle(
    planner: &mut PlacementPlanner,
    view: &mut FleetView,
    demand: &DemandView,
) -> Vec<String> {
    let mut ordered = Vec::new();
    for second in 1..=60 {
        let now = NOW + Duration::from_secs(second);
        let steps = planner.plan(now, view, demand);
        ordered.extend(loads(&steps));
        for step in &steps {
            carry_out(view, step, now);
        }
        for engine in &mut view.engines {
            end_phases(engine, now);
        }
    }
    ordered
}

/// Ends an engine's loads and unloads; its host keeps one checkpoint in memory and all on disk.
fn end_phases(engine: &mut EngineView, now: MonotonicTime) {
    for placed in engine.models.iter_mut().filter(|one| one.phase == ModelPhase::Loading) {
        placed.phase = ModelPhase::Loaded;
        placed.since = now;
        engine.disk_checkpoints.push(placed.model.clone());
    }
    for placed in engine.models.iter().filter(|one| one.phase == ModelPhase::Unloading) {
        engine.memory_checkpoints = vec![placed.model.clone()];
    }
    engine.models.retain(|one| one.phase != ModelPhase::Unloading);
}

#[test]
fn plan_quiet_night_brings_checkpoints_from_the_store_near() {
    let mut planner = planner(&manifest(vec![model("walks", 40), model("tours", 60)]));
    let mut view = fleet(vec![engine("a", vec![]), engine("b", vec![])]);
    let demand = demand(vec![expected_today("walks"), expected_today("tours")]);
    let ordered = settle(&mut planner, &mut view, &demand);
    assert_eq!(ordered.len(), 2, "each is loaded once: {ordered:?}");
    for name in ["walks", "tours"] {
        let source = view.engines.iter().map(|engine| engine.source(&name.into())).min();
        assert_eq!(source, Some(CheckpointSource::Memory), "{name}");
    }
    assert!(view.engines.iter().all(|engine| engine.models.is_empty()), "none stays loaded");
}

#[test]
fn plan_checkpoint_pushed_out_of_memory_comes_back() {
    let mut planner = planner(&manifest(vec![model("walks", 40)]));
    let near = EngineView { disk_checkpoints: vec!["walks".into()], ..engine("b", vec![]) };
    let mut view = fleet(vec![engine("a", vec![]), near]);
    let demand = demand(vec![expected_today("walks")]);
    assert_eq!(settle(&mut planner, &mut view, &demand), ["walks@b"], "from its disk");
    view.engines[1].memory_checkpoints.clear();
    let later = planner.plan(NOW + Duration::from_secs(90), &view, &demand);
    assert_eq!(loads(&later), ["walks@b"]);
}

#[test]
fn plan_staging_waits_behind_demand() {
    let mut planner = planner(&manifest(vec![model("walks", 40), model("tours", 60)]));
    let view = fleet(vec![engine("a", vec![]), engine("b", vec![])]);
    let demand = demand(vec![expected_today("walks"), waiting("tours", 0, 1)]);
    let steps = planner.plan(NOW, &view, &demand);
    assert_eq!(loads(&steps).len(), 1, "{steps:?}");
    assert!(loads(&steps)[0].starts_with("tours@"), "{steps:?}");
}

/// An engine whose host keeps no checkpoints would else load and unload for ever.
#[test]
fn plan_staging_in_vain_is_not_repeated() {
    let mut planner = planner(&manifest(vec![model("walks", 40)]));
    let mut view = fleet(vec![engine("a", vec![])]);
    let demand = demand(vec![expected_today("walks")]);
    let mut ordered = Vec::new();
    for second in 1..=60 {
        let now = NOW + Duration::from_secs(second);
        let steps = planner.plan(now, &view, &demand);
        ordered.extend(loads(&steps));
        for step in &steps {
            carry_out(&mut view, step, now);
        }
        end_phases(&mut view.engines[0], now);
        view.engines[0].memory_checkpoints.clear();
        view.engines[0].disk_checkpoints.clear();
    }
    assert_eq!(ordered, ["walks@a"]);
}

/// Otherwise each staged load opens an engine for forecast loads, which keep it in use.
#[test]
fn plan_engine_that_only_stages_counts_as_unused() {
    let mut planner = planner(&manifest(vec![model("walks", 20), model("tours", 20)]));
    let mut view = fleet(vec![engine("a", vec![])]);
    let steps = planner.plan(NOW, &view, &demand(vec![expected_today("walks")]));
    assert_eq!(loads(&steps), ["walks@a"]);
    carry_out(&mut view, &steps[0], NOW);
    let soon = ModelDemand { expected_soon: 0.1, hourly_rate: 0.6, ..expected_today("tours") };
    let later = NOW + Duration::from_secs(1);
    let steps = planner.plan(later, &view, &demand(vec![expected_today("walks"), soon]));
    assert_eq!(loads(&steps), Vec::<String>::new(), "{steps:?}");
}

/// One request of low worth waited 15.6 s for the store, although an engine had the checkpoint in memory
/// and could evict an idle model.
#[test]
fn plan_near_checkpoint_is_worth_an_eviction() {
    let mut planner = planner(&manifest(vec![model("walks", 60), model("tours", 60)]));
    let near = EngineView {
        memory_checkpoints: vec!["walks".into()],
        ..engine("a", vec![loaded("tours", 60)])
    };
    let view = fleet(vec![near, engine("b", vec![])]);
    let idle = ModelDemand { hourly_rate: 0.4, worth: 10.0, ..waiting("tours", 0, 0) };
    let demand = demand(vec![waiting("walks", 1, 1), idle]);
    let steps = planner.plan(NOW, &view, &demand);
    assert_eq!((loads(&steps), drains(&steps)), (vec![], vec!["tours@a".to_owned()]));
}
