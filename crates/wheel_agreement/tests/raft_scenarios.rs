//! Single scenarios of a group in virtual time.

mod test_group;

use std::time::Duration;

use test_group::TestGroup;
use wheel_agreement::{
    EntryPayload, LogEntry, NodeId, ProposalId, ProposalRefusal, RaftInput, RaftOutput,
    RaftSettings, ReadId, RoleName, StartWait, VoterChange,
};

const SECOND: Duration = Duration::from_secs(1);

fn accepted(group: &TestGroup, wanted: u64) -> bool {
    let is_wanted = |output: &RaftOutput| matches!(output, RaftOutput::Accepted { proposal: ProposalId(id), .. } if *id == wanted);
    group.outputs.iter().any(is_wanted)
}

/// The commands that a participant applied, in order.
fn commands(group: &TestGroup, name: &str) -> Vec<Vec<u8>> {
    let command_of = |entry: &LogEntry| match &entry.payload {
        EntryPayload::Command(command) => Some(command.to_vec()),
        EntryPayload::Noop | EntryPayload::Members(_) => None,
    };
    group.nodes[name].applied.iter().filter_map(command_of).collect()
}

fn others(leader: &str) -> Vec<String> {
    ["a", "b", "c"].iter().filter(|name| **name != leader).map(|name| name.to_string()).collect()
}

#[test]
fn form_single_voter_commits() {
    let mut group = TestGroup::open(&["a"]);
    assert_eq!(group.run_to_leader(), "a");
    group.propose("a", 1, b"one");
    assert!(accepted(&group, 1));
    assert_eq!(commands(&group, "a"), [b"one"]);
}

#[test]
fn form_three_empty_commits_everywhere() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    group.propose(&leader, 1, b"one");
    group.propose(&leader, 2, b"two");
    group.run(SECOND / 10);
    for name in ["a", "b", "c"] {
        assert_eq!(commands(&group, name), [b"one", b"two"], "at {name}");
        assert_eq!(group.nodes[name].node.status().group, group.nodes["a"].node.status().group);
    }
}

#[test]
fn form_one_voter_missing_waits() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    group.stop("c");
    group.run(SECOND * 30);
    assert_eq!(group.leader(), None);
    for name in ["a", "b"] {
        assert_eq!(group.nodes[name].node.status().role, RoleName::Joining);
    }
}

#[test]
fn form_crash_after_first_record_forms_one_group() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    group.cut.extend(["b".into(), "c".into()]);
    group.run(SECOND);
    group.cut.clear();
    while group.nodes["a"].records.is_empty() {
        group.run(Duration::from_millis(1));
    }
    // The group is recorded at `a`, and no message about it has been delivered.
    group.cut.insert("a".into());
    group.run(SECOND * 3);
    assert_eq!(group.nodes["b"].node.status().role, RoleName::Joining);
    group.restart("a");
    group.cut.clear();
    group.run_to_leader();
    group.run(SECOND);
    let formed = group.nodes["a"].node.status().group;
    assert!(group.nodes.values().all(|test| test.node.status().group == formed));
}

#[test]
fn restart_all_keeps_committed() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    for number in 0..20_u8 {
        group.propose(&leader, u64::from(number), &[number]);
    }
    group.run(SECOND);
    ["a", "b", "c"].iter().for_each(|name| group.restart(name));
    group.run_to_leader();
    group.run(SECOND);
    let proposed: Vec<Vec<u8>> = (0..20_u8).map(|number| vec![number]).collect();
    for name in ["a", "b", "c"] {
        assert_eq!(commands(&group, name), proposed, "at {name}");
    }
}

#[test]
fn leader_dies_replaced_within_two_seconds() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    for round in 0..20 {
        let leader = group.run_to_leader();
        group.run(SECOND * 3);
        let (id, stopped) = (group.nodes[&*leader].node.status().id, group.now);
        let records = group.stop(&leader);
        let next = group.run_to_leader();
        assert!(group.now.since(stopped) < SECOND * 2, "round {round}");
        group.propose(&next, round, b"x");
        group.run(SECOND / 10);
        assert!(accepted(&group, round));
        group.start(id, records);
    }
}

