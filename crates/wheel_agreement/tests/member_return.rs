//! Every live participant becomes a member of its group again by itself, whatever its folder holds
//! and whoever leads meanwhile.

mod test_group;

use std::collections::BTreeSet;
use std::time::Duration;

use test_group::TestGroup;
use wheel_agreement::{
    FolderIdentity, GroupMembers, NodeId, ProposalId, RaftBody, RaftInput, RaftMessage, RaftOutput,
    RaftSettings, RaftStatus, ReadId, RoleName, VoterChange,
};
use wheel_types::InstanceName;

const SECOND: Duration = Duration::from_secs(1);
/// Time from a participant's return to the loss of another one that the group must bear.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for which a voter must be silent before another one replaces it.
const CONTACT: Duration = Duration::from_secs(3);

/// Settings of a group that maintains `count` voters automatically.
fn maintain(settings: &mut RaftSettings, count: usize) {
    settings.target_voters = Some(count);
    settings.may_bootstrap = false;
    settings.replace_folder_after = SECOND;
    settings.replace_voter_after = CONTACT;
}

/// A group that maintains three voters, with the learner `d`.
fn group_with_spare() -> TestGroup {
    let mut group = TestGroup::open_with(&["a", "b", "c"], |settings| {
        maintain(settings, 3);
        settings.may_bootstrap = true;
    });
    group.run_to_leader();
    group.start(NodeId::new("d", 44), Vec::new());
    group.run(SECOND * 3);
    assert!(members(&group).learners.contains_key(&NodeId::new("d", 44)));
    group
}

/// The members according to the leader.
fn members(group: &TestGroup) -> GroupMembers {
    let leader = group.leader().unwrap_or_else(|| panic!("no leader at {:?}", group.now));
    (*group.nodes[&*leader].node.status().members).clone()
}

fn id_of(group: &TestGroup, name: &str) -> NodeId {
    group.nodes[name].node.status().id
}

/// Has leaders hand over until `wanted` leads and may change the members.
fn hand_over(group: &mut TestGroup, wanted: &str) {
    for _ in 0..20 {
        let leader = group.run_to_leader();
        if leader == wanted {
            group.run(SECOND);
            return;
        }
        let RaftStatus { id, group: group_id, term, .. } = group.nodes[&*leader].node.status();
        group.restart(&leader);
        let body = RaftBody::Resign { successor: id_of(group, wanted) };
        let target = FolderIdentity::ANY;
        let message = RaftMessage { group: group_id, target, term, body };
        let names: Vec<InstanceName> = group.nodes.keys().cloned().collect();
        // The successor asks for votes at once, so the others are told first.
        let others = names.iter().filter(|name| name.as_str() != wanted);
        for name in others.map(InstanceName::as_str).chain([wanted]) {
            let (from, message) = (id.clone(), message.clone());
            group.input(name, RaftInput::Message { from, message });
        }
        group.run(SECOND / 10);
    }
    panic!("{wanted} doesn't lead");
}

fn change_voter(group: &mut TestGroup, change: VoterChange) {
    let leader = group.run_to_leader();
    group.input(&leader, RaftInput::ChangeVoter { proposal: ProposalId(900), change });
    group.run(SECOND);
}

/// Runs for the time within which a loss must be borne again, then checks that all that run are
/// members and that the group has its three voters among them.
fn check_whole(group: &mut TestGroup, case: &str) {
    group.run(CATCH_UP);
    let members = members(group);
    let running: BTreeSet<NodeId> =
        group.nodes.keys().map(|name| id_of(group, name.as_str())).collect();
    let outside: Vec<&NodeId> = running.iter().filter(|node| !members.contains(node)).collect();
    assert!(outside.is_empty(), "{case}: {outside:?} stand outside {members:?}");
    let live = members.voters.intersection(&running).count();
    assert!(live >= 3, "{case}: {live} live voters in {members:?}");
}

