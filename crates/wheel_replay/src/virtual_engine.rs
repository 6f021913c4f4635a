//! An engine in virtual time.

use std::collections::BTreeSet;

use wheel_policy::{EngineView, PlacedModel};
use wheel_types::{ModelName, MonotonicTime};

use crate::SiteSpeed;
use crate::replay_queue::ReplayQueue;

/// An engine with its models, its running requests and the idle time of its accelerators.
#[derive(Debug)]
pub(crate) struct VirtualEngine {
    /// Index of its data centre.
    pub(crate) centre: usize,
    /// Its state as shown to the planner.
    pub(crate) view: EngineView,
    /// Its owner's queue.
    pub(crate) queue: ReplayQueue,
    /// Indexes of the running requests.
    pub(crate) running: BTreeSet<usize>,
    /// False while it is stopped.
    pub(crate) alive: bool,
    /// Accelerator seconds in which models were loaded and no request ran.
    pub(crate) idle_s: f64,
    /// Accelerator seconds in which models were loaded.
    pub(crate) loaded_s: f64,
    /// When its queue is next checked for requests that can't start in time.
    pub(crate) expiry_due: Option<MonotonicTime>,
    updated: MonotonicTime,
}

impl VirtualEngine {
    /// Creates an engine without models.
    pub(crate) fn new(
        centre: usize,
        view: EngineView,
        queue: ReplayQueue,
        now: MonotonicTime,
    ) -> Self {
        Self {
            centre,
            view,
            queue,
            running: BTreeSet::new(),
            alive: true,
            idle_s: 0.0,
            loaded_s: 0.0,
            expiry_due: None,
            updated: now,
        }
    }

    /// Adds the time since the last call to `idle_s` and `loaded_s`. Must be called before each
    /// change.
    pub(crate) fn accrue(&mut self, now: MonotonicTime) {
        let span_s = now.since(self.updated).as_secs_f64() * f64::from(self.view.accelerators);
        self.updated = now;
        if !self.view.models.is_empty() {
            self.loaded_s += span_s;
            self.idle_s += if self.running.is_empty() { span_s } else { 0.0 };
        }
    }

    /// A model on the engine, in any phase.
    pub(crate) fn placed(&mut self, model: &ModelName) -> Option<&mut PlacedModel> {
        self.view.models.iter_mut().find(|placed| &placed.model == model)
    }

    /// Whether a model is loaded; it may be draining.
    pub(crate) fn has_loaded(&self, model: &ModelName) -> bool {
        let mut models = self.view.models.iter();
        models.any(|one| &one.model == model && one.phase == wheel_types::ModelPhase::Loaded)
    }

    /// Keeps a checkpoint on disk and evicts the oldest ones if there is no space for them.
    pub(crate) fn keep_on_disk(&mut self, model: &ModelName, speed: &SiteSpeed, size: SizeOf<'_>) {
        keep(&mut self.view.disk_checkpoints, model, speed.host_disk_mib, size);
    }

    /// Keeps a checkpoint in host memory and evicts the oldest ones if there is no space for them.
    pub(crate) fn keep_in_memory(
        &mut self,
        model: &ModelName,
        speed: &SiteSpeed,
        size: SizeOf<'_>,
    ) {
        keep(&mut self.view.memory_checkpoints, model, speed.host_memory_mib, size);
    }
}

/// Looks up the size of a model, in mebibytes.
pub(crate) type SizeOf<'a> = &'a dyn Fn(&ModelName) -> u64;

/// Moves `model` to the end and removes checkpoints from the front until all fit.
fn keep(checkpoints: &mut Vec<ModelName>, model: &ModelName, limit_mib: u64, size: SizeOf<'_>) {
    checkpoints.retain(|other| other != model);
    checkpoints.push(model.clone());
    let mut used_mib: u64 = checkpoints.iter().map(size).sum();
    while used_mib > limit_mib && !checkpoints.is_empty() {
        used_mib -= size(&checkpoints.remove(0));
    }
}