#[test]
fn leader_cut_off_steps_down_and_refuses() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let old = group.run_to_leader();
    group.cut.insert(old.as_str().into());
    group.propose(&old, 1, b"lost");
    let new = group.run_to_leader();
    group.propose(&new, 2, b"kept");
    group.run(SECOND * 3);
    assert!(accepted(&group, 2) && !accepted(&group, 1));
    group.propose(&old, 3, b"late");
    let reason = ProposalRefusal::NotLeader;
    let refused = RaftOutput::Refused { proposal: ProposalId(3), leader: None, reason };
    assert_eq!(group.outputs.last(), Some(&refused));
    let unresolved = RaftOutput::Unresolved { proposal: ProposalId(1), leader: None };
    assert!(group.outputs.contains(&unresolved));

    let term = group.nodes[&*new].node.status().term;
    group.cut.clear();
    group.run(SECOND * 3);
    assert_eq!(commands(&group, &old), [b"kept"]);
    assert_eq!(
        group.nodes[&*new].node.status().term,
        term,
        "the returned instance deposes no leader"
    );
}

#[test]
fn read_at_cut_off_leader_is_never_ready() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    group.input(&leader, RaftInput::Read { read: ReadId(1) });
    group.run(SECOND / 10);
    let is_ready = |output: &RaftOutput, id| matches!(output, RaftOutput::ReadReady { read: ReadId(read), .. } if *read == id);
    assert!(group.outputs.iter().any(|output| is_ready(output, 1)));

    group.cut.insert(leader.as_str().into());
    group.input(&leader, RaftInput::Read { read: ReadId(2) });
    group.run(SECOND * 5);
    assert!(!group.outputs.iter().any(|output| is_ready(output, 2)));
    assert!(group.outputs.contains(&RaftOutput::ReadRefused { read: ReadId(2), leader: None }));
}

#[test]
fn lost_folder_is_replaced_and_second_crash_loses_nothing() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    let [first, second] = [&others(&leader)[0], &others(&leader)[1]];
    // `second` misses the entry, which `first` and the leader commit.
    group.cut.insert(second.as_str().into());
    group.propose(&leader, 1, b"kept");
    group.run(SECOND / 10);
    assert!(accepted(&group, 1));

    // `first` loses its folder, and the leader dies before it replaced the lost one.
    group.stop(first);
    group.start(NodeId::new(first.as_str(), 77), Vec::new());
    let records = group.stop(&leader);
    group.cut.clear();
    group.run(SECOND * 30);
    assert_eq!(group.leader(), None, "neither an empty folder nor a lagging log may lead");

    let id = NodeId::new(
        leader.as_str(),
        if leader == "a" {
            1
        } else if leader == "b" {
            2
        } else {
            3
        },
    );
    group.start(id, records);
    let leader = group.run_to_leader();
    group.run(SECOND * 30);
    for name in ["a", "b", "c"] {
        assert_eq!(commands(&group, name), [b"kept"], "at {name}");
    }
    let members = group.nodes[&*leader].node.status().members;
    assert!(members.voters.contains(&NodeId::new(first.as_str(), 77)));
    assert_eq!((members.voters.len(), members.learners.len()), (3, 0));
}

#[test]
fn change_voter_adds_and_removes() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    group.propose(&leader, 1, b"one");
    let added = NodeId::new("d", 9);
    group.start(added.clone(), Vec::new());
    group.run(SECOND * 3);
    assert_eq!(group.nodes[&*leader].node.status().waiting, std::slice::from_ref(&added));

    let change = VoterChange::AddVoter(added.clone());
    group.input(&leader, RaftInput::ChangeVoter { proposal: ProposalId(2), change });
    group.run(SECOND * 3);
    assert!(accepted(&group, 2));
    assert!(group.nodes["d"].node.status().members.voters.contains(&added));
    assert_eq!(commands(&group, "d"), [b"one"]);

    let change = VoterChange::Remove(group.nodes[&*leader].node.status().id);
    group.input(&leader, RaftInput::ChangeVoter { proposal: ProposalId(3), change });
    group.run(SECOND * 5);
    assert!(accepted(&group, 3));
    let next = group.run_to_leader();
    assert_ne!(next, leader);
    assert_eq!(group.nodes[&*next].node.status().members.voters.len(), 3);
}

