//! Which faults acted, on whom and when.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Names of whole sides in the targets of links, as in `entries>engine-2`.
const SIDES: [&str; 2] = ["callers", "entries"];

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

/// The faults of the last while.
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
        let is_meant = |span: &&mut FaultSpan| {
            span.ended.is_none() && &*span.kind == kind && &*span.target == target
        };
        if let Some(span) = self.spans.iter_mut().find(is_meant) {
            span.ended = Some(at);
        }
    }

    pub(crate) fn end_all(&mut self, at: Duration) {
        for span in self.spans.iter_mut().filter(|span| span.ended.is_none()) {
            span.ended = Some(at);
        }
    }

    /// Notes a fault of a moment.
    pub(crate) fn strike(&mut self, at: Duration, kind: &str, target: &Arc<str>) {
        self.begin(at, &kind.into(), target);
        self.end(at, kind, target);
    }

    /// Whether a fault acted on `name`, or on one of its links, between `from` and `to`.
    pub(crate) fn harms(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        spans.any(|span| names_of(&span.target).any(|found| found == name))
    }

    /// Whether a fault acted on `name` itself, rather than on a link, between `from` and `to`.
    pub(crate) fn strikes(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        spans.any(|span| &*span.target == name)
    }

    /// Whether a fault acted on `name`, or on a link between it and a whole side, between `from` and `to`.
    pub(crate) fn breaks(&self, name: &str, from: Duration, to: Duration) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.overlaps(from, to));
        let is_one = |found: &&str| !SIDES.contains(found);
        spans.any(|span| names_of(&span.target).filter(is_one).eq([name]))
    }

    pub(crate) fn forget(&mut self, before: Duration) {
        self.spans.retain(|span| span.ended.is_none_or(|ended| ended >= before));
    }
}

/// The processes and upstreams of a target: `entry-1`, or both ends of a link as `entry-1>engine-2`.
pub(crate) fn names_of(target: &str) -> impl Iterator<Item = &str> {
    let is_between = |letter: char| !letter.is_alphanumeric() && !"-_.".contains(letter);
    let names = target.split(is_between).map(|name| name.trim_matches('-'));
    names.filter(|name| !name.is_empty())
}
