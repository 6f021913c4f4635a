//! What the director remembers of replicas beyond what engines tell.

use std::collections::HashMap;

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
    /// When the phase began, as far as was seen.
    pub(crate) since: MonotonicTime,
    pub(crate) draining: Option<MonotonicTime>,
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
        let source = CheckpointSource::Store;
        let fresh = ReplicaTrack { phase, since: now, draining: None, source };
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
        let phase = ModelPhase::Loading;
        self.tracks.insert(key, ReplicaTrack { phase, since: now, draining: None, source });
    }

    /// Notes that a replica drains, or doesn't any more.
    pub(crate) fn set_draining(&mut self, key: &ReplicaKey, since: Option<MonotonicTime>) {
        if let Some(track) = self.tracks.get_mut(key) {
            track.draining = since;
        }
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
