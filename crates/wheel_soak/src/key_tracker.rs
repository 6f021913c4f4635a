//! Checks that keys of teams take effect and are withdrawn in time, and reach no upstream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::{GuaranteeBounds, GuaranteeViolation, SystemGuarantee, TeamKey};

/// Number of versions kept; callers send keys of far fewer.
const KEPT_VERSIONS: usize = 64;

/// The keys of recent requests, and the versions that added or withdrew keys.
#[derive(Debug, Default)]
pub(crate) struct KeyTracker {
    keys: BTreeMap<Arc<str>, (Duration, TeamKey)>,
    highest_sent: u64,
    /// Acknowledged versions in ascending order, with the time of the acknowledgement. An older version that
    /// is acknowledged after a newer one isn't listed.
    acknowledged: VecDeque<(Duration, u64)>,
    /// Answers to requests without a valid key, with the time at which the request was sent, and whether it
    /// was refused for its key.
    invalid: VecDeque<(Duration, bool)>,
}

impl KeyTracker {
    pub(crate) fn record_sent(&mut self, version: u64) {
        self.highest_sent = self.highest_sent.max(version);
    }

    pub(crate) fn record_ack(&mut self, at: Duration, version: u64) {
        if self.acknowledged.back().is_none_or(|(_, highest)| *highest < version) {
            self.acknowledged.push_back((at, version));
            let old = self.acknowledged.len().saturating_sub(KEPT_VERSIONS);
            self.acknowledged.drain(..old);
        }
    }

    pub(crate) fn record_key(&mut self, at: Duration, id: &Arc<str>, key: &TeamKey) {
        self.keys.insert(Arc::clone(id), (at, *key));
    }

    /// Checks what an upstream received with a request that it runs.
    pub(crate) fn check_run(
        &self,
        at: Duration,
        id: &Arc<str>,
        (team, has_key): (Option<&Arc<str>>, bool),
        bounds: &GuaranteeBounds,
    ) -> Vec<GuaranteeViolation> {
        // Runs without teams, and the operators' probes of a public route, have no record.
        let Some((sent, key)) = self.keys.get(id) else { return Vec::new() };
        let withdrawn = self.withdrawn_at(key);
        let is_late = withdrawn.is_some_and(|at| *sent > at + bounds.withdrawal_time);
        let team = team.map(|team| &**team);
        let line = match key.team() {
            _ if has_key => "reached an upstream with a key".to_owned(),
            None => format!("ran with {key:?}"),
            Some(_) if is_late => format!("ran with {key:?}, sent at {sent:.1?}, withdrawn before"),
            Some(holder) if team != Some(holder) => format!("of {holder} ran as {team:?}"),
            Some(_) => return Vec::new(),
        };
        vec![GuaranteeViolation::new(SystemGuarantee::KeysKept, at, &[id], line)]
    }

    /// Checks the status of a complete answer.
    pub(crate) fn check_answer(
        &mut self,
        at: Duration,
        (id, process): (&Arc<str>, &Arc<str>),
        status: u16,
        bounds: &GuaranteeBounds,
    ) -> Vec<GuaranteeViolation> {
        let Some(&(sent, key)) = self.keys.get(id) else { return Vec::new() };
        let (first, end) = key.versions();
        let added = self.acknowledged.iter().find(|(_, version)| *version >= first);
        let is_added = added.is_some_and(|(at, _)| sent > *at + bounds.change_time);
        let line = match key.team() {
            None => {
                self.invalid.push_back((sent, status == 401));
                match status {
                    // 503: the key may be in a configuration that hasn't arrived yet.
                    401 | 503 => return Vec::new(),
                    _ => format!("{process} answered {status} to {key:?}"),
                }
            }
            Some(_) if status == 401 && is_added && self.highest_sent < end => {
                format!("{process} answered 401 to the valid key {key:?}")
            }
            Some(_) => return Vec::new(),
        };
        vec![GuaranteeViolation::new(SystemGuarantee::KeysKept, at, &[id, process], line)]
    }

    /// Checks that after the recovery time requests without a valid key are refused as such.
    pub(crate) fn finish(
        &self,
        (from, at): (Duration, Duration),
        bounds: &GuaranteeBounds,
    ) -> Option<GuaranteeViolation> {
        let answers = || self.invalid.iter().filter(|(sent, _)| *sent >= from);
        let (count, refused) = (answers().count(), answers().filter(|(_, is_401)| *is_401).count());
        let is_enough = refused as f64 >= bounds.served_share * count as f64;
        let line = format!("{refused} of {count} requests without a valid key got 401");
        let guarantee = SystemGuarantee::KeysKept;
        (!is_enough).then(|| GuaranteeViolation::new(guarantee, at, &[], line))
    }

    /// Forgets requests that were sent before.
    pub(crate) fn remove_before(&mut self, before: Duration) {
        self.keys.retain(|_, (sent, _)| *sent >= before);
        self.invalid.retain(|(sent, _)| *sent >= before);
    }

    /// When the first version without a key that was in an older one was acknowledged.
    fn withdrawn_at(&self, key: &TeamKey) -> Option<Duration> {
        let (_, end) = key.versions();
        let found = self.acknowledged.iter().find(|(_, version)| *version >= end);
        found.map(|(at, _)| *at)
    }
}
