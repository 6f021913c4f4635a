//! Routing, outlier detection, retry budgets and hedging.

use std::time::Duration;

use wheel_policy::{
    BudgetSettings, EngineRouter, HedgeDecision, HedgePolicy, HedgeQuery, OutlierDetector,
    OutlierSettings, ReplicaView, RetryBudget, RouteDecision, RouteQuery, RouteReason,
};
use wheel_types::{LoadReport, ModelName, MonotonicTime, RequestRank, UpstreamName};

fn replica(upstream: &str, delay_ms: f64) -> ReplicaView {
    ReplicaView { upstream: upstream.into(), slots: 4, delay_ms, ..ReplicaView::default() }
}

fn open_router(replicas: Vec<ReplicaView>) -> EngineRouter {
    let mut router = EngineRouter::open(OutlierSettings::default(), 1);
    router.set_replicas(&model(), replicas);
    router
}

fn model() -> ModelName {
    "walks".into()
}

fn query() -> RouteQuery {
    RouteQuery { model: model(), ..RouteQuery::default() }
}

fn chosen(answer: &RouteDecision) -> &str {
    match answer {
        RouteDecision::Engine { upstream, .. } => upstream.as_str(),
        _ => "none",
    }
}

#[test]
fn choose_no_replica_is_cold() {
    let mut router = open_router(vec![ReplicaView { accepts_work: false, ..replica("a", 0.0) }]);
    assert_eq!(router.choose(MonotonicTime::default(), &query()), RouteDecision::Cold);
}

#[test]
fn choose_lagging_report_counts_sends() {
    let mut router = open_router(vec![replica("near", 0.0), replica("far", 4.0)]);
    let now = MonotonicTime::from_millis(1_000);
    let stale = LoadReport { age_ms: 500, ..LoadReport::default() };
    let mut picks = Vec::new();
    for _ in 0..8 {
        let answer = router.choose(now, &query());
        let upstream: UpstreamName = chosen(&answer).into();
        router.record_sent(now, &upstream, None);
        router.observe_load(now, &upstream, stale);
        picks.push(upstream.to_string());
    }
    assert_eq!(picks[0], "near");
    assert_eq!(picks.iter().filter(|pick| *pick == "far").count(), 4, "{picks:?}");
}

#[test]
fn choose_fresh_report_replaces_sends() {
    let mut router = open_router(vec![replica("near", 0.0), replica("far", 4.0)]);
    let sent = MonotonicTime::from_millis(1_000);
    for _ in 0..8 {
        router.record_sent(sent, &"near".into(), None);
    }
    let now = MonotonicTime::from_millis(2_000);
    assert_eq!(chosen(&router.choose(now, &query())), "far");
    router.observe_load(now, &"near".into(), LoadReport::default());
    assert_eq!(chosen(&router.choose(now, &query())), "near");
}

#[test]
fn choose_less_urgent_queue_keeps_no_urgent_away() {
    let mut router = open_router(vec![replica("digests", 0.0), replica("questions", 0.0)]);
    let now = MonotonicTime::default();
    for (upstream, rank, count) in [("digests", 2, 100), ("questions", 0, 12)] {
        for _ in 0..count {
            router.record_sent(now, &upstream.into(), None);
            router.record_rank(&upstream.into(), RequestRank(rank), true);
        }
    }
    assert_eq!(chosen(&router.choose(now, &query())), "digests");
    let digest = RouteQuery { rank: RequestRank(2), ..query() };
    assert_eq!(chosen(&router.choose(now, &digest)), "questions");
}

#[test]
fn choose_prefix_is_hint_only() {
    let mut router = open_router(vec![replica("a", 0.0), replica("b", 0.0)]);
    let now = MonotonicTime::default();
    router.record_sent(now, &"b".into(), Some(7));
    let query = RouteQuery { prefix: Some(7), ..query() };
    let answer = router.choose(now, &query);
    assert!(matches!(&answer, RouteDecision::Engine { reason: RouteReason::CachedPrefix, .. }));
    assert_eq!(chosen(&answer), "b");
    for _ in 0..8 {
        router.record_sent(now, &"b".into(), None);
    }
    assert_eq!(chosen(&router.choose(now, &query)), "a");
}

#[test]
fn choose_adapter_prefers_holder() {
    let holder = ReplicaView { adapters: vec!["thai".into()], ..replica("b", 0.0) };
    let mut router = open_router(vec![replica("a", 0.0), holder]);
    let query = RouteQuery { adapter: Some("thai".into()), ..query() };
    assert_eq!(chosen(&router.choose(MonotonicTime::default(), &query)), "b");
}

#[test]
fn choose_tried_replicas_exhausted() {
    let mut router = open_router(vec![replica("a", 0.0)]);
    let query = RouteQuery { tried: vec!["a".into()], ..query() };
    assert_eq!(router.choose(MonotonicTime::default(), &query), RouteDecision::Exhausted);
}

