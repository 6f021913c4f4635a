//! Replica history that engines don't report.

use std::collections::HashMap;
use std::time::Duration;

use wheel_policy::CheckpointSource;
use wheel_types::{ModelName, ModelPhase, MonotonicTime, UpstreamName};

/// One replica on one engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ReplicaKey {
    pub(crate) upstream: UpstreamName,
    pub(crate) model: ModelName,
}

/// The history of one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaRecord {
    pub(crate) phase: ModelPhase,
    /// When the phase began. A replica that an earlier holder loaded counts as loaded long ago, so
    /// that a change of holder doesn't delay the reuse of its memory.
    pub(crate) since: MonotonicTime,
    /// When it was first seen; it counts as used then.
    pub(crate) first_seen: MonotonicTime,
    /// When its drain began, if it drains.
    pub(crate) draining: Option<MonotonicTime>,
    /// When the instances were last notified that it drains.
    pub(crate) notified: MonotonicTime,
    /// Where it was loaded from.
    pub(crate) source: CheckpointSource,
}

/// The records of all replicas of the data centre; those of replicas that are gone are dropped.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTable {
    replicas: HashMap<ReplicaKey, ReplicaRecord>,
}

impl ReplicaTable {
    /// Records a replica's phase and returns its record.
    pub(crate) fn update(
        &mut self,
        now: MonotonicTime,
        key: ReplicaKey,
        phase: ModelPhase,
    ) -> ReplicaRecord {
        let since = match phase {
            ModelPhase::Loaded => MonotonicTime::default(),
            _ => now,
        };
        let fresh = ReplicaRecord { since, ..ReplicaRecord::new(now, phase) };
        let record = self.replicas.entry(key).or_insert(fresh);
        if record.phase != phase {
            (record.phase, record.since) = (phase, now);
        }
        *record
    }

    /// Records that a load was ordered.
    pub(crate) fn begin_load(
        &mut self,
        now: MonotonicTime,
        key: ReplicaKey,
        source: CheckpointSource,
    ) {
        let record = ReplicaRecord { source, ..ReplicaRecord::new(now, ModelPhase::Loading) };
        self.replicas.insert(key, record);
    }

    /// Records that a replica drains, or no longer does.
    pub(crate) fn set_draining(&mut self, key: &ReplicaKey, since: Option<MonotonicTime>) {
        if let Some(record) = self.replicas.get_mut(key) {
            record.draining = since;
            record.notified = since.unwrap_or(record.notified);
        }
    }

    /// Whether a drain began less than `span` ago and may therefore end soon.
    pub(crate) fn drains_since(&self, now: MonotonicTime, span: Duration) -> bool {
        let mut drains = self.replicas.values().filter_map(|record| record.draining);
        drains.any(|since| now.since(since) < span)
    }

    /// The draining replicas whose notice is due again: once after `grace`, so that the report that
    /// follows can't be outdated by a request in transit, and then every `interval`.
    pub(crate) fn take_due_notices(
        &mut self,
        now: MonotonicTime,
        grace: Duration,
        interval: Duration,
    ) -> Vec<ReplicaKey> {
        let is_due = |record: &ReplicaRecord| {
            record.draining.is_some_and(|since| {
                let grace_end = since + grace;
                (record.notified < grace_end && now >= grace_end)
                    || now.since(record.notified) >= interval
            })
        };
        let due = self.replicas.iter_mut().filter(|(_, record)| is_due(record));
        due.map(|(key, record)| {
            record.notified = now;
            key.clone()
        })
        .collect()
    }

    /// Drops all records; another holder may have decided otherwise.
    pub(crate) fn clear(&mut self) {
        self.replicas.clear();
    }

    /// Drops the replicas for which `is_present` is false.
    pub(crate) fn retain(&mut self, is_present: impl Fn(&ReplicaKey) -> bool) {
        self.replicas.retain(|key, _| is_present(key));
    }

    /// The record of a replica.
    pub(crate) fn get(&self, key: &ReplicaKey) -> Option<&ReplicaRecord> {
        self.replicas.get(key)
    }
}

impl ReplicaRecord {
    fn new(now: MonotonicTime, phase: ModelPhase) -> Self {
        Self {
            phase,
            since: now,
            first_seen: now,
            draining: None,
            notified: MonotonicTime::default(),
            source: CheckpointSource::Store,
        }
    }
}
