//! Rests of upstreams are kept to their end, and no longer.

use std::time::Duration;

use wheel_policy::RestTable;
use wheel_route::EngineId;
use wheel_types::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn engine(name: &str) -> EngineId {
    EngineId { name: name.into(), started_unix_ms: 1 }
}

#[test]
fn remaining_lasts_until_the_end() {
    let mut table = RestTable::default();
    table.record(at(1_000), &engine("x"), Duration::from_secs(3));
    assert_eq!(table.remaining(at(1_000), &engine("x")), Some(Duration::from_secs(3)));
    assert_eq!(table.remaining(at(3_999), &engine("x")), Some(Duration::from_millis(1)));
    assert_eq!(table.remaining(at(4_000), &engine("x")), None);
    assert_eq!(table.remaining(at(1_000), &engine("y")), None, "another upstream");
}

#[test]
fn record_shorter_rest_keeps_the_longer_one() {
    let mut table = RestTable::default();
    table.record(at(0), &engine("x"), Duration::from_secs(3));
    table.record(at(1_000), &engine("x"), Duration::from_millis(100));
    assert_eq!(table.remaining(at(1_000), &engine("x")), Some(Duration::from_secs(2)));
    table.record(at(2_000), &engine("x"), Duration::from_secs(3));
    assert_eq!(table.remaining(at(2_000), &engine("x")), Some(Duration::from_secs(3)));
}

#[test]
fn record_new_start_has_no_rest() {
    let mut table = RestTable::default();
    table.record(at(0), &engine("x"), Duration::from_secs(3));
    let restarted = EngineId { started_unix_ms: 2, ..engine("x") };
    assert_eq!(table.remaining(at(1), &restarted), None);
}
