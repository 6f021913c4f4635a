//! Whether configurations stay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_history::FaultHistory;
use crate::{PromiseBounds, PromiseViolation, SoakPromise};

/// Versions that were sent, acknowledged and shown.
#[derive(Debug, Default)]
pub(crate) struct ChangeWatch {
    highest_sent: u64,
    /// Ever higher versions, with the time of their acknowledgement.
    acknowledged: VecDeque<(Duration, u64)>,
    /// The same for what each entry showed in its life.
    shown: BTreeMap<Arc<str>, VecDeque<(Duration, u64)>>,
}

impl ChangeWatch {
    pub(crate) fn send(&mut self, version: u64) {
        self.highest_sent = self.highest_sent.max(version);
    }

    pub(crate) fn acknowledge(&mut self, at: Duration, version: u64) {
        raise(&mut self.acknowledged, at, version);
    }

    pub(crate) fn start(&mut self, process: &str) {
        self.shown.remove(process);
    }

    /// Judges what a control instance answered with.
    pub(crate) fn read(
        &mut self,
        (asked, at): (Duration, Duration),
        process: &Arc<str>,
        version: u64,
        bounds: &PromiseBounds,
    ) -> Vec<PromiseViolation> {
        let due = settled(&mut self.acknowledged, asked.saturating_sub(bounds.change_time));
        let line = match () {
            () if version > self.highest_sent => {
                format!("{process} shows version {version}, which nobody sent")
            }
            () if version < due => {
                format!("{process} was asked at {asked:.1?} and has {version}; {due} was in force")
            }
            () => return Vec::new(),
        };
        vec![PromiseViolation::new(SoakPromise::ChangeKept, at, &[process], line)]
    }

    /// Judges what an entry went by.
    pub(crate) fn show(
        &mut self,
        (sent, at): (Duration, Duration),
        process: &Arc<str>,
        version: u64,
        (bounds, faults): (&PromiseBounds, &FaultHistory),
    ) -> Vec<PromiseViolation> {
        let shown = self.shown.entry(Arc::clone(process)).or_default();
        let own = settled(shown, sent.saturating_sub(bounds.downgrade_slack));
        raise(shown, at, version);
        if version < own {
            let line = format!("{process} went back from version {own} to {version}");
            return vec![PromiseViolation::new(SoakPromise::ChangeKept, at, &[process], line)];
        }
        let from = sent.saturating_sub(bounds.change_time);
        let is_harmed = |name: &Arc<str>| faults.harms(name, from, at);
        if is_harmed(process) || bounds.control.iter().any(is_harmed) {
            return Vec::new();
        }
        self.read((sent, at), process, version, bounds)
    }
}

/// Adds a version unless a higher one stands there.
fn raise(versions: &mut VecDeque<(Duration, u64)>, at: Duration, version: u64) {
    if versions.back().is_none_or(|(_, highest)| *highest < version) {
        versions.push_back((at, version));
    }
}

/// The highest version that stood there at `time`; forgets all below it.
fn settled(versions: &mut VecDeque<(Duration, u64)>, time: Duration) -> u64 {
    let known = versions.iter().filter(|(at, _)| *at < time).count();
    // Reads may come out of order, by far less than this many versions.
    versions.drain(..known.saturating_sub(KEPT_VERSIONS));
    let known = known.min(KEPT_VERSIONS);
    known.checked_sub(1).and_then(|last| versions.get(last)).map_or(0, |(_, version)| *version)
}

/// Versions kept below the newest that is settled.
const KEPT_VERSIONS: usize = 64;
