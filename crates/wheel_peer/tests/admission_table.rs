//! Far more instances connect to a hub than it serves, as when a quorum has failed on which all of
//! them depend. The members of the quorum must still get their messages through, or it never
//! recovers.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use tokio::time::Instant;
use wheel_peer::{Admission, AdmissionLimits, AdmissionTable, ConnectionClass, ConnectionId};

const IDLE_TIME: Duration = Duration::from_secs(1);

fn limits() -> AdmissionLimits {
    AdmissionLimits { max_entering: 32, max_members: 4, max_guests: 16, idle_time: IDLE_TIME }
}

fn admitted(class: ConnectionClass) -> Admission {
    Admission::Admitted { class, closes: None }
}

/// Connections that have begun a call each, which isn't the quorum's.
fn open_guests(table: &mut AdmissionTable, now: Instant, count: usize) -> Vec<ConnectionId> {
    let open = |_| {
        let (id, _) = table.accept(now);
        assert_eq!(table.begin_call(now, id, false), admitted(ConnectionClass::Guest));
        id
    };
    (0..count).map(open).collect()
}

/// Instances that depend on the quorum call each member five times a second, keep their connections
/// and open new ones when they are refused.
#[test]
fn admission_storm_of_guests_lets_members_in() {
    let mut table = AdmissionTable::open(limits());
    let start = Instant::now();
    let mut guests = Vec::new();
    for tick in 0..200u32 {
        let now = start + Duration::from_millis(5) * tick;
        guests.push(table.accept(now).0);
        for guest in &guests {
            if let Admission::Admitted { .. } = table.begin_call(now, *guest, false) {
                table.end_call(now, *guest);
            }
        }
    }
    for member in 0..4u64 {
        let now = start + Duration::from_secs(1);
        let (id, _) = table.accept(now);
        // Others connect while the member's handshake is under way.
        (0..16).for_each(|_| _ = table.accept(now));
        assert_eq!(
            table.begin_call(now, id, true),
            admitted(ConnectionClass::Member),
            "member {member}"
        );
    }
    assert_eq!(table.count(ConnectionClass::Guest), 16);
    assert!(table.count(ConnectionClass::Entering) <= 32);
}

#[test]
fn admission_guest_beyond_limit_is_refused_and_keeps_its_connection() {
    let mut table = AdmissionTable::open(limits());
    let start = Instant::now();
    let guests = open_guests(&mut table, start, 16);
    let (late, _) = table.accept(start);
    assert_eq!(table.begin_call(start, late, false), Admission::Refused);
    // A place becomes free.
    table.remove(guests[3]);
    assert_eq!(table.begin_call(start, late, false), admitted(ConnectionClass::Guest));
}

#[test]
fn admission_idle_guest_gives_way_to_another() {
    let mut table = AdmissionTable::open(limits());
    let start = Instant::now();
    let guests = open_guests(&mut table, start, 16);
    for (index, guest) in guests.iter().enumerate().skip(2) {
        table.end_call(start + Duration::from_millis(20 - index as u64), *guest);
    }
    let (late, _) = table.accept(start);
    let soon = start + IDLE_TIME;
    assert_eq!(table.begin_call(soon, late, false), Admission::Refused, "none is idle yet");
    // The first two have calls in progress; of the others, the last one ended its call first.
    let class = ConnectionClass::Guest;
    let later = start + 2 * IDLE_TIME;
    let expected = Admission::Admitted { class, closes: Some(guests[15]) };
    assert_eq!(table.begin_call(later, late, false), expected);
    assert_eq!(table.begin_call(later, guests[15], false), Admission::Refused);
}

#[test]
fn admission_newest_connection_enters_by_closing_the_oldest() {
    let mut table = AdmissionTable::open(limits());
    let start = Instant::now();
    let entering: Vec<_> = (0..32).map(|_| table.accept(start).0).collect();
    let (_, closed) = table.accept(start);
    assert_eq!(closed, Some(entering[0]));
    assert_eq!(table.begin_call(start, entering[0], true), Admission::Refused);
    assert_eq!(table.count(ConnectionClass::Entering), 32);
}

#[test]
fn admission_guest_that_sends_for_the_quorum_becomes_a_member() {
    let mut table = AdmissionTable::open(limits());
    let start = Instant::now();
    let guests = open_guests(&mut table, start, 1);
    let expected = admitted(ConnectionClass::Member);
    assert_eq!(table.begin_call(start, guests[0], true), expected);
    assert_eq!(table.begin_call(start, guests[0], false), expected, "it stays one");
    assert_eq!(table.count(ConnectionClass::Guest), 0);
}

/// Control instances are replaced one after another; the connections of those that are gone must
/// not keep their successors out.
#[test]
fn admission_new_member_takes_the_place_of_a_silent_one() {
    let mut table = AdmissionTable::open(limits());
    let start = Instant::now();
    let members: Vec<_> = (0..4).map(|_| table.accept(start).0).collect();
    for member in &members {
        assert_eq!(table.begin_call(start, *member, true), admitted(ConnectionClass::Member));
        table.end_call(start, *member);
    }
    let (next, _) = table.accept(start);
    assert_eq!(table.begin_call(start, next, true), Admission::Refused);
    let later = start + IDLE_TIME;
    members[1..].iter().for_each(|member| {
        table.begin_call(later, *member, true);
        table.end_call(later, *member);
    });
    let class = ConnectionClass::Member;
    let expected = Admission::Admitted { class, closes: Some(members[0]) };
    assert_eq!(table.begin_call(later, next, true), expected);
}
