//! Invariants of the replicated log, checked by an exhaustive search within small bounds.
//!
//! Three voters. Each search starts from one state and visits every sequence of at most
//! [`ModelBudget::events`] events: any message delivered, late, twice or never, any timer expired,
//! a process killed, a folder lost. These invariants hold in every state, see [`Violation`]:
//! - a term has at most one leader, and at most one group forms;
//! - all participants apply the same entries at the same indices, snapshots included;
//! - the leader of a later term holds every entry committed before;
//! - a read sees all that was committed before it was requested.
//!
//! Each search runs on the real nodes, where it must find no violation, and with a planted
//! [`Fault`], which it must find.

mod raft_model;

use raft_model::{
    Fault, ModelBudget, ModelEvent, ModelState, RaftModel, SearchReport, Violation, search,
};
use wheel_agreement::RoleName;

const ALL: [usize; 3] = [0, 1, 2];
const A: usize = 0;
const B: usize = 1;
const C: usize = 2;
const D: usize = 3;

/// Creates the first state of a search.
type StartState = fn(&mut RaftModel, ModelBudget) -> ModelState;

/// Searches from a state of the group `a`, `b`, `c`.
fn run(name: &str, fault: Option<Fault>, start: StartState, budget: ModelBudget) -> SearchReport {
    let mut model = RaftModel::open(&["a", "b", "c"], fault);
    let state = start(&mut model, budget);
    search(&mut model, &state, name)
}

/// Searches from a state of the instances `a`, `b`, `c` whose first folders form the group.
fn check_founders(name: &str, start: StartState, budget: ModelBudget, fault: Option<Fault>) {
    let mut model = RaftModel::open_founders(&["a", "b", "c"], fault);
    let state = start(&mut model, budget);
    let report = search(&mut model, &state, name);
    let has_fault = fault.is_some();
    assert_eq!(report.violation.is_some(), has_fault, "{name}: {:?}", report.violation);
}

/// Searches without a fault, and with each planted one, which must lead to its violation.
fn check(name: &str, start: StartState, budget: ModelBudget, planted: &[(Fault, Violation)]) {
    assert_eq!(run(name, None, start, budget).violation, None, "{name}");
    for (fault, violation) in planted {
        let name = format!("{name} {fault:?}");
        assert_eq!(run(&name, Some(*fault), start, budget).violation, Some(*violation), "{name}");
    }
}

/// The timer at `a` expired first; by symmetry this covers each of the three.
fn first_timeout(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = model.formed_state(budget);
    model.force(&state, A, ModelEvent::Tick)
}

/// `a` leads term 1 and all three know it.
fn leader_elected(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = first_timeout(model, budget);
    let state = model.settle(state, &ALL);
    model.without_messages(&state)
}

/// As [`leader_elected`]; then `a` and `b` committed a command, which `c` lacks.
fn lagging(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = leader_elected(model, budget);
    let state = model.force(&state, A, ModelEvent::Propose(9));
    let state = model.settle(state, &[A, B]);
    model.without_messages(&state)
}

/// As [`lagging`]; then `b` lost its folder.
fn folder_lost(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = lagging(model, budget);
    model.force(&state, B, ModelEvent::LoseFolder)
}

/// As [`folder_lost`]; then the new folder at `b` became a learner that has caught up, and the
/// leader is about to replace the old one.
fn learner_caught_up(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let mut state = folder_lost(model, budget);
    for node_index in [A, B, B] {
        state = model.force(&state, node_index, ModelEvent::Tick);
        state = model.settle(state, &ALL);
    }
    let members = model.status(&state, A).members;
    assert_eq!((members.voters.len(), members.learners.len()), (3, 1), "the repair has begun");
    model.without_messages(&state)
}

/// All folders are empty.
fn empty(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    model.empty_state(budget)
}

/// `a` formed the group and leads it with `b`; no message about it reached `c`.
fn half_formed(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = model.empty_state(budget);
    let state = model.force(&state, A, ModelEvent::Tick);
    let state = model.settle(state, &[B, C]);
    let state = model.settle(state, &[A, B]);
    model.without_messages(&state)
}