#[test]
fn observe_failures_ejects_probes_and_readmits() {
    let mut router = open_router((0..4).map(|n| replica(&format!("e{n}"), 0.0)).collect());
    let span = Duration::from_millis(100);
    let start = MonotonicTime::default();
    for n in 0..4 {
        router.record_end(start, &format!("e{n}").as_str().into(), span, true);
    }
    for _ in 0..5 {
        router.record_end(start, &"e0".into(), span, false);
    }
    assert!(router.outliers().is_ejected(start, &"e0".into()));
    assert_ne!(chosen(&router.choose(start, &query())), "e0");
    let later = start + Duration::from_secs(6);
    let probe = router.choose(later, &query());
    assert!(matches!(&probe, RouteDecision::Engine { reason: RouteReason::Probe, .. }));
    assert_ne!(chosen(&router.choose(later, &query())), "e0", "one probe at a time");
    router.record_end(later, &"e0".into(), span, true);
    assert_eq!(router.outliers().ejected(), 0);
}

#[test]
fn choose_only_replica_ejected_is_used_still() {
    let mut router = open_router(vec![replica("e0", 0.0)]);
    let others = (1..4).map(|n| replica(&format!("e{n}"), 0.0)).collect();
    router.set_replicas(&"other".into(), others);
    let now = MonotonicTime::default();
    let span = Duration::from_millis(100);
    for n in 0..4 {
        router.record_end(now, &format!("e{n}").as_str().into(), span, true);
    }
    for _ in 0..5 {
        router.record_end(now, &"e0".into(), span, false);
    }
    assert!(router.outliers().is_ejected(now, &"e0".into()));
    assert_eq!(chosen(&router.choose(now, &query())), "e0");
}

#[test]
fn observe_slow_upstream_is_ejected() {
    let mut router = open_router((0..4).map(|n| replica(&format!("e{n}"), 0.0)).collect());
    let now = MonotonicTime::default();
    for round in 0..80_u64 {
        let name = format!("e{}", round % 4);
        let latency = Duration::from_millis(if round % 4 == 0 { 5_000 } else { 50 });
        router.record_first_byte(&name.as_str().into(), latency);
        router.record_end(now, &name.as_str().into(), Duration::from_secs(1), true);
    }
    assert!(!router.outliers().is_ejected(now, &"e1".into()));
    let slow = router.outliers().is_ejected(now, &"e0".into());
    assert!(slow, "a hundred times slower than the others");
}

#[test]
fn observe_all_failing_ejects_no_more_than_share() {
    let mut detector = OutlierDetector::open(OutlierSettings::default());
    let now = MonotonicTime::default();
    let names: Vec<UpstreamName> = (0..10).map(|n| format!("e{n}").as_str().into()).collect();
    for _ in 0..20 {
        for name in &names {
            detector.observe(now, name, Duration::from_millis(100), false);
        }
    }
    assert_eq!(detector.ejected(), 3);
}

#[test]
fn try_retry_bounded_by_share() {
    let mut budget = RetryBudget::open(BudgetSettings { share: 0.1, reserve: 2.0 });
    let upstream: UpstreamName = "a".into();
    let mut allowed = 0;
    for _ in 0..1_000 {
        budget.record_request(&upstream);
        allowed += u32::from(budget.try_retry(&upstream));
    }
    assert!((100..=103).contains(&allowed), "{allowed}");
}

#[test]
fn decide_hedges_only_urgent_idempotent_within_budget() {
    let policy = HedgePolicy::default();
    let mut budget = RetryBudget::open(BudgetSettings { share: 0.0, reserve: 1.0 });
    let now = MonotonicTime::from_millis(600);
    let query = HedgeQuery {
        rank: RequestRank(0),
        idempotent: true,
        sent: MonotonicTime::default(),
        deadline: MonotonicTime::from_millis(1_400),
        hedge_upstream: "b".into(),
    };
    let lower = HedgeQuery { rank: RequestRank(1), ..query.clone() };
    let once = HedgeQuery { idempotent: false, ..query.clone() };
    assert_eq!(policy.decide(now, &lower, &mut budget), HedgeDecision::Never);
    assert_eq!(policy.decide(now, &once, &mut budget), HedgeDecision::Never);
    let early = policy.decide(MonotonicTime::from_millis(100), &query, &mut budget);
    assert_eq!(early, HedgeDecision::Wait(MonotonicTime::from_millis(500)));
    assert_eq!(policy.decide(now, &query, &mut budget), HedgeDecision::Send);
    assert_eq!(policy.decide(now, &query, &mut budget), HedgeDecision::Never, "budget is spent");
}