/// What a participant's folder holds when it returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeldFolder {
    /// That of a voter which was replaced while the participant was away.
    ReplacedVoter,
    /// That of a voter which knows of its removal.
    RemovedVoter,
    /// That of a learner.
    Learner,
    /// That of a learner which was removed while the participant was away.
    DroppedLearner,
    /// Nothing: it was lost.
    Empty,
}

/// What the participant knows of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GroupLeader {
    /// The one that led when it left.
    Known,
    /// One that was no member, or no voter, when it left.
    Unknown,
    /// Such a one, a second after the return.
    Changing,
    /// There is none in the first seconds after the return, then such a one.
    Absent,
}

/// `c` leaves, `d` replaces it, and `c` returns with `folder`.
fn check_return(folder: HeldFolder, leader: GroupLeader) {
    let case = format!("{folder:?}, {leader:?}");
    let mut group = group_with_spare();
    hand_over(&mut group, "a");
    let (away, spare) = (id_of(&group, "c"), id_of(&group, "d"));
    if matches!(folder, HeldFolder::Learner | HeldFolder::DroppedLearner) {
        change_voter(&mut group, VoterChange::Remove(away.clone()));
        change_voter(&mut group, VoterChange::AddLearner(away.clone()));
    }
    if folder == HeldFolder::RemovedVoter {
        // Only a leader that removes itself records its removal.
        hand_over(&mut group, "c");
        let change = VoterChange::Remove(away.clone());
        group.input("c", RaftInput::ChangeVoter { proposal: ProposalId(901), change });
        group.run(SECOND / 10);
        assert!(!group.nodes["c"].node.status().members.contains(&away), "{case}");
    }
    let records = group.stop("c");
    if folder == HeldFolder::DroppedLearner {
        change_voter(&mut group, VoterChange::Remove(away.clone()));
    }
    group.run(CONTACT * 2);
    assert!(members(&group).voters.contains(&spare), "{case}");
    match leader {
        GroupLeader::Known => hand_over(&mut group, "a"),
        _ => hand_over(&mut group, "d"),
    }
    match folder {
        HeldFolder::Empty => group.start(NodeId::new("c", 77), Vec::new()),
        _ => group.start(away, records),
    }
    match leader {
        GroupLeader::Known | GroupLeader::Unknown => {}
        GroupLeader::Changing => {
            group.run(SECOND);
            hand_over(&mut group, "b");
            hand_over(&mut group, "d");
        }
        GroupLeader::Absent => {
            group.cut.extend(["a".into(), "d".into()]);
            group.run(CONTACT);
            group.cut.clear();
            hand_over(&mut group, "d");
        }
    }
    // A third voter is lost: the group needs the one that returned in its place.
    group.stop("b");
    group.run(CONTACT);
    check_whole(&mut group, &case);
    let leader = group.run_to_leader();
    group.propose(&leader, 1, b"kept");
    group.run(SECOND);
    assert!(is_accepted(&group, 1), "{case}");
}

fn is_accepted(group: &TestGroup, wanted: u64) -> bool {
    let wanted = ProposalId(wanted);
    group.outputs.iter().any(
        |output| matches!(output, RaftOutput::Accepted { proposal, .. } if *proposal == wanted),
    )
}

/// A control machine that is back with its folder stays out of the group, and one more loss than the
/// voters bear stops it for good.
#[test]
fn return_with_any_folder_under_any_leader_joins_again() {
    use GroupLeader::*;
    use HeldFolder::*;
    for folder in [ReplacedVoter, RemovedVoter, Learner, DroppedLearner, Empty] {
        for leader in [Known, Unknown, Changing, Absent] {
            check_return(folder, leader);
        }
    }
}

