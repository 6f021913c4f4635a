//! Members come, go, restart and flap, in virtual time.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use wheel_membership::{ListedInstance, MemberInput, MemberSettings, MemberTable};
use wheel_types::{CentreName, IncarnationId, InstanceName};

use crate::common::{CENTRE, TestCentre, address};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn shows(table: &MemberTable, count: usize) -> bool {
    table.view().centre(&CentreName::from(CENTRE)).len() == count
}

fn name(index: usize) -> InstanceName {
    address(CENTRE, index).name
}

fn incarnation_of(table: &MemberTable, index: usize) -> Option<IncarnationId> {
    table.view().find(&name(index)).and_then(|member| member.incarnation)
}

#[test]
fn step_start_and_kill_reach_every_view() {
    for count in [3, 7, 60] {
        let mut centre = TestCentre::open(count, 11);
        let joined = centre.run_until(seconds(10), |table| shows(table, count));
        centre.kill(1);
        let noticed = centre.run_until(seconds(20), |table| shows(table, count - 1));
        println!("{count} members: all joined in {joined:?}, a kill in every view in {noticed:?}");
        assert!(noticed < seconds(8), "{noticed:?}");
    }
}

#[test]
fn step_restart_is_another_incarnation() {
    for (again, expected) in [(9, 9), (0, 2)] {
        let mut centre = TestCentre::open(7, 12);
        centre.run_until(seconds(10), |table| shows(table, 7));
        // Until no member passes on updates of the first start.
        centre.run(seconds(60));
        // Killed and restarted before any member noticed; once with a clock that went back.
        centre.kill(2);
        centre.start(2, again);
        let known = |table: &MemberTable| incarnation_of(table, 2) == Some(IncarnationId(expected));
        let spent = centre.run_until(seconds(10), known);
        println!("incarnation 1 restarted as {again}, known as {expected} everywhere in {spent:?}");
        assert!(centre.all(|table| shows(table, 7)));
    }
}

#[test]
fn drain_and_leave_are_known_at_once() {
    let mut centre = TestCentre::open(60, 13);
    centre.run_until(seconds(10), |table| shows(table, 60));
    centre.input(5, MemberInput::Drain);
    let leaving = |table: &MemberTable| table.view().find(&name(5)).unwrap().leaving;
    let drained = centre.run_until(seconds(1), leaving);
    centre.input(5, MemberInput::Leave);
    centre.kill(5);
    let gone = |table: &MemberTable| table.view().find(&name(5)).is_none();
    let left = centre.run_until(seconds(1), gone);
    println!("60 members: leaving in every view in {drained:?}, gone in {left:?}");
}

#[test]
fn step_lossy_links_remove_no_member() {
    for (count, seed) in [(3, 1), (3, 2), (7, 3), (60, 4)] {
        let mut centre = TestCentre::open(count, seed);
        centre.run_until(seconds(10), |table| shows(table, count));
        centre.loss_permille = 50;
        centre.view_changes = 0;
        for _ in 0..120 {
            centre.run(seconds(1));
            assert!(centre.all(|table| shows(table, count)), "{count} members, {}", centre.now);
        }
        println!("{count} members, 5% loss, 120 s: {} view changes", centre.view_changes);
    }
}

#[test]
fn step_flapping_member_stays_out_of_the_view() {
    let mut centre = TestCentre::open(7, 14);
    centre.run_until(seconds(10), |table| shows(table, 7));
    let (mut entered, mut shown) = (0, true);
    // Cut off for 6 s, back for 3 s, again and again.
    for _ in 0..20 {
        for (cut, span) in [(vec![3], 6_000), (vec![], 3_000)] {
            centre.cut = cut;
            for _ in 0..span / 100 {
                centre.run(Duration::from_millis(100));
                let now = centre.shown(0) == 7;
                entered += u32::from(now && !shown);
                shown = now;
            }
        }
    }
    assert!(entered <= 1, "entered the view {entered} times in 20 cuts");
    centre.run(seconds(90));
    assert!(centre.all(|table| shows(table, 7)), "back once it is stable");
}