#[test]
fn search_elections() {
    let budget =
        ModelBudget { events: 12, max_term: 2, ticks: 1, crashes: 1, ..Default::default() };
    let planted =
        [(Fault::ForgetVote, Violation::TwoLeaders), (Fault::VoteTwice, Violation::TwoLeaders)];
    check("elections", first_timeout, budget, &planted);
}

#[test]
fn search_replication() {
    let budget = ModelBudget {
        events: 12,
        max_term: 3,
        ticks: 3,
        proposals: 1,
        crashes: 1,
        ..Default::default()
    };
    let planted = [
        (Fault::ForgetEntries, Violation::CommitLost),
        (Fault::ConfirmRejected, Violation::CommitLost),
    ];
    check("replication", lagging, budget, &planted);
}

#[test]
fn search_snapshots() {
    let budget = ModelBudget {
        events: 12,
        max_term: 2,
        ticks: 2,
        proposals: 1,
        snapshots: 2,
        ..Default::default()
    };
    let planted = [(Fault::ShiftSnapshot, Violation::AppliedDiffer)];
    check("snapshots", lagging, budget, &planted);
}

#[test]
fn search_reads() {
    let budget = ModelBudget {
        events: 12,
        max_term: 2,
        ticks: 3,
        proposals: 1,
        reads: 1,
        ..Default::default()
    };
    check("reads", leader_elected, budget, &[(Fault::ReadAtOnce, Violation::StaleRead)]);
}

#[test]
fn search_removals() {
    let budget = ModelBudget {
        events: 12,
        max_term: 3,
        ticks: 3,
        crashes: 1,
        removals: 2,
        ..Default::default()
    };
    check("removals", leader_elected, budget, &[(Fault::ForgetEntries, Violation::CommitLost)]);
}

#[test]
fn search_resignation() {
    let budget = ModelBudget {
        events: 12,
        max_term: 2,
        ticks: 1,
        crashes: 1,
        resigns: 1,
        ..Default::default()
    };
    let planted = [(Fault::ForgetVote, Violation::TwoLeaders)];
    check("resignation", leader_elected, budget, &planted);
}

#[test]
fn search_lost_folder() {
    let budget = ModelBudget {
        events: 14,
        max_term: 3,
        ticks: 3,
        crashes: 1,
        losses: 1,
        ..Default::default()
    };
    check("lost folder", lagging, budget, &[(Fault::KeepIdentity, Violation::CommitLost)]);
}

#[test]
fn search_crash_before_repair() {
    let budget =
        ModelBudget { events: 17, max_term: 3, ticks: 5, crashes: 1, ..Default::default() };
    let planted = [(Fault::KeepIdentity, Violation::CommitLost)];
    check("crash before repair", folder_lost, budget, &planted);
}

#[test]
fn search_crash_after_repair() {
    let budget =
        ModelBudget { events: 16, max_term: 3, ticks: 4, crashes: 1, ..Default::default() };
    check("crash after repair", learner_caught_up, budget, &[]);
}

#[test]
fn search_forming() {
    let budget = ModelBudget {
        events: 14,
        max_term: 2,
        ticks: 3,
        crashes: 1,
        losses: 1,
        ..Default::default()
    };
    check("forming", empty, budget, &[]);
    check("half formed", half_formed, budget, &[(Fault::ClaimEmpty, Violation::TwoGroups)]);
}

/// `a` and `b` formed the group of first folders, and `a` leads it; `c` hasn't heard of it.
fn founded_by_two(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = model.empty_state(budget);
    let state = model.force(&state, A, ModelEvent::Tick);
    let state = model.settle(state, &[A, B]);
    assert_eq!(model.status(&state, A).role, RoleName::Leader, "two of three are enough");
    assert_eq!(model.status(&state, C).role, RoleName::Joining);
    model.without_messages(&state)
}

#[test]
fn search_founding() {
    let budget = ModelBudget {
        events: 12,
        max_term: 2,
        ticks: 3,
        crashes: 1,
        losses: 1,
        ..Default::default()
    };
    check_founders("founding", empty, budget, None);
}