/// All members that the returning one knows were replaced by others, one after another.
#[test]
fn return_after_all_known_members_are_gone_asks_the_contacts() {
    for is_empty in [false, true] {
        let mut group = group_with_spare();
        hand_over(&mut group, "a");
        let away = id_of(&group, "c");
        let records = group.stop("c");
        group.run(CONTACT * 2);
        for (number, (added, gone)) in [("e", "a"), ("f", "b"), ("g", "d")].iter().enumerate() {
            group.start(NodeId::new(*added, 50 + number as u64), Vec::new());
            group.run(SECOND * 3);
            group.input(gone, RaftInput::Resign);
            group.run(SECOND / 10);
            group.stop(gone);
            // New instances ask the contacts as well, once the configured ones are gone.
            for name in ["e", "f", "g"] {
                let contacts = vec!["d".into(), "e".into(), "f".into(), "g".into()];
                group.input(name, RaftInput::SetContacts { contacts });
            }
            group.run(CONTACT * 2);
        }
        match is_empty {
            true => group.start(NodeId::new("c", 77), Vec::new()),
            false => group.start(away, records),
        }
        group.run(CATCH_UP);
        assert!(!members(&group).contains(&id_of(&group, "c")), "it knows nobody who runs");
        let contacts = vec!["e".into()];
        group.input("c", RaftInput::SetContacts { contacts });
        check_whole(&mut group, &format!("empty: {is_empty}"));
    }
}

/// A folder of another group asks: it must not be mixed with this one's.
#[test]
fn return_of_a_folder_of_another_group_stays_outside() {
    let mut other = TestGroup::open(&["a", "b", "x"]);
    other.run_to_leader();
    other.run(SECOND);
    let records = other.stop("x");
    let mut group = group_with_spare();
    let before = members(&group);
    group.start(NodeId::new("x", 3), records);
    group.run(SECOND * 20);
    assert_eq!(members(&group), before);
    assert_ne!(group.nodes["x"].node.role(), RoleName::Leader);
}

/// Two that name each other as the leader would keep a question going, at the speed of the network.
#[test]
fn named_leaders_in_a_circle_are_asked_a_few_times_a_second() {
    let mut group = group_with_spare();
    let away = id_of(&group, "c");
    let records = group.stop("c");
    group.run(CONTACT * 2);
    for name in ["a", "b", "d"] {
        group.cut.insert(name.into());
    }
    group.start(away.clone(), records);
    let group_id = group.nodes["c"].node.status().group;
    let mut asked = 0;
    for step in 0..1_000_u64 {
        let [from, named]: [InstanceName; 2] =
            if step % 2 == 0 { ["a".into(), "x".into()] } else { ["b".into(), "a".into()] };
        let body = RaftBody::Leader { instance: named };
        let message = RaftMessage { group: group_id, target: away.identity, term: 1, body };
        let before = group.sent();
        group.input("c", RaftInput::Message { from: NodeId::any(from), message });
        group.run(Duration::from_millis(4));
        asked += group.sent() - before;
    }
    // In 4 s: four rounds a second at the most, with a pre-vote and a request to each of five.
    assert!(asked <= 4 * 4 * 10, "{asked} messages in 4 s");
}