#[test]
fn step_partitioned_halves_rejoin() {
    let mut centre = TestCentre::open(12, 15);
    centre.run_until(seconds(10), |table| shows(table, 12));
    centre.cut = (0..5).collect();
    centre.run(seconds(30));
    assert_eq!((centre.shown(0), centre.shown(11)), (5, 7));
    centre.cut.clear();
    let healed = centre.run_until(seconds(60), |table| shows(table, 12));
    println!("halves of 5 and 7, partitioned for 30 s, joined again in {healed:?}");
}

#[test]
fn step_frozen_member_suspects_no_one() {
    let mut centre = TestCentre::open(7, 16);
    centre.run_until(seconds(10), |table| shows(table, 7));
    // Frozen while it suspects another member, which refutes in the meantime.
    centre.cut = vec![2];
    let suspects = |centre: &TestCentre| {
        let view = centre.nodes[4].as_ref().unwrap().view();
        view.find(&name(2)).is_some_and(|member| member.suspect)
    };
    while !suspects(&centre) {
        centre.run(Duration::from_millis(10));
    }
    centre.cut.clear();
    centre.frozen = vec![4];
    centre.run(seconds(20));
    assert_eq!(centre.shown(0), 6);
    centre.frozen.clear();
    centre.run(Duration::from_millis(1));
    assert_eq!(centre.shown(4), 7, "its own pause says nothing about others");
    centre.run_until(seconds(20), |table| shows(table, 7));
}

#[test]
fn listed_full_table_reports_ignored_instances() {
    let settings = MemberSettings { max_members: 3, max_remote: 2, ..MemberSettings::default() };
    let now = wheel_types::MonotonicTime::from_millis(1);
    let mut table = MemberTable::open(settings, address(CENTRE, 0), IncarnationId(1), now, 1);
    let list = |centre| (0..4).map(move |index| listed(centre, index));
    let outputs = table.step(now, MemberInput::Listed(list(CENTRE).chain(list("far")).collect()));
    let full = |output: &&wheel_membership::MemberOutput| {
        matches!(output, wheel_membership::MemberOutput::TableFull(_))
    };
    assert_eq!(outputs.iter().filter(full).count(), 3);
}

#[test]
fn view_shows_few_contacts_of_other_centres() {
    let mut centre = TestCentre::open(3, 17);
    centre.listed.extend((0..20).map(|index| listed("udon", index)));
    let list = centre.listed.clone();
    centre.input(0, MemberInput::Listed(list.clone()));
    let contacts = |centre: &TestCentre| {
        let view = centre.nodes[0].as_ref().unwrap().view();
        let members = view.centre(&CentreName::from("udon")).to_vec();
        members.into_iter().map(|member| member.address.name).collect::<Vec<_>>()
    };
    let first = contacts(&centre);
    assert_eq!(first.len(), 3);
    centre.input(0, MemberInput::ContactFailed(first[0].clone()));
    assert!(!contacts(&centre).contains(&first[0]));
    centre.run(seconds(31));
    assert_eq!(contacts(&centre), first);
}

#[test]
fn step_cost_stays_flat_and_within_the_budget() {
    let mut rates = Vec::new();
    for count in [3, 7, 55] {
        let mut centre = TestCentre::open(count, 18);
        centre.run_until(seconds(10), |table| shows(table, count));
        centre.run(seconds(60));
        let mut steady = 0;
        let mut busy = 0;
        // A minute at rest, then one in which a member restarts every 5 s.
        for (rate, restarts) in [(&mut steady, false), (&mut busy, true)] {
            centre.sent_bytes.fill(0);
            for step in 0..12 {
                if restarts {
                    centre.kill(step % count);
                    centre.start(step % count, step as u64 + 10);
                }
                centre.run(seconds(5));
            }
            *rate = centre.sent_bytes.iter().max().unwrap() / 60;
        }
        println!("{count} members: {steady} bytes/s at rest, {busy} while restarting (largest)");
        assert!(steady < 1_000 && busy < 4_000, "out of 8 KB/s for all control traffic");
        rates.push(steady);
    }
    assert!(rates[2] < rates[1] * 3 / 2, "{rates:?}");
}

fn listed(centre: &str, index: usize) -> ListedInstance {
    ListedInstance { address: address(centre, index), leaving: false }
}
