//! The planner's view of demand.

use std::iter;

use jiff::{Timestamp, ToSpan};
use wheel_director::DemandTable;
use wheel_manifest::{
    ActiveManifest, DeploymentManifest, ManifestHash, ModelSpec, RankSpec, ServiceSpec,
};
use wheel_policy::ModelDemand;
use wheel_types::{
    DemandEntry, DemandReport, ManifestRevision, ModelName, MonotonicTime, RequestRank,
};

const HISTORY_DAYS: i64 = 21;

fn manifest() -> ActiveManifest {
    let service = ServiceSpec {
        name: "desk".into(),
        rank: "question".to_owned(),
        callers: vec![],
        models: vec!["summary".into()],
        adapters: vec![],
        depends_on: vec![],
        time_zone: "Europe/Lisbon".to_owned(),
        path_prefix: None,
        idempotent: false,
    };
    let model = ModelSpec {
        name: "summary".into(),
        version: 1,
        memory_mib: 1_024,
        load_ms: 60_000,
        min_replicas: 0,
        max_replicas: 1,
    };
    let rank =
        RankSpec { name: "question".to_owned(), deadline_ms: 8_000, floor_percent: 0, worth: 10.0 };
    let manifest = DeploymentManifest {
        services: vec![service],
        models: vec![model],
        ranks: vec![rank],
        ..DeploymentManifest::default()
    };
    ActiveManifest::new(ManifestRevision(1), ManifestHash::default(), "".into(), manifest)
}

fn report(arrivals: u32) -> DemandReport {
    let entry = DemandEntry {
        model: "summary".into(),
        adapter: None,
        rank: RequestRank::default(),
        arrivals,
        waiting: 0,
        due_in_ms: 0,
    };
    DemandReport { entries: vec![entry] }
}

/// The demand at `at`, after three weeks with 60 requests each day from 9 to 10 o'clock in Lisbon,
/// all before daylight saving time begins on 29 March.
fn demand_at(at: &str) -> Option<ModelDemand> {
    let (table, manifest) = (DemandTable::default(), manifest());
    table.apply_manifest(&manifest);
    let end: Timestamp = at.parse().ok()?;
    let mut minute: Timestamp = "2026-03-07T09:00:00Z".parse().ok()?;
    for _ in 0..HISTORY_DAYS {
        for _ in 0..60 {
            assert!(minute < end, "the history must end before `at`");
            table.record_report(minute, "a1".into(), report(1));
            minute = minute.checked_add(1.minute()).ok()?;
        }
        minute = minute.checked_add(23.hours()).ok()?;
    }
    let view = table.view(MonotonicTime::default(), end, &manifest, iter::empty(), iter::empty());
    let model = ModelName::from("summary");
    view.models.into_iter().find(|demand| demand.model == model)
}

#[test]
fn view_morning_peak_is_expected_on_the_local_clock_after_its_change() {
    let peak = demand_at("2026-03-30T08:05:00Z").unwrap_or_default();
    assert!(peak.expected_soon > 0.1, "{peak:?}");
    assert!((peak.worth - 10.0).abs() < f64::EPSILON, "{peak:?}");
    let night = demand_at("2026-03-30T02:00:00Z").unwrap_or_default();
    assert!(night.expected_soon < 0.1 * peak.expected_soon, "{night:?} against {peak:?}");
}

#[test]
fn view_model_without_history_expects_nothing() {
    let table = DemandTable::default();
    let manifest = manifest();
    table.apply_manifest(&manifest);
    let at = Timestamp::UNIX_EPOCH;
    let view = table.view(MonotonicTime::default(), at, &manifest, iter::empty(), iter::empty());
    assert!(view.models.is_empty(), "{view:?}");
}
