//! The exhaustive search.

use pathfinding::prelude::bfs_reach;

use super::{ModelState, RaftModel, Violation};

/// What a search met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SearchReport {
    /// Different states.
    pub(crate) states: usize,
    /// The first broken promise.
    pub(crate) violation: Option<Violation>,
}

/// Visits all states that can be reached from `start` within its budget, shortest courses first,
/// until a promise is broken.
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
