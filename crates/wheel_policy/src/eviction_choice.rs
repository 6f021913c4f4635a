//! Chooses the models to evict from an engine.

use wheel_types::{ModelName, ModelPhase, MonotonicTime};

use crate::{EngineView, PlacedModel};

/// Models to drain on one engine so that a load fits.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EvictionChoice {
    /// Models to drain, cheapest first; empty if the memory is free or about to be.
    pub(crate) victims: Vec<ModelName>,
    /// Expected loss of unloading them, in worth.
    pub(crate) loss: f64,
    /// Whether the load must wait for memory.
    pub(crate) waits: bool,
}

/// Whether a model may be evicted, and what that costs.
pub(crate) trait EvictionRules {
    /// Whether it may be drained now.
    fn may_evict(&self, placed: &PlacedModel) -> bool;
    /// Expected loss of unloading it, in worth.
    fn loss(&self, engine: &EngineView, placed: &PlacedModel) -> f64;
}

impl EvictionChoice {
    /// Finds the cheapest models of `engine` whose memory together with `free_mib` reaches
    /// `need_mib`.
    pub(crate) fn find(
        engine: &EngineView,
        free_mib: u64,
        need_mib: u64,
        rules: &impl EvictionRules,
    ) -> Option<Self> {
        let mut available_mib = free_mib;
        let mut choice = Self { victims: Vec::new(), loss: 0.0, waits: available_mib < need_mib };
        available_mib += engine
            .models
            .iter()
            .filter(|model| frees_memory(model))
            .map(PlacedModel::total_mib)
            .sum::<u64>();
        let evictable =
            engine.models.iter().filter(|model| !frees_memory(model) && rules.may_evict(model));
        let mut victims: Vec<(f64, &PlacedModel)> =
            evictable.map(|model| (rules.loss(engine, model), model)).collect();
        victims.sort_by(|left, right| loss_per_mib(left).total_cmp(&loss_per_mib(right)));
        let mut victims = victims.into_iter();
        while available_mib < need_mib {
            let (loss, victim) = victims.next()?;
            available_mib += victim.total_mib();
            choice.loss += loss;
            choice.victims.push(victim.model.clone());
        }
        Some(choice)
    }
}

/// Whether a model's memory will be free soon: it drains or is being unloaded.
fn frees_memory(placed: &PlacedModel) -> bool {
    placed.draining.is_some() || placed.phase == ModelPhase::Unloading
}

fn loss_per_mib((loss, placed): &(f64, &PlacedModel)) -> f64 {
    loss / placed.total_mib().max(1) as f64
}

/// Whether a replica accepts requests, isn't in use and was loaded by `since`.
pub(crate) fn is_idle_since(placed: &PlacedModel, since: MonotonicTime) -> bool {
    placed.accepts_work() && placed.in_use == 0 && placed.since <= since
}
