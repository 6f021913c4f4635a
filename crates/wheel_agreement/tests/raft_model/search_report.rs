//! The exhaustive search.

use pathfinding::prelude::bfs_reach;

use super::{ModelState, RaftModel, Violation};

/// The result of a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SearchReport {
    /// Number of distinct states visited.
    pub(crate) states: usize,
    /// The first violated invariant.
    pub(crate) violation: Option<Violation>,
}

/// Visits all states reachable from `start` within its budget, shortest sequences first, until an
/// invariant is violated.
pub(crate) fn search(model: &mut RaftModel, start: &ModelState, name: &str) -> SearchReport {
    let mut report = SearchReport { states: 0, violation: None };
    let first = ModelState { events: 0, ..start.clone() };
    for state in bfs_reach(first, |state| model.successors(state)) {
        report.states += 1;
        report.violation = state.violation;
        if report.violation.is_some() {
            break;
        }
    }
    println!("search={name} states={} {:?}", report.states, start.budget);
    report
}