#[test]
fn lagging_follower_gets_snapshot() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    let lagging = others(&leader)[0].clone();
    group.cut.insert(lagging.as_str().into());
    for number in 0..300 {
        group.propose(&leader, number, b"x");
        group.run(Duration::from_millis(20));
    }
    let index = group.nodes[&*leader].node.status().commit;
    let snapshot = group.nodes[&*leader].state.snapshot().unwrap();
    group.input(&leader, RaftInput::Compacted { index, snapshot });
    group.propose(&leader, 300, b"last");
    group.cut.clear();
    group.run(SECOND * 3);
    assert_eq!(group.nodes[&*lagging].node.status().snapshot_index, index);
    assert_eq!(commands(&group, &lagging), [b"last"]);
    group.restart(&lagging);
    group.run(SECOND);
    assert_eq!(commands(&group, &lagging), [b"last"]);
}

/// Entries are kept after a snapshot for followers that are a little behind. Counted by their number
/// alone, large ones would take hundreds of megabytes.
#[test]
fn compacted_log_keeps_few_bytes_of_large_entries() {
    const ENTRY_BYTES: usize = 500 << 10;
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    for number in 0..40 {
        group.propose(&leader, number, &[b'x'; ENTRY_BYTES]);
        group.run(Duration::from_millis(20));
    }
    let index = group.nodes[&*leader].node.status().commit;
    let snapshot = group.nodes[&*leader].state.snapshot().unwrap();
    group.input(&leader, RaftInput::Compacted { index, snapshot });
    let node = &group.nodes[&*leader].node;
    let kept = (1..=index).filter_map(|index| node.entry(index)).map(LogEntry::size_bytes);
    let kept: usize = kept.sum();
    assert!((ENTRY_BYTES..=4 << 20).contains(&kept), "{kept} bytes are kept");
}

#[test]
fn lost_folder_finds_leader_that_settings_do_not_name() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let first = group.run_to_leader();
    let added = NodeId::new("d", 9);
    group.start(added.clone(), Vec::new());
    group.run(SECOND);
    let change = VoterChange::AddVoter(added);
    group.input(&first, RaftInput::ChangeVoter { proposal: ProposalId(1), change });
    group.run(SECOND * 3);
    for _ in 0..100 {
        match group.run_to_leader() {
            leader if leader == "d" => break,
            leader => group.restart(&leader),
        }
    }
    assert_eq!(group.run_to_leader(), "d");
    group.stop("a");
    group.start(NodeId::new("a", 77), Vec::new());
    group.run(SECOND * 30);
    let members = group.nodes["d"].node.status().members;
    assert!(members.voters.contains(&NodeId::new("a", 77)));
}

#[test]
fn propose_too_many_bytes_refuses() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    let leader = group.run_to_leader();
    group.cut.insert(leader.as_str().into());
    let command = vec![0; 5 << 20];
    (0..3).for_each(|proposal| group.propose(&leader, proposal, &command));
    let id = group.nodes[&*leader].node.status().id;
    let (proposal, reason) = (ProposalId(2), ProposalRefusal::Full);
    let refused = RaftOutput::Refused { proposal, leader: Some(id), reason };
    assert_eq!(group.outputs, [refused]);
}

#[test]
fn resign_hands_over_at_once() {
    let mut group = TestGroup::open(&["a", "b", "c"]);
    for round in 0..10 {
        let leader = group.run_to_leader();
        group.propose(&leader, round, b"x");
        group.run(SECOND);
        group.input(&leader, RaftInput::Resign);
        group.run(SECOND / 10);
        assert_ne!(group.leader(), Some(leader), "round {round}");
        assert!(group.leader().is_some(), "round {round}");
    }
}

/// Settings of a group that maintains three voters automatically.
fn maintain_three_voters(settings: &mut RaftSettings) {
    settings.target_voters = Some(3);
    settings.replace_folder_after = SECOND;
    settings.replace_voter_after = SECOND * 3;
}

/// The voters according to the leader.
fn voters(group: &TestGroup) -> Vec<String> {
    let leader = group.leader().unwrap_or_default();
    let members = group.nodes[&*leader].node.status().members;
    members.voters.iter().map(|voter| voter.instance.to_string()).collect()
}

