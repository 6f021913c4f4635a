//! Checks that acknowledged configurations take effect and are never reverted.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_history::FaultHistory;
use crate::{GuaranteeBounds, GuaranteeViolation, SystemGuarantee};

/// Versions of the configuration that were sent, acknowledged and observed.
#[derive(Debug, Default)]
pub(crate) struct ChangeTracker {
    highest_sent: u64,
    /// Acknowledged versions in ascending order, with the time of the acknowledgement.
    acknowledged: VecDeque<(Duration, u64)>,
    /// The same for the versions that each ingress has shown since its start.
    observed: BTreeMap<Arc<str>, VecDeque<(Duration, u64)>>,
}

impl ChangeTracker {
    pub(crate) fn record_sent(&mut self, version: u64) {
        self.highest_sent = self.highest_sent.max(version);
    }

    pub(crate) fn record_ack(&mut self, at: Duration, version: u64) {
        add_version(&mut self.acknowledged, at, version);
    }

    pub(crate) fn reset(&mut self, process: &str) {
        self.observed.remove(process);
    }

    /// Checks the version that a control instance returned.
    pub(crate) fn check_read(
        &mut self,
        (asked, at): (Duration, Duration),
        process: &Arc<str>,
        version: u64,
        bounds: &GuaranteeBounds,
    ) -> Vec<GuaranteeViolation> {
        let in_force = version_at(&mut self.acknowledged, asked.saturating_sub(bounds.change_time));
        let line = match () {
            () if version > self.highest_sent => {
                format!("{process} shows version {version}, which was never sent")
            }
            () if version < in_force => {
                format!(
                    "{process} returned {version} at {asked:.1?} although {in_force} was in force"
                )
            }
            () => return Vec::new(),
        };
        vec![GuaranteeViolation::new(SystemGuarantee::ChangeKept, at, &[process], line)]
    }

    /// Checks the version that an ingress used.
    pub(crate) fn observe(
        &mut self,
        (sent, at): (Duration, Duration),
        process: &Arc<str>,
        version: u64,
        (bounds, faults): (&GuaranteeBounds, &FaultHistory),
    ) -> Vec<GuaranteeViolation> {
        let observed = self.observed.entry(Arc::clone(process)).or_default();
        let previous = version_at(observed, sent.saturating_sub(bounds.downgrade_slack));
        add_version(observed, at, version);
        if version < previous {
            let line = format!("{process} reverted from version {previous} to {version}");
            return vec![GuaranteeViolation::new(
                SystemGuarantee::ChangeKept,
                at,
                &[process],
                line,
            )];
        }
        let from = sent.saturating_sub(bounds.change_time);
        let is_affected = |name: &Arc<str>| faults.affects(name, from, at);
        if is_affected(process) || bounds.control.iter().any(is_affected) {
            return Vec::new();
        }
        self.check_read((sent, at), process, version, bounds)
    }
}

/// Adds a version unless it is already known or a higher one is.
fn add_version(versions: &mut VecDeque<(Duration, u64)>, at: Duration, version: u64) {
    if versions.back().is_none_or(|(_, highest)| *highest < version) {
        versions.push_back((at, version));
    }
}

/// The highest version that was known before `time`, or 0. Removes old versions.
fn version_at(versions: &mut VecDeque<(Duration, u64)>, time: Duration) -> u64 {
    let known = versions.iter().filter(|(at, _)| *at < time).count();
    // Reads may arrive out of order, but by far fewer versions than are kept.
    versions.drain(..known.saturating_sub(KEPT_VERSIONS));
    let known = known.min(KEPT_VERSIONS);
    known.checked_sub(1).and_then(|last| versions.get(last)).map_or(0, |(_, version)| *version)
}

/// Number of versions kept for reads that arrive out of order.
const KEPT_VERSIONS: usize = 64;
