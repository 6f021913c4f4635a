//! Detects cycles in the dependencies of services.

use std::collections::HashMap;

use crate::fault_list::FaultList;
use crate::spanned_manifest::SpannedManifest;

/// The state of a service in the depth-first search.
#[derive(Clone, Copy, Eq, PartialEq)]
enum VisitState {
    Unseen,
    OnPath,
    Done,
}

/// Checks the dependencies of one manifest.
pub(crate) struct CycleCheck<'a, 'f, 's> {
    manifest: &'a SpannedManifest<'a>,
    faults: &'f mut FaultList<'s>,
    indexes: HashMap<&'a str, usize>,
    states: Vec<VisitState>,
    path: Vec<VisitStep>,
}

/// A service on the path and its next dependency to visit.
#[derive(Clone, Copy)]
struct VisitStep {
    service: usize,
    next: usize,
}

impl<'a, 'f, 's> CycleCheck<'a, 'f, 's> {
    pub(crate) fn new(manifest: &'a SpannedManifest<'a>, faults: &'f mut FaultList<'s>) -> Self {
        let services = manifest.services.entries.iter().enumerate();
        let indexes = services.map(|(index, entry)| (entry.spec.name.as_str(), index)).collect();
        let states = vec![VisitState::Unseen; manifest.services.entries.len()];
        Self { manifest, faults, indexes, states, path: Vec::new() }
    }

    pub(crate) fn run(&mut self) {
        for service in 0..self.states.len() {
            self.visit(service);
            while self.step() {}
        }
    }

    fn visit(&mut self, service: usize) {
        if self.states[service] == VisitState::Unseen {
            self.states[service] = VisitState::OnPath;
            self.path.push(VisitStep { service, next: 0 });
        }
    }

    /// Follows the next dependency of the last service on the path; false when the path is empty.
    fn step(&mut self) -> bool {
        let Some(last) = self.path.last_mut() else { return false };
        let VisitStep { service, next } = *last;
        last.next += 1;
        let entry = &self.manifest.services.entries[service];
        let Some(name) = entry.spec.depends_on.get(next) else {
            self.states[service] = VisitState::Done;
            self.path.pop();
            return true;
        };
        match self.indexes.get(name.as_str()) {
            Some(index) if self.states[*index] == VisitState::OnPath => {
                let problem =
                    format!("services need each other in a circle: {}", self.cycle(*index));
                let span = entry.spans.item_span("depends_on", next);
                self.faults.add(span, problem, "leave one of these dependencies out");
            }
            Some(index) => self.visit(*index),
            None => {}
        }
        true
    }

    fn cycle(&self, first: usize) -> String {
        let start = self.path.iter().position(|step| step.service == first).unwrap_or_default();
        let cycle = self.path[start..].iter().map(|step| step.service).chain([first]);
        let names = cycle.map(|index| self.manifest.services.entries[index].spec.name.to_string());
        names.collect::<Vec<_>>().join(" -> ")
    }
}
