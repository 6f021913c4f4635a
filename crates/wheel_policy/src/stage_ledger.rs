//! State of staging between plans.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_types::{ModelName, MonotonicTime, UpstreamName};

use crate::host_memory::HostMemory;
use crate::{CheckpointSource, EngineView, FleetView};

/// Time in which an engine isn't staged on again after staging there brought a checkpoint no nearer.
const VAIN_PAUSE: Duration = Duration::from_secs(3_600);

/// Replicas that are loaded only to bring their checkpoint nearer, the sizes of the hosts' memories, and
/// engines on which staging is in vain.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageLedger {
    staged: BTreeMap<(UpstreamName, ModelName), CheckpointSource>,
    paused: BTreeMap<(UpstreamName, CheckpointSource), MonotonicTime>,
    hosts: BTreeMap<UpstreamName, HostMemory>,
}

impl StageLedger {
    /// Records what the engines hold, and removes the replicas that are unloaded again.
    pub(crate) fn observe(
        &mut self,
        now: MonotonicTime,
        fleet: &FleetView,
        size_mib: impl Fn(&ModelName) -> u64,
    ) {
        self.paused.retain(|_, until| now < *until);
        self.hosts.retain(|name, _| fleet.engines.iter().any(|engine| &engine.upstream == name));
        for engine in &fleet.engines {
            let host = self.hosts.entry(engine.upstream.clone()).or_default();
            host.observe(&engine.memory_checkpoints, &size_mib);
        }
        for ((upstream, model), source) in std::mem::take(&mut self.staged) {
            let engine = fleet.engines.iter().find(|engine| engine.upstream == upstream);
            match engine {
                Some(engine) if engine.models.iter().any(|placed| placed.model == model) => {
                    self.staged.insert((upstream, model), source);
                }
                Some(engine) if engine.source(&model) >= source => {
                    self.paused.insert((upstream, source), now + VAIN_PAUSE);
                }
                _ => {}
            }
        }
    }

    /// Adds a replica whose load from `source` is ordered.
    pub(crate) fn add(
        &mut self,
        upstream: &UpstreamName,
        model: &ModelName,
        source: CheckpointSource,
    ) {
        self.staged.insert((upstream.clone(), model.clone()), source);
    }

    /// Removes a replica that has become an ordinary one, since it is used.
    pub(crate) fn remove(&mut self, upstream: &UpstreamName, model: &ModelName) {
        self.staged.remove(&(upstream.clone(), model.clone()));
    }

    /// The staged replicas.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &(UpstreamName, ModelName)> {
        self.staged.keys()
    }

    /// Whether no replica is staged.
    pub(crate) fn is_empty(&self) -> bool {
        self.staged.is_empty()
    }

    /// Whether a model on an engine is staged.
    pub(crate) fn contains(&self, upstream: &UpstreamName, model: &ModelName) -> bool {
        self.staged.contains_key(&(upstream.clone(), model.clone()))
    }

    /// Whether staging from `source` on an engine was in vain recently.
    pub(crate) fn is_paused(&self, upstream: &UpstreamName, source: CheckpointSource) -> bool {
        self.paused.contains_key(&(upstream.clone(), source))
    }

    /// Expected space for checkpoints in the memory of an engine's host, in mebibytes.
    pub(crate) fn host_memory_mib(&self, engine: &EngineView) -> u64 {
        let space_mib = self.hosts.get(&engine.upstream).map_or(0, HostMemory::space_mib);
        if engine.leaving { 0 } else { space_mib }
    }
}
