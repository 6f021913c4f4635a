//! Upstreams end under requests, and the parts of all requests that were open there look alike. Only the
//! part that ends them may be barred, and none where upstreams end for other reasons.

use std::time::Duration;

use wheel_policy::CrashLedger;
use wheel_route::{CrashedPart, EngineId, UpstreamCrash};
use wheel_types::MonotonicTime;

/// The part under which upstreams end.
const BAD: u64 = 0xbad;
/// A first part that most requests share.
const FIRST: u64 = 0xa1;

fn start() -> MonotonicTime {
    MonotonicTime::from_millis(1_000_000)
}

/// The end of an upstream at present, under requests that were sent `sent_ms` ago.
fn crash(engine: u64, parts: &[u64], sent_ms: u64) -> UpstreamCrash {
    let part =
        |(position, id): (u32, &u64)| CrashedPart { id: *id, position, sent_age_ms: sent_ms };
    UpstreamCrash {
        engine: EngineId { name: format!("u{engine}").into(), started_unix_ms: 1 },
        age_ms: 0,
        parts: (0..).zip(parts).map(part).collect(),
    }
}

/// The barred parts after the reports about watched parts have arrived.
fn barred(ledger: &mut CrashLedger, now: MonotonicTime) -> Vec<u64> {
    ledger.update(now);
    ledger.barred(now).into_iter().map(|part| part.id).collect()
}

/// A ledger that has barred [`BAD`], and the time.
fn barring_ledger() -> (CrashLedger, MonotonicTime) {
    let mut ledger = CrashLedger::default();
    let mut now = start();
    for engine in 0..4 {
        ledger.record_crash(now, &crash(engine, &[FIRST, BAD], 60));
        now = now + Duration::from_millis(100);
    }
    ledger.record_sound(now, FIRST, Duration::ZERO);
    now = now + Duration::from_millis(1_500);
    assert_eq!(barred(&mut ledger, now), [BAD]);
    (ledger, now)
}

#[test]
fn crashes_seen_by_different_instances_bar_their_common_part() {
    // Each end has other requests beside the one with the part, which end well elsewhere later on.
    let mut ledger = CrashLedger::default();
    let mut now = start();
    for engine in 0..5 {
        let others = [FIRST, BAD, 100 + engine, 200 + engine % 2];
        ledger.record_crash(now, &crash(engine, &others, 60));
        now = now + Duration::from_millis(700);
        ledger.record_sound(now, FIRST, Duration::ZERO);
    }
    assert_eq!(barred(&mut ledger, now), [BAD]);
}

#[test]
fn crashes_in_a_total_outage_bar_the_more_specific_part() {
    // No request ends well, so that the first part is in all ends, too.
    let mut ledger = CrashLedger::default();
    let mut now = start();
    for engine in 0..4 {
        ledger.record_crash(now, &crash(engine, &[FIRST, BAD], 60));
        now = now + Duration::from_millis(100);
    }
    assert_eq!(barred(&mut ledger, now + Duration::from_millis(1_500)), [BAD]);
}

#[test]
fn crashes_of_many_upstreams_at_once_bar_nothing() {
    // A data centre is lost: all requests were sent before that.
    let mut ledger = CrashLedger::default();
    for engine in 0..20 {
        ledger.record_crash(start(), &crash(engine, &[FIRST, 7, 8], 50 + engine));
    }
    assert_eq!(barred(&mut ledger, start() + Duration::from_secs(2)), [0_u64; 0]);
}

#[test]
fn crashes_between_requests_that_end_well_bar_nothing() {
    // Upstreams are replaced or fail one after another, while requests go on elsewhere.
    let mut ledger = CrashLedger::default();
    let mut now = start();
    for engine in 0..20 {
        ledger.record_crash(now, &crash(engine, &[FIRST, 7], 60));
        now = now + Duration::from_millis(500);
        ledger.record_sound(now, FIRST, Duration::ZERO);
        ledger.record_sound(now, 7, Duration::from_millis(100));
        assert_eq!(barred(&mut ledger, now), [0_u64; 0]);
    }
}

#[test]
fn crash_reported_again_counts_once() {
    let mut ledger = CrashLedger::default();
    let mut now = start();
    for _ in 0..10 {
        ledger.record_crash(now, &crash(1, &[FIRST, BAD], 10));
        now = now + Duration::from_millis(300);
    }
    assert_eq!(barred(&mut ledger, now), [0_u64; 0]);
}

#[test]
fn barred_part_is_released_after_the_last_request() {
    let (mut ledger, mut now) = barring_ledger();
    for _ in 0..5 {
        now = now + Duration::from_secs(6);
        ledger.record_request(now, BAD);
        assert_eq!(barred(&mut ledger, now), [BAD], "requests with it keep coming");
    }
    now = now + Duration::from_secs(11);
    assert_eq!(barred(&mut ledger, now), [0_u64; 0]);
}

#[test]
fn barred_part_is_released_when_a_request_ends_well() {
    let (mut ledger, now) = barring_ledger();
    ledger.record_sound(now, BAD, Duration::from_secs(5));
    assert_eq!(barred(&mut ledger, now), [BAD], "that was before");
    let now = now + Duration::from_secs(1);
    ledger.record_sound(now, BAD, Duration::ZERO);
    assert_eq!(barred(&mut ledger, now), [0_u64; 0]);
}

#[test]
fn barred_part_is_released_after_a_while() {
    // If the suspicion is wrong, requests with the part may keep coming for ever.
    let (mut ledger, mut now) = barring_ledger();
    for _ in 0..61 {
        now = now + Duration::from_secs(1);
        ledger.record_request(now, BAD);
    }
    assert_eq!(barred(&mut ledger, now), [0_u64; 0]);
}

#[test]
fn barred_parts_are_kept_when_the_leader_changes() {
    let (leader, now) = barring_ledger();
    let mut follower = CrashLedger::default();
    follower.replace_barred(now, &leader.barred(now));
    let now = now + Duration::from_secs(5);
    assert_eq!(barred(&mut follower, now), [BAD]);
}

#[test]
fn second_part_is_barred_beside_the_first() {
    let (mut ledger, mut now) = barring_ledger();
    for engine in 10..14 {
        ledger.record_crash(now, &crash(engine, &[FIRST, 0xbad2], 60));
        now = now + Duration::from_millis(400);
        ledger.record_sound(now, FIRST, Duration::ZERO);
        ledger.record_request(now, BAD);
    }
    assert_eq!(barred(&mut ledger, now + Duration::from_millis(800)), [BAD, 0xbad2]);
}

#[test]
fn reports_without_end_stay_bounded() {
    let mut ledger = CrashLedger::default();
    for engine in 0..1_000 {
        let parts: Vec<u64> = (0..1_000).map(|part| engine * 1_000 + part).collect();
        ledger.record_crash(start() + Duration::from_millis(engine), &crash(engine, &parts, 1));
    }
    ledger.update(start() + Duration::from_secs(2));
    assert!(format!("{ledger:?}").len() < 1 << 20);
}
