//! What the director remembers of replicas beyond what engines tell.

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

/// The life of a replica so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaTrack {
    pub(crate) phase: ModelPhase,
    /// When the phase began. A replica that an earlier holder loaded counts as loaded long ago, so
    /// that a change of holder doesn't keep its memory from others.
    pub(crate) since: MonotonicTime,
    /// When it was first seen; it counts as used then.
    pub(crate) seen: MonotonicTime,
    pub(crate) draining: Option<MonotonicTime>,
    /// When the instances were last told that it drains.
    pub(crate) noticed: MonotonicTime,
    /// Where it was loaded from.
    pub(crate) source: CheckpointSource,
}

/// Tracks of all replicas of the data centre; a replica that is gone is forgotten.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTracks {
    tracks: HashMap<ReplicaKey, ReplicaTrack>,
}

impl ReplicaTracks {
    /// Notes a replica's phase and returns its track.
    pub(crate) fn note(
        &mut self,
        now: MonotonicTime,
        key: ReplicaKey,
        phase: ModelPhase,
    ) -> ReplicaTrack {
        let since = match phase {
            ModelPhase::Loaded => MonotonicTime::default(),
            _ => now,
        };
        let fresh = ReplicaTrack { since, ..ReplicaTrack::new(now, phase) };
        let track = self.tracks.entry(key).or_insert(fresh);
        if track.phase != phase {
            (track.phase, track.since) = (phase, now);
        }
        *track
    }

    /// Notes that a load was ordered.
    pub(crate) fn begin_load(
        &mut self,
        now: MonotonicTime,
        key: ReplicaKey,
        source: CheckpointSource,
    ) {
        let track = ReplicaTrack { source, ..ReplicaTrack::new(now, ModelPhase::Loading) };
        self.tracks.insert(key, track);
    }

    /// Notes that a replica drains, or doesn't any more.
    pub(crate) fn set_draining(&mut self, key: &ReplicaKey, since: Option<MonotonicTime>) {
        if let Some(track) = self.tracks.get_mut(key) {
            track.draining = since;
            track.noticed = since.unwrap_or(track.noticed);
        }
    }

    /// Whether a drain began less than `span` ago, so that it may end soon.
    pub(crate) fn drains_since(&self, now: MonotonicTime, span: Duration) -> bool {
        let mut drains = self.tracks.values().filter_map(|track| track.draining);
        drains.any(|since| now.since(since) < span)
    }

    /// The drains that the instances must be told of again: once after `grace`, for a report that
    /// no request on its way can outdate, and then in each `interval`.
    pub(crate) fn take_due_notices(
        &mut self,
        now: MonotonicTime,
        grace: Duration,
        interval: Duration,
    ) -> Vec<ReplicaKey> {
        let is_due = |track: &ReplicaTrack| {
            track.draining.is_some_and(|since| {
                let quiet = since + grace;
                (track.noticed < quiet && now >= quiet) || now.since(track.noticed) >= interval
            })
        };
        let due = self.tracks.iter_mut().filter(|(_, track)| is_due(track));
        due.map(|(key, track)| {
            track.noticed = now;
            key.clone()
        })
        .collect()
    }

    /// Forgets everything; another holder may have decided otherwise.
    pub(crate) fn clear(&mut self) {
        self.tracks.clear();
    }

    /// Forgets replicas that `is_there` doesn't know.
    pub(crate) fn retain(&mut self, is_there: impl Fn(&ReplicaKey) -> bool) {
        self.tracks.retain(|key, _| is_there(key));
    }

    /// The track of a replica.
    pub(crate) fn get(&self, key: &ReplicaKey) -> Option<&ReplicaTrack> {
        self.tracks.get(key)
    }
}

impl ReplicaTrack {
    fn new(now: MonotonicTime, phase: ModelPhase) -> Self {
        Self {
            phase,
            since: now,
            seen: now,
            draining: None,
            noticed: MonotonicTime::default(),
            source: CheckpointSource::Store,
        }
    }
}
