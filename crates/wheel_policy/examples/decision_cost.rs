//! Measures the time of one decision and prints it as CSV: offering and taking a request, choosing
//! a replica and planning placement, for 100 to 10,000 engines and 940 and 9,400 models.
//!
//! Run it with `cargo run --release -p wheel_policy --example decision_cost`.

use std::time::{Duration, Instant};

use wheel_manifest::{DeploymentManifest, ModelSpec, RankSpec};
use wheel_policy::{
    DemandView, EngineQueue, EngineRouter, EngineView, FleetView, ModelDemand, OutlierSettings,
    PlacedModel, PlacementPlanner, PlacementSettings, QueueSettings, QueuedRequest, RankDemand,
    ReplicaView, RouteQuery, SeededRandom, SlotSample,
};
use wheel_types::{ModelName, MonotonicTime, RequestId, RequestRank};

const ENGINES: [usize; 3] = [100, 1_000, 10_000];
const MODELS: [usize; 2] = [940, 9_400];
const ROUNDS: usize = 20_000;
const PLANS: usize = 20;
const REPLICAS: usize = 3;
const WAITING: usize = 20;
const NOW: MonotonicTime = MonotonicTime::from_millis(100_000_000);

fn main() {
    println!("decision,engines,models,waiting,nanoseconds");
    for waiting in [10, 100, 1_000, 10_000] {
        println!("offer+take,1,1,{waiting},{}", queue_cost(waiting).as_nanos());
    }
    for engines in ENGINES {
        for models in MODELS {
            let route = route_cost(engines, models);
            println!("choose,{engines},{models},0,{}", route.as_nanos());
            let plan = plan_cost(engines, models);
            println!("plan,{engines},{models},{WAITING},{}", plan.as_nanos());
        }
    }
}

fn ranks() -> Vec<RankSpec> {
    let rank = |name: &str, floor_percent| RankSpec {
        name: name.to_owned(),
        deadline_ms: 1_000_000,
        floor_percent,
        worth: 1.0,
    };
    vec![rank("question", 0), rank("booking", 15), rank("digest", 10)]
}

fn request(number: usize) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::new(number.to_string()),
        caller: format!("caller-{}", number % 100).as_str().into(),
        rank: RequestRank((number % 3) as u8),
        deadline: NOW + Duration::from_secs(1_000_000),
        cost: Duration::from_millis(1),
        ..QueuedRequest::default()
    }
}

fn queue_cost(waiting: usize) -> Duration {
    let limits =
        QueueSettings { rank_capacity: 20_000, caller_capacity: 20_000, ..Default::default() };
    let mut queue = EngineQueue::open(limits.with_slots(1).with_ranks(ranks()));
    for number in 0..waiting {
        let _ = queue.offer(NOW, request(number));
    }
    let requests: Vec<QueuedRequest> = (waiting..waiting + ROUNDS).map(request).collect();
    let begin = Instant::now();
    for request in requests {
        let _ = queue.offer(NOW, request);
        if let Some(taken) = queue.take_next(NOW) {
            queue.finish(NOW, &taken.id, SlotSample::default());
        }
    }
    begin.elapsed() / ROUNDS as u32
}

fn model_name(index: usize) -> ModelName {
    format!("model-{index}").as_str().into()
}

fn route_cost(engines: usize, models: usize) -> Duration {
    let mut router = EngineRouter::open(OutlierSettings::default(), 1);
    let mut random = SeededRandom::new(1);
    for model in 0..models {
        let replica = |_| ReplicaView {
            upstream: format!("engine-{}", random.next_below(engines)).as_str().into(),
            slots: 64,
            ..ReplicaView::default()
        };
        let replicas = (0..REPLICAS).map(replica).collect();
        router.set_replicas(&model_name(model), replicas);
    }
    let queries: Vec<RouteQuery> = (0..ROUNDS)
        .map(|_| RouteQuery {
            model: model_name(random.next_below(models)),
            ..RouteQuery::default()
        })
        .collect();
    let begin = Instant::now();
    for query in &queries {
        std::hint::black_box(router.choose(NOW, query));
    }
    begin.elapsed() / ROUNDS as u32
}

fn plan_cost(engines: usize, models: usize) -> Duration {
    let spec = |index| ModelSpec {
        name: model_name(index),
        version: 1,
        memory_mib: 20_000,
        load_ms: 10_000,
        min_replicas: 0,
        max_replicas: 8,
    };
    let manifest = DeploymentManifest {
        models: (0..models).map(spec).collect(),
        ranks: ranks(),
        ..DeploymentManifest::default()
    };
    let mut random = SeededRandom::new(2);
    let engine = |index: usize| EngineView {
        upstream: format!("engine-{index}").as_str().into(),
        memory_mib: 100_000,
        accelerators: 8,
        slots: 64,
        models: (0..4).map(|_| placed(random.next_below(models / 2))).collect(),
        ..EngineView::default()
    };
    let engines = (0..engines).map(engine).collect();
    let fleet = FleetView { engines, store_loads: 4, store_starts: 4, adapter_loads: 32 };
    let demand =
        DemandView { models: (0..WAITING).map(|index| waiting(models - 1 - index)).collect() };
    let mut planner = PlacementPlanner::open(PlacementSettings::default(), &manifest);
    let begin = Instant::now();
    for _ in 0..PLANS {
        std::hint::black_box(planner.plan(NOW, &fleet, &demand));
    }
    begin.elapsed() / PLANS as u32
}

fn placed(model: usize) -> PlacedModel {
    PlacedModel {
        model: model_name(model),
        memory_mib: 20_000,
        in_use: 1,
        ..PlacedModel::default()
    }
}

fn waiting(model: usize) -> ModelDemand {
    let rank = RankDemand {
        rank: RequestRank(0),
        count: 3,
        oldest_arrival: NOW,
        earliest_deadline: NOW + Duration::from_secs(15),
    };
    ModelDemand { model: model_name(model), waiting: vec![rank], ..ModelDemand::default() }
}
