//! States of a search.

use std::hash::{Hash, Hasher};

use wheel_agreement::GroupId;

use super::ModelEvent;

/// What may still happen in a search; each event uses some up.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct ModelBudget {
    /// Events of all kinds in a course.
    pub(crate) events: u32,
    /// Terms above this one don't begin.
    pub(crate) max_term: u64,
    /// Timers that run out.
    pub(crate) ticks: u8,
    /// Commands proposed.
    pub(crate) proposals: u8,
    /// Reads asked for.
    pub(crate) reads: u8,
    /// Processes killed and started again.
    pub(crate) crashes: u8,
    /// Data folders lost.
    pub(crate) losses: u8,
    /// Voters removed by an operator.
    pub(crate) removals: u8,
    /// Leaders that hand over.
    pub(crate) resigns: u8,
    /// Snapshots taken.
    pub(crate) snapshots: u8,
}

/// A promise that was broken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Violation {
    /// Two participants led in one term.
    TwoLeaders,
    /// Two participants applied different entries at one index, or a group state was replaced.
    AppliedDiffer,
    /// A leader of a later term lacked a committed entry.
    CommitLost,
    /// A read was answered without what was committed before it was asked.
    StaleRead,
    /// Two groups formed and both have leaders.
    TwoGroups,
}

/// A committed entry and the term in which it was.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Commit {
    pub(super) entry: u32,
    pub(super) term: u64,
}

/// One state of a search, in numbers of the model's interners.
#[derive(Clone, Debug)]
pub(crate) struct ModelState {
    /// Events so far; no part of the state's identity, for a breadth-first search meets each state
    /// first on a shortest way.
    pub(crate) events: u32,
    pub(super) nodes: Vec<u32>,
    pub(super) messages: Vec<u32>,
    pub(super) commits: Vec<Commit>,
    pub(super) leaders: Vec<(GroupId, u64, u8)>,
    pub(super) read_floor: Option<u64>,
    pub(crate) budget: ModelBudget,
    pub(crate) violation: Option<Violation>,
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity().hash(state);
    }
}

impl ModelState {
    fn identity(&self) -> impl Eq + Hash {
        let Self { nodes, messages, commits, leaders, .. } = self;
        ((nodes, messages, commits), (leaders, self.read_floor, self.budget, self.violation))
    }

    /// Takes an event from the budget.
    pub(super) fn spend(&mut self, event: ModelEvent) {
        let budget = &mut self.budget;
        let spent = match event {
            ModelEvent::Deliver(_) => return,
            ModelEvent::Tick => &mut budget.ticks,
            ModelEvent::Propose(_) => &mut budget.proposals,
            ModelEvent::Read => &mut budget.reads,
            ModelEvent::Crash => &mut budget.crashes,
            ModelEvent::LoseFolder => &mut budget.losses,
            ModelEvent::Remove(_) => &mut budget.removals,
            ModelEvent::Resign => &mut budget.resigns,
            ModelEvent::Compact => &mut budget.snapshots,
        };
        *spent = spent.saturating_sub(1);
    }
}
