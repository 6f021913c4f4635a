//! Upstreams and data centres behind a cut are avoided, and tried again one request at a time.

use std::sync::Arc;

use wheel_policy::ReachTable;
use wheel_route::EngineId;
use wheel_types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn engine(name: &str) -> EngineId {
    EngineId { name: name.into(), started_unix_ms: 1 }
}

#[test]
fn note_failure_of_one() {
    let (mut table, centre) = (ReachTable::default(), Arc::from("a"));
    table.note_failure(at(0), &engine("x"), &centre);
    assert!(table.is_avoided(at(100), &engine("x"), "a"));
    assert!(!table.is_avoided(at(100), &engine("y"), "a"), "one dead engine isn't a cut");
    assert!(!table.is_avoided(at(400), &engine("x"), "a"));
    table.note_failure(at(400), &engine("x"), &centre);
    assert!(table.is_avoided(at(900), &engine("x"), "a"), "the pause has doubled");
}

#[test]
fn note_failure_of_centre() {
    let (mut table, centre) = (ReachTable::default(), Arc::from("a"));
    table.note_failure(at(0), &engine("x"), &centre);
    table.note_failure(at(0), &engine("y"), &centre);
    assert!(table.is_avoided(at(400), &engine("z"), "a"));
    assert!(!table.is_avoided(at(400), &engine("z"), "b"));
    assert!(!table.is_avoided(at(600), &engine("z"), "a"));
    table.begin_probe(at(600), "a");
    assert!(table.is_avoided(at(700), &engine("z"), "a"), "one request tries, the others wait");
    table.note_success(&engine("z"), &centre);
    assert!(!table.is_avoided(at(701), &engine("z"), "a"));
}