#[test]
fn search_founded_by_two() {
    let budget = ModelBudget {
        events: 14,
        max_term: 2,
        ticks: 3,
        proposals: 1,
        crashes: 1,
        losses: 1,
        ..Default::default()
    };
    check_founders("founded by two", founded_by_two, budget, None);
    check_founders("founded by two, again", founded_by_two, budget, Some(Fault::FoundAgain));
}

/// `a`, `b` and `d` are the voters: `d` replaced `c`, which was away and holds nothing of that.
fn replaced_by_spare(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let mut state = model.empty_state(budget);
    state = model.force(&state, A, ModelEvent::Tick);
    state = model.settle(state, &ALL);
    for node_index in [D, A, A, A] {
        state = model.force(&state, node_index, ModelEvent::Tick);
        state = model.settle(state, &[A, B, D]);
        state = model.without_messages(&state);
    }
    let members = model.status(&state, A).members;
    let voters: Vec<&str> = members.voters.iter().map(|voter| voter.instance.as_str()).collect();
    assert_eq!(voters, ["a", "b", "d"]);
    assert_eq!(model.status(&state, C).members.voters.len(), 3);
    assert!(model.status(&state, C).members.contains(&model.status(&state, C).id));
    state
}

/// As [`replaced_by_spare`]; then `d` leads, which `c` doesn't know.
fn led_by_spare(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let state = replaced_by_spare(model, budget);
    let state = model.force(&state, A, ModelEvent::Resign);
    let state = model.settle(state, &[A, B, D]);
    assert_eq!(model.status(&state, D).role, RoleName::Leader);
    model.without_messages(&state)
}

/// As [`led_by_spare`]; then `c` asked to be a member again and replaced `a`, which was away.
fn returned_for_another(model: &mut RaftModel, budget: ModelBudget) -> ModelState {
    let mut state = led_by_spare(model, budget);
    // `c` asks those that it knows, and then the leader that they name.
    for node_index in [C, C, D, D, D] {
        state = model.force(&state, node_index, ModelEvent::Tick);
        state = model.settle(state, &[B, C, D]);
        state = model.without_messages(&state);
    }
    let members = model.status(&state, D).members;
    let voters: Vec<&str> = members.voters.iter().map(|voter| voter.instance.as_str()).collect();
    assert_eq!(voters, ["b", "c", "d"]);
    state
}

/// Searches from a state of the group `a`, `b`, `c` with the spare `d`.
fn check_spare(
    name: &str,
    start: StartState,
    budget: ModelBudget,
    planted: Option<(Fault, Violation)>,
) {
    let mut model = RaftModel::open_spare(&["a", "b", "c"], "d", planted.map(|(fault, _)| fault));
    let state = start(&mut model, budget);
    let report = search(&mut model, &state, name);
    assert_eq!(report.violation, planted.map(|(_, violation)| violation), "{name}");
}

/// A voter that was replaced holds entries and a vote; it must not count in two quorums when it asks
/// to be a member again, whether who leads is named rightly, wrongly or not at all.
#[test]
fn search_replaced_voter_returns() {
    let budget = ModelBudget {
        events: 10,
        max_term: 4,
        ticks: 3,
        proposals: 1,
        crashes: 1,
        ..Default::default()
    };
    check_spare("replaced voter returns", replaced_by_spare, budget, None);
    check_spare("replaced voter returns to another leader", led_by_spare, budget, None);
    check_spare("replaced voter has replaced another", returned_for_another, budget, None);
    let wrong = ModelBudget { proposals: 0, crashes: 0, ..budget };
    let named_wrongly = search_with(Fault::NameWrongLeader, led_by_spare, wrong);
    assert_eq!(named_wrongly.violation, None);
    let forgotten = (Fault::ForgetEntries, Violation::CommitLost);
    check_spare("replaced voter returns, forgotten", led_by_spare, budget, Some(forgotten));
}

fn search_with(fault: Fault, start: StartState, budget: ModelBudget) -> SearchReport {
    let mut model = RaftModel::open_spare(&["a", "b", "c"], "d", Some(fault));
    let state = start(&mut model, budget);
    search(&mut model, &state, &format!("{fault:?}"))
}