/// The disks of all counted machines are full for some seconds each, one after another, while changes
/// go on. The one that replaced the last leads at once, so that the next one doesn't know it.
fn check_full_disks(voters: &[&str], spares: &[&str], full: Duration) {
    let case = format!("{voters:?} and {spares:?}, {full:?}");
    let mut group = match voters.len() {
        3 => TestGroup::open_with(voters, |settings| {
            maintain(settings, 3);
            settings.may_bootstrap = true;
        }),
        _ => TestGroup::open_with(voters, |settings| {
            maintain(settings, 5);
            settings.may_bootstrap = true;
        }),
    };
    group.run_to_leader();
    for (number, spare) in spares.iter().enumerate() {
        group.start(NodeId::new(*spare, 60 + number as u64), Vec::new());
    }
    group.run(SECOND * 3);
    let mut proposal = 0;
    for round in 0..2 {
        for name in voters.iter().chain(spares) {
            group.full.insert((*name).into());
            let began = group.now;
            while group.now.since(began) < full {
                proposal += 1;
                if let Some(leader) = group.leader() {
                    group.propose(&leader, proposal, b"change");
                }
                group.run(SECOND / 4);
            }
            // Whoever was promoted meanwhile leads before the full one is heard again.
            let newest = members(&group).voters.into_iter().find(|voter| {
                let held = group.nodes[*name].node.status().members;
                !held.voters.contains(voter)
            });
            if let Some(newest) = newest {
                hand_over(&mut group, newest.instance.as_str());
            }
            group.make_room(name);
            group.run(CATCH_UP);
            let members = members(&group);
            let outside = group
                .nodes
                .keys()
                .find(|name| !members.contains(&group.nodes[*name].node.status().id));
            assert_eq!(outside, None, "{case}, round {round}, after {name}: {members:?}");
            assert_eq!(members.voters.len(), voters.len(), "{case}, after {name}: {members:?}");
        }
    }
    // As many disks as the voters bear are lost at once: nothing is lost, and changes go on.
    let losses = voters.len() / 2;
    let lost: Vec<InstanceName> =
        members(&group).voters.iter().take(losses).map(|voter| voter.instance.clone()).collect();
    for (number, name) in lost.iter().enumerate() {
        group.stop(name.as_str());
        group.start(NodeId::new(name.as_str(), 70 + number as u64), Vec::new());
    }
    group.run(SECOND * 12);
    let leader = group.leader().unwrap_or_else(|| panic!("{case}: no leader"));
    group.propose(&leader, 1_000, b"kept");
    group.input(&leader, RaftInput::Read { read: ReadId(1_001) });
    group.run(SECOND);
    assert!(is_accepted(&group, 1_000), "{case}");
    let is_ready =
        |output: &RaftOutput| matches!(output, RaftOutput::ReadReady { read: ReadId(1_001), .. });
    assert!(group.outputs.iter().any(is_ready), "{case}");
}

/// Each machine with a full disk is replaced; if it weren't taken back, the next ones would find no
/// spare, and a loss that should be borne would stop all changes.
#[test]
fn full_disks_one_after_another_leave_all_members() {
    for full in [Duration::from_millis(4_500), Duration::from_millis(7_500)] {
        check_full_disks(&["a", "b", "c"], &[], full);
        check_full_disks(&["a", "b", "c"], &["d"], full);
        check_full_disks(&["a", "b", "c", "d", "e"], &[], full);
        check_full_disks(&["a", "b", "c", "d", "e"], &["f"], full);
    }
}

/// A leader that was paused, or waited for its own disk, finds all others silent by its own clock, and
/// may not replace a live voter for that.
#[test]
fn paused_leader_replaces_no_live_voter() {
    for phase in 0..120 {
        for pauses_all in [true, false] {
            for grows in [false, true] {
                let case = format!("phase {phase}, all {pauses_all}, grows {grows}");
                let mut group = group_with_spare();
                group.run(Duration::from_millis(13 * phase));
                let leader = group.run_to_leader();
                if grows {
                    // A change of the members is on its way.
                    let change = VoterChange::AddLearner(NodeId::new("e", 55));
                    let proposal = ProposalId(902);
                    group.input(&leader, RaftInput::ChangeVoter { proposal, change });
                    group.run(Duration::from_millis(phase % 12));
                }
                let voters = members(&group).voters;
                match pauses_all {
                    true => group.now = group.now + CONTACT * 2,
                    false => {
                        group.paused.insert(leader.as_str().into());
                        group.run(CONTACT * 2 / 3);
                        group.paused.clear();
                    }
                }
                group.run(SECOND * 3);
                let now = members(&group).voters;
                assert_eq!(now, voters, "{case}");
            }
        }
    }
}
