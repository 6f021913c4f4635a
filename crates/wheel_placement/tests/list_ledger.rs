//! An entry of the list that can't be used must take nothing from what is known of upstreams.

#![allow(clippy::expect_used)]

use wheel_placement::{ListLedger, ListRead, MergedList, OddEntry, OddEntryLog, OddKind};
use wheel_route::{EngineId, EngineInfo, UpstreamState};
use wheel_types::MonotonicTime;

fn seconds(count: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000 * (count + 100))
}

/// An upstream with a state, by its id, start, service and port.
fn upstream(name: &str, born: u64, service: &str, port: u16) -> EngineInfo {
    EngineInfo {
        id: EngineId { name: name.into(), started_unix_ms: born },
        service: service.into(),
        address: ([10, 0, 0, 1], port).into(),
        centre: "a".into(),
        slots: 8,
        state: UpstreamState::Ready,
        models: Vec::new(),
    }
}

fn draining(info: &EngineInfo) -> EngineInfo {
    EngineInfo { state: UpstreamState::Draining, ..info.clone() }
}

fn odd(name: Option<&str>) -> OddEntry {
    let name = name.map(Into::into);
    OddEntry { name, ..OddEntry::new(0, OddKind::Unreadable, "a reason") }
}

fn list(engines: &[EngineInfo], odd: &[OddEntry]) -> ListRead {
    ListRead { engines: engines.to_vec(), odd: odd.to_vec(), is_cut: false }
}

fn kinds(merged: &MergedList) -> Vec<OddKind> {
    merged.odd.iter().map(|entry| entry.kind).collect()
}

/// The drain that was seen stays, too.
#[test]
fn merge_unreadable_entry_keeps_known_state() {
    let (left, right) = (draining(&upstream("l", 1, "s", 1)), upstream("r", 1, "s", 2));
    let mut ledger = ListLedger::default();
    ledger.merge(seconds(0), list(&[left.clone(), right.clone()], &[]));
    let merged = ledger.merge(seconds(1), list(&[draining(&right)], &[odd(Some("l"))]));
    assert_eq!(merged.engines, [draining(&right), left.clone()]);
    assert_eq!(merged.kept, std::slice::from_ref(&left.id));
    let merged = ledger.merge(seconds(30), list(&[draining(&right)], &[odd(Some("l"))]));
    assert_eq!((merged.engines.len(), merged.kept.len()), (2, 0), "it is kept for 30 s");
    let merged = ledger.merge(seconds(32), list(&[draining(&right)], &[odd(Some("l"))]));
    assert_eq!(merged.engines, [draining(&right)]);
    assert_eq!(merged.dropped, [left.id]);
}

#[test]
fn merge_unnamed_entry_keeps_what_vanished_with_its_arrival() {
    let (left, right) = (upstream("l", 1, "s", 1), upstream("r", 1, "s", 2));
    let mut ledger = ListLedger::default();
    ledger.merge(seconds(0), list(&[left.clone(), right.clone()], &[]));
    let merged = ledger.merge(seconds(1), list(std::slice::from_ref(&right), &[odd(None)]));
    assert_eq!(merged.engines, [right.clone(), left]);
    let merged = ledger.merge(seconds(2), list(&[], &[odd(None)]));
    assert_eq!(merged.engines.len(), 1, "an odd entry that was there before hides no other one");
    let merged = ledger.merge(seconds(40), list(&[], &[odd(None)]));
    assert!(merged.engines.is_empty());
}

#[test]
fn merge_without_odd_entry_follows_the_list() {
    let (left, right) = (upstream("l", 1, "s", 1), upstream("r", 1, "s", 2));
    let mut ledger = ListLedger::default();
    ledger.merge(seconds(0), list(&[left, right.clone()], &[]));
    let merged = ledger.merge(seconds(1), list(std::slice::from_ref(&right), &[]));
    assert_eq!(merged, MergedList { engines: vec![right], ..MergedList::default() });
}

/// Without the pages that follow, nothing can be said of the upstreams on them.
#[test]
fn merge_cut_list_keeps_all_others() {
    let (left, right) = (upstream("l", 1, "s", 1), upstream("r", 1, "s", 2));
    let mut ledger = ListLedger::default();
    ledger.merge(seconds(0), list(&[left.clone(), right.clone()], &[]));
    for second in 1..100 {
        let read = ListRead { is_cut: true, ..list(&[draining(&left)], &[odd(None)]) };
        let merged = ledger.merge(seconds(second), read);
        assert_eq!(merged.engines, [draining(&left), right.clone()]);
    }
}

