//! The faults of a run, their targets and times.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Names of groups at one end of a link, as in `entries>engine-2`.
const SIDES: [&str; 2] = ["callers", "entries"];

/// The beginning of the kinds of fault of links.
const LINK_KINDS: &str = "link_";
/// Kinds of fault that end an upstream.
const ENDING_KINDS: [&str; 3] = ["address_reused", "upstream_crash", "upstream_replaced"];

#[derive(Debug)]
struct FaultSpan {
    kind: Arc<str>,
    target: Arc<str>,
    began: Duration,
    ended: Option<Duration>,
}

impl FaultSpan {
    fn overlaps(&self, from: Duration, to: Duration) -> bool {
        self.began <= to && self.ended.is_none_or(|ended| ended >= from)
    }
}

/// The recent faults.
#[derive(Debug, Default)]
pub(crate) struct FaultHistory {
    spans: VecDeque<FaultSpan>,
}

impl FaultHistory {
    pub(crate) fn begin(&mut self, at: Duration, kind: &Arc<str>, target: &Arc<str>) {
        let (kind, target) = (Arc::clone(kind), Arc::clone(target));
        self.spans.push_back(FaultSpan { kind, target, began: at, ended: None });
    }

    pub(crate) fn end(&mut self, at: Duration, kind: &str, target: &str) {
        let is_same = |span: &&mut FaultSpan| {
            span.ended.is_none() && &*span.kind == kind && &*span.target == target
        };
        if let Some(span) = self.spans.iter_mut().find(is_same) {
            span.ended = Some(at);
        }
    }

    pub(crate) fn end_all(&mut self, at: Duration) {
        for span in self.spans.iter_mut().filter(|span| span.ended.is_none()) {
            span.ended = Some(at);
        }
    }

    /// Adds a fault without duration.
    pub(crate) fn add_instant(&mut self, at: Duration, kind: &str, target: &Arc<str>) {
        self.begin(at, &kind.into(), target);
        self.end(at, kind, target);
    }

    /// Whether a fault affected `name`, or one of its links, between `from` and `to`.
    pub(crate) fn affects(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        spans.any(|span| names_in(&span.target).any(|found| found == name))
    }

    /// Whether a fault affected `name` itself, rather than a link, between `from` and `to`.
    pub(crate) fn affects_itself(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        spans.any(|span| &*span.target == name)
    }

    /// Whether a fault affected `name`, or its link to a whole group, between `from` and `to`.
    pub(crate) fn affects_alone(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        let is_single = |found: &&str| !SIDES.contains(found);
        spans.any(|span| names_in(&span.target).filter(is_single).eq([name]))
    }

    /// Whether a fault affected a link of `name` between `from` and `to`.
    pub(crate) fn affects_link(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        let is_link = |span: &FaultSpan| span.kind.starts_with(LINK_KINDS);
        spans.any(|span| is_link(span) && names_in(&span.target).any(|found| found == name))
    }

    /// Whether the upstream `name` ended or was cut off between `from` and `to`.
    pub(crate) fn cuts_off(&self, name: &str, from: Duration, to: Duration) -> bool {
        let is_cutting = |kind: &str| kind.starts_with(LINK_KINDS) || ENDING_KINDS.contains(&kind);
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        spans
            .any(|span| is_cutting(&span.kind) && names_in(&span.target).any(|found| found == name))
    }

    pub(crate) fn remove_before(&mut self, before: Duration) {
        self.spans.retain(|span| span.ended.is_none_or(|ended| ended >= before));
    }
}

/// The names in a target: `entry-1`, or both ends of a link such as `entry-1>engine-2`.
pub(crate) fn names_in(target: &str) -> impl Iterator<Item = &str> {
    let is_separator = |letter: char| !letter.is_alphanumeric() && !"-_.".contains(letter);
    let names = target.split(is_separator).map(|name| name.trim_matches('-'));
    names.filter(|name| !name.is_empty())
}
