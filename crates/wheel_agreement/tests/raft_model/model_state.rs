//! States of a search.

use std::hash::{Hash, Hasher};

use wheel_agreement::GroupId;

use super::ModelEvent;

/// What may still happen in a search; each event consumes a part of it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct ModelBudget {
    /// Events of all kinds in a sequence.
    pub(crate) events: u32,
    /// Terms above this one don't begin.
    pub(crate) max_term: u64,
    /// Timers that expire.
    pub(crate) ticks: u8,
    /// Commands proposed.
    pub(crate) proposals: u8,
    /// Reads requested.
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

/// A violated invariant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Violation {
    /// Two participants led in one term.
    TwoLeaders,
    /// Two participants applied different entries at one index, or a group state was replaced.
    AppliedDiffer,
    /// A leader of a later term lacked a committed entry.
    CommitLost,
    /// A read was answered without entries that were committed before it was requested.
    StaleRead,
    /// Two groups formed and both have leaders.
    TwoGroups,
}

/// A committed entry and the term in which it was committed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Commit {
    pub(super) entry: u32,
    pub(super) term: u64,
}

/// One state of a search, as numbers of the model's interners.
#[derive(Clone, Debug)]
pub(crate) struct ModelState {
    /// Events so far. Not part of the state's identity, because a breadth-first search reaches each
    /// state first on a shortest path.
    pub(crate) events: u32,
    pub(super) nodes: Vec<u32>,
    pub(super) messages: Vec<u32>,
    pub(super) commits: Vec<Commit>,
    pub(super) leaders: Vec<(GroupId, u64, u8)>,
    pub(super) min_read_index: Option<u64>,
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
        ((nodes, messages, commits), (leaders, self.min_read_index, self.budget, self.violation))
    }

    /// Subtracts an event from the budget.
    pub(super) fn consume(&mut self, event: ModelEvent) {
        let budget = &mut self.budget;
        let remaining = match event {
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
        *remaining = remaining.saturating_sub(1);
    }
}
