//! One holder at a time, with increasing numbers.

#![allow(clippy::unwrap_used)]

mod common;

use wheel_lease::{HolderInput, LeaseDecision, LeaseHolder, LeaseObstacle, RequestKind};
use wheel_types::{FencingNumber, MonotonicTime};

use crate::common::{Grantors, at, grantor_set, open_holder};

const ALL: &[usize] = &[0, 1, 2];

/// Grantors and a holder that got number 1 at 5 s.
fn start() -> (Grantors, LeaseHolder) {
    let mut grantors = Grantors::open();
    let mut holder = open_holder("a", at(5_000));
    grantors.drive(at(5_000), &mut holder, HolderInput::Tick, ALL);
    assert_eq!(holder.authority(at(5_000)).unwrap().number, FencingNumber(1));
    (grantors, holder)
}

/// Ticks `holder` at its requested times, from `from` until `until`.
fn run(
    grantors: &mut Grantors,
    holder: &mut LeaseHolder,
    from: u64,
    until: u64,
    reachable: &[usize],
) {
    let mut now = at(from);
    while now <= at(until) {
        grantors.drive(now, holder, HolderInput::Tick, reachable);
        let soon = MonotonicTime::from_micros(now.as_micros() + 100_000);
        now =
            holder.next_tick().max(soon).min(MonotonicTime::from_micros(now.as_micros() + 500_000));
    }
}

#[test]
fn step_renews_before_the_end() {
    let (mut grantors, mut holder) = start();
    run(&mut grantors, &mut holder, 5_000, 20_000, ALL);
    let authority = holder.authority(at(20_000)).unwrap();
    assert_eq!((authority.number, authority.began), (FencingNumber(1), at(5_000)));
    assert!(authority.ends > at(21_000));
}

#[test]
fn authority_ends_before_the_grants() {
    let (mut grantors, mut holder) = start();
    for now in [5_500, 6_200, 7_000, 7_699] {
        grantors.drive(at(now), &mut holder, HolderInput::Tick, &[0]);
        assert!(holder.authority(at(now)).is_some(), "at {now}");
    }
    assert_eq!(holder.authority(at(7_700)), None);
    let mut other = open_holder("b", at(7_999));
    grantors.drive(at(7_999), &mut other, HolderInput::Tick, &[1, 2]);
    assert_eq!(other.authority(at(7_999)), None);
    grantors.drive(at(8_300), &mut other, HolderInput::Tick, &[1, 2]);
    assert_eq!(other.authority(at(8_300)).unwrap().number, FencingNumber(2));
}

#[test]
fn authority_after_a_gap_needs_a_renewal() {
    let (mut grantors, mut holder) = start();
    assert_eq!(holder.authority(at(6_500)), None, "not stepped for 1.5 s");
    grantors.drive(at(6_500), &mut holder, HolderInput::Tick, &[]);
    assert_eq!(holder.authority(at(6_500)), None, "stepped, not renewed");
    run(&mut grantors, &mut holder, 6_600, 7_600, ALL);
    assert_eq!(holder.authority(at(7_600)).unwrap().number, FencingNumber(1));
}

#[test]
fn release_frees_the_lease_at_once() {
    let (mut grantors, mut holder) = start();
    grantors.drive(at(5_100), &mut holder, HolderInput::Release, ALL);
    assert_eq!(holder.authority(at(5_100)), None);
    let mut other = open_holder("b", at(5_200));
    grantors.drive(at(5_200), &mut other, HolderInput::Tick, ALL);
    assert_eq!(other.authority(at(5_200)).unwrap().number, FencingNumber(2));
}

#[test]
fn learned_number_is_exceeded_without_a_break() {
    let (mut grantors, mut holder) = start();
    grantors.drive(at(5_100), &mut holder, HolderInput::Learned(FencingNumber(1)), ALL);
    let raised = holder.authority(at(5_100)).unwrap();
    assert!(raised.number > FencingNumber(1));
    assert_eq!(raised.began, at(5_000));
    grantors.drive(at(5_200), &mut holder, HolderInput::Learned(FencingNumber(40)), ALL);
    assert!(holder.authority(at(5_200)).unwrap().number > FencingNumber(40));
}

#[test]
fn answer_after_restart_waits_out_lease_and_orders() {
    let (mut grantors, mut holder) = start();
    let (restarted, mut other) = (at(5_100), open_holder("c", at(10_099)));
    grantors.restart(1, restarted);
    grantors.restart(2, restarted);
    grantors.drive(at(10_099), &mut other, HolderInput::Tick, &[1, 2]);
    assert_eq!(other.authority(at(10_099)), None);
    grantors.drive(at(10_400), &mut other, HolderInput::Tick, &[1, 2]);
    assert!(other.authority(at(10_400)).is_some());
    grantors.drive(at(10_400), &mut holder, HolderInput::Tick, ALL);
    assert_eq!(holder.authority(at(10_400)), None);
}

#[test]
fn answer_late_duplicates_neither_extend_nor_restore() {
    let (mut grantors, mut holder) = start();
    let outputs = holder.step(at(6_000), HolderInput::Tick);
    let wheel_lease::HolderOutput::Send { request, .. } = outputs[0].clone() else { panic!() };
    assert_eq!(request.kind, RequestKind::Renew);
    let grantor = &mut grantors.0[0].1;
    assert_eq!(grantor.answer(at(6_000), &request).decision, LeaseDecision::Granted);
    assert_eq!(grantor.answer(at(8_500), &request).decision, LeaseDecision::Granted);
    let late = grantor.answer(at(9_000), &request);
    let obstacle = LeaseObstacle::Stale;
    assert!(matches!(late.decision, LeaseDecision::Refused { obstacle: o, .. } if o == obstacle));
    assert_eq!(late.holder, None);
}

#[test]
fn answer_older_grantor_set_is_refused() {
    let (mut grantors, mut holder) = start();
    grantors.0[1].1.adopt(2);
    grantors.0[2].1.adopt(2);
    run(&mut grantors, &mut holder, 5_100, 7_600, ALL);
    assert_eq!(holder.authority(at(7_700)), None, "a majority uses the newer set");
    let changed = HolderInput::SetChanged(grantor_set(2, &["b", "c"]));
    grantors.drive(at(7_700), &mut holder, changed, ALL);
    run(&mut grantors, &mut holder, 7_700, 9_000, ALL);
    assert_eq!(holder.authority(at(9_000)).unwrap().epoch, 2);
}

#[test]
fn may_precede_allows_one_change_at_a_time() {
    let set = grantor_set(1, &["a", "b"]);
    assert!(set.may_precede(&grantor_set(2, &["a"])));
    assert!(set.may_precede(&grantor_set(2, &["a", "b", "c"])));
    assert!(!set.may_precede(&grantor_set(2, &["a", "c"])));
    assert!(!set.may_precede(&grantor_set(1, &["a"])));
}