#[test]
fn replace_dead_voter_then_another_dies() {
    let mut group = TestGroup::open_with(&["a", "b", "c"], maintain_three_voters);
    let leader = group.run_to_leader();
    group.propose(&leader, 1, b"kept");
    group.run(SECOND / 10);
    // A new instance with an empty folder starts, and a voter stops permanently.
    let [gone, last] = [others(&leader)[0].clone(), others(&leader)[1].clone()];
    group.start(NodeId::new("d", 44), Vec::new());
    group.stop(&gone);
    group.run(SECOND * 6);
    let current = voters(&group);
    assert!(current.contains(&"d".to_owned()) && !current.contains(&gone), "{current:?}");
    assert_eq!(current.len(), 3);
    // Right after the repair a second instance fails: nothing is lost and the group keeps working.
    group.stop(&last);
    let leader = group.run_to_leader();
    group.propose(&leader, 2, b"more");
    group.run(SECOND);
    assert!(accepted(&group, 1) && accepted(&group, 2));
}

#[test]
fn replace_voter_returned_becomes_learner() {
    let mut group = TestGroup::open_with(&["a", "b", "c"], maintain_three_voters);
    let leader = group.run_to_leader();
    let cut_off = others(&leader)[0].clone();
    group.start(NodeId::new("d", 44), Vec::new());
    group.cut.insert(cut_off.as_str().into());
    group.run(SECOND * 6);
    assert!(voters(&group).contains(&"d".to_owned()));
    // The partition heals: the replaced voter follows the group again and doesn't disturb it.
    group.cut.clear();
    group.run(SECOND * 6);
    let leader = group.leader().expect("the group has a leader");
    let members = group.nodes[&*leader].node.status().members;
    let learners: Vec<String> =
        members.learners.keys().map(|node| node.instance.to_string()).collect();
    assert_eq!(learners, std::slice::from_ref(&cut_off));
    group.propose(&leader, 1, b"seen");
    group.run(SECOND);
    assert_eq!(commands(&group, &cut_off), commands(&group, &leader));
}

#[test]
fn lost_folder_of_same_instance_is_replaced_within_four_seconds() {
    let mut group = TestGroup::open_with(&["a", "b", "c"], maintain_three_voters);
    let leader = group.run_to_leader();
    let wiped = others(&leader)[0].clone();
    group.stop(&wiped);
    group.run(SECOND / 2);
    let began = group.now;
    group.start(NodeId::new(wiped.as_str(), 55), Vec::new());
    loop {
        group.run(SECOND / 10);
        let members = group.nodes[&*leader].node.status().members;
        let has_vote = members.voters.iter().any(|voter| voter.identity.0 == 55);
        if has_vote && members.voters.len() == 3 {
            break;
        }
        assert!(group.now.since(began) < SECOND * 4, "redundancy isn't restored in time");
    }
}

#[test]
fn form_not_allowed_waits() {
    let mut group =
        TestGroup::open_with(&["a", "b", "c"], |settings| settings.may_bootstrap = false);
    group.run(SECOND * 20);
    assert_eq!(group.leader(), None);
}

/// The leader loses its folder and is back at once, so that the group has to elect another leader
/// before it can repair itself. A second instance may fail four seconds later.
#[test]
fn lost_folder_of_the_leader_is_replaced_within_four_seconds() {
    for round in 0..200 {
        let mut group = TestGroup::open_with(&["a", "b", "c"], maintain_three_voters);
        let leader = group.run_to_leader();
        // Starts the rounds at different points between two heartbeats, with other draws.
        group.run(Duration::from_millis(7 * round));
        group.stop(&leader);
        group.start(NodeId::new(leader.as_str(), 1_000 + round), Vec::new());
        group.run(SECOND * 4);
        let current = group.leader().expect("the group has a leader");
        let members = group.nodes[&*current].node.status().members;
        let has_vote = members.voters.iter().any(|voter| voter.identity.0 == 1_000 + round);
        assert!(has_vote && members.voters.len() == 3, "round {round}: {members:?}");
        let second = others(&leader).into_iter().find(|name| *name != current);
        group.stop(&second.expect("another instance"));
        group.propose(&current, 1, b"kept");
        group.run(SECOND);
        assert!(accepted(&group, 1), "round {round}");
    }
}

/// What becomes of an instance that loses power during the first start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PowerLoss {
    /// It is back a second later with its folder.
    KeepsFolder,
    /// It is back a second later with an empty folder, which isn't its first one.
    LosesFolder,
    /// It stays away.
    StaysAway,
}

/// The first folders of three instances, none of which has started yet.
fn founders_to_start() -> TestGroup {
    let mut group = TestGroup::open_with(&["a", "b", "c"], |settings| {
        maintain_three_voters(settings);
        settings.may_bootstrap = false;
    });
    for name in ["a", "b", "c"] {
        group.stop(name);
    }
    group
}