/// An upstream that is read anew isn't held by what was read long before.
#[test]
fn learn_keeps_holding_between_reads_alone() {
    let left = upstream("l", 1, "s", 1);
    let mut ledger = ListLedger::default();
    ledger.learn(seconds(0), std::slice::from_ref(&left));
    assert_eq!(ledger.merge(seconds(0), list(&[], &[odd(None)])).engines.len(), 1);
    for second in 1..30 {
        ledger.learn(seconds(second), std::slice::from_ref(&left));
        assert_eq!(ledger.merge(seconds(second), list(&[], &[odd(None)])).engines.len(), 1);
    }
    ledger.learn(seconds(31), std::slice::from_ref(&left));
    assert!(ledger.merge(seconds(31), list(&[], &[odd(None)])).engines.is_empty());
    ledger.learn(seconds(60), std::slice::from_ref(&left));
    assert_eq!(ledger.merge(seconds(60), list(&[], &[odd(None)])).engines.len(), 1);
}

/// An entry without a start, or of an earlier one, must not stand beside the whole entry, which may
/// drain.
#[test]
fn merge_second_entry_of_id_is_unused() {
    let whole = draining(&upstream("l", 7, "s", 1));
    for second in [upstream("l", 0, "s", 1), upstream("l", 6, "s", 1), upstream("l", 0, "t", 9)] {
        for entries in [[whole.clone(), second.clone()], [second.clone(), whole.clone()]] {
            let merged = ListLedger::default().merge(seconds(0), list(&entries, &[]));
            assert_eq!(merged.engines, std::slice::from_ref(&whole));
            assert_eq!(kinds(&merged), [OddKind::SecondOfId]);
        }
    }
    let entries = [upstream("l", 7, "s", 1), whole.clone()];
    let merged = ListLedger::default().merge(seconds(0), list(&entries, &[]));
    assert_eq!(merged.engines, [whole], "of two states, the drain holds");
}

/// The upstream that was known at an address keeps it until its entry is gone.
#[test]
fn merge_second_service_at_address_is_unused() {
    let (known, other) = (upstream("l", 7, "s", 1), upstream("o", 9, "t", 1));
    let mut ledger = ListLedger::default();
    ledger.merge(seconds(0), list(std::slice::from_ref(&known), &[]));
    let merged = ledger.merge(seconds(1), list(&[other.clone(), known.clone()], &[]));
    assert_eq!(merged.engines, [known]);
    assert_eq!(kinds(&merged), [OddKind::SecondOfAddress]);
    let merged = ledger.merge(seconds(2), list(std::slice::from_ref(&other), &[]));
    assert_eq!(merged.engines, [other], "the address was assigned again");
}

/// The start before may still be listed when its upstream has started again.
#[test]
fn merge_restart_at_address_is_used() {
    let (before, after) = (upstream("l", 7, "s", 1), upstream("m", 9, "s", 1));
    let mut ledger = ListLedger::default();
    ledger.merge(seconds(0), list(std::slice::from_ref(&before), &[]));
    let merged = ledger.merge(seconds(1), list(&[before.clone(), after.clone()], &[]));
    assert_eq!(merged.engines, [before.clone(), after]);
    let again = upstream("l", 8, "s", 1);
    let merged = ledger.merge(seconds(2), list(&[before, again.clone()], &[]));
    assert_eq!(merged.engines, [again], "the latest start of an id");
}

/// A list that has the same entry in each read must not fill the log, nor must one with thousands.
#[test]
fn record_logs_each_entry_once() {
    let mut log = OddEntryLog::default();
    let entries = [odd(Some("l")), odd(None), odd(None)];
    assert_eq!(log.record(seconds(0), &entries).len(), 2);
    assert!(log.record(seconds(1), &entries).is_empty());
    let many: Vec<OddEntry> = (0..10_000).map(|at| odd(Some(&format!("e{at}")))).collect();
    assert_eq!(log.record(seconds(2), &many).len(), 62);
    assert_eq!(log.record(seconds(1_000), &entries).len(), 2, "forgotten after ten minutes");
    let long = OddEntry::new(0, OddKind::Unreadable, &"x".repeat(1 << 20));
    assert_eq!(long.reason.len(), 120);
}
