//! Unreachable upstreams and data centres are avoided, and probed by one request at a time.

use std::sync::Arc;

use wheel_policy::ReachabilityTable;
use wheel_route::EngineId;
use wheel_types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn engine(name: &str) -> EngineId {
    EngineId { name: name.into(), started_unix_ms: 1 }
}

#[test]
fn record_failure_of_one_avoids_only_that_upstream() {
    let (mut table, centre) = (ReachabilityTable::default(), Arc::from("a"));
    table.record_failure(at(0), &engine("x"), &centre);
    assert!(table.is_avoided(at(100), &engine("x"), "a"));
    assert!(
        !table.is_avoided(at(100), &engine("y"), "a"),
        "one failed engine doesn't make the data centre unreachable"
    );
    assert!(!table.is_avoided(at(400), &engine("x"), "a"));
    table.record_failure(at(400), &engine("x"), &centre);
    assert!(table.is_avoided(at(900), &engine("x"), "a"), "the pause has doubled");
}

#[test]
fn record_failure_of_several_avoids_centre() {
    let (mut table, centre) = (ReachabilityTable::default(), Arc::from("a"));
    table.record_failure(at(0), &engine("x"), &centre);
    table.record_failure(at(0), &engine("y"), &centre);
    assert!(table.is_avoided(at(400), &engine("z"), "a"));
    assert!(!table.is_avoided(at(400), &engine("z"), "b"));
    assert!(!table.is_avoided(at(600), &engine("z"), "a"));
    table.begin_probe(at(600), "a");
    assert!(
        table.is_avoided(at(700), &engine("z"), "a"),
        "one request probes, the others avoid it"
    );
    table.record_success(&engine("z"), &centre);
    assert!(!table.is_avoided(at(701), &engine("z"), "a"));
}