/// Starts the instances in `order`, 150 ms apart; `lost` loses power after `loss`.
fn start_with_loss(order: [&str; 3], lost: &str, loss: Duration, kind: PowerLoss) -> TestGroup {
    let mut group = founders_to_start();
    let began = group.now;
    let mut records = None;
    for step in 0..=250 {
        let at = Duration::from_millis(10 * step);
        group.run(at.saturating_sub(group.now.since(began)));
        for (name, start) in order.iter().zip([0, 150, 300]) {
            let is_due = at == Duration::from_millis(start);
            if is_due && !(*name == lost && at >= loss) {
                group.start(NodeId::founder((*name).into()), Vec::new());
            }
        }
        if at == loss && group.nodes.contains_key(lost) {
            records = Some(group.stop(lost));
        }
        let is_back = at == loss + SECOND;
        match (kind, records.take_if(|_| is_back)) {
            (PowerLoss::KeepsFolder, Some(records)) => {
                group.start(NodeId::founder(lost.into()), records);
            }
            (PowerLoss::LosesFolder, _) if is_back => {
                group.start(NodeId::new(lost, 77), Vec::new());
            }
            _ => {}
        }
    }
    group
}

/// One instance loses power at any moment of the first start, in each order of starts. Were the
/// first configured voter, or all voters, needed to form the group, there would be none after some
/// of these losses. Once all are back, a second instance may fail.
#[test]
fn founding_loss_of_one_at_any_moment_forms_the_group() {
    let orders = [
        ["a", "b", "c"],
        ["a", "c", "b"],
        ["b", "a", "c"],
        ["b", "c", "a"],
        ["c", "a", "b"],
        ["c", "b", "a"],
    ];
    let kinds = [PowerLoss::KeepsFolder, PowerLoss::LosesFolder, PowerLoss::StaysAway];
    let losses = (0..=45).map(|step| Duration::from_millis(20 * step));
    for ((order, lost), (loss, kind)) in orders
        .iter()
        .flat_map(|order| ["a", "b", "c"].map(|lost| (*order, lost)))
        .flat_map(|case| losses.clone().map(move |loss| (case, loss)))
        .flat_map(|(case, loss)| kinds.map(|kind| (case, (loss, kind))))
    {
        let case = format!("{order:?}, {lost} after {loss:?}: {kind:?}");
        let mut group = start_with_loss(order, lost, loss, kind);
        group.run(SECOND * 4);
        let leader = group.leader().unwrap_or_else(|| panic!("no group: {case}"));
        group.propose(&leader, 1, b"kept");
        group.run(SECOND / 2);
        assert!(accepted(&group, 1), "{case}");
        if !group.nodes.contains_key(lost) {
            continue;
        }
        let members = group.nodes[&*leader].node.status().members;
        let running: std::collections::BTreeSet<NodeId> =
            group.nodes.values().map(|test| test.node.status().id).collect();
        assert_eq!(members.voters, running, "{case}");
        let second = others(&leader).into_iter().find(|name| name != lost);
        group.stop(&second.unwrap_or(leader));
        let leader = group.run_to_leader();
        group.propose(&leader, 2, b"kept as well");
        group.run(SECOND / 2);
        assert!(accepted(&group, 2), "{case}");
        assert_eq!(commands(&group, &leader), [&b"kept"[..], b"kept as well"], "{case}");
    }
}

#[test]
fn founding_alone_waits_and_says_for_whom() {
    let mut group = founders_to_start();
    group.start(NodeId::founder("a".into()), Vec::new());
    group.run(SECOND * 5);
    let wait = group.nodes["a"].node.start_wait();
    assert_eq!(wait, Some(StartWait::Voters { more: 1, of: vec!["b".into(), "c".into()] }));
    // A later folder of another voter says nothing about what its first one did.
    group.start(NodeId::new("b", 7), Vec::new());
    group.run(SECOND * 5);
    assert_eq!(group.nodes["a"].node.start_wait(), wait);
    assert_eq!(group.nodes["b"].node.start_wait(), Some(StartWait::Group { leader: None }));
    group.start(NodeId::founder("c".into()), Vec::new());
    group.run_to_leader();
    assert_eq!(group.nodes["a"].node.start_wait(), None);
}
