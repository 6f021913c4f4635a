//! Which models make room on an engine.

use wheel_types::{ModelName, ModelPhase, MonotonicTime};

use crate::{EngineView, PlacedModel};

/// Models to drain on one engine so that a load fits.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EvictionChoice {
    /// Models to drain, cheapest first; empty if memory is free already or about to be.
    pub(crate) victims: Vec<ModelName>,
    /// Expected loss of unloading them, in worth.
    pub(crate) loss: f64,
    /// Whether the load must wait for memory.
    pub(crate) waits: bool,
}

/// What a model's loss is worth, and whether it may go.
pub(crate) trait VictimRules {
    /// Whether nothing forbids draining it now.
    fn may_evict(&self, placed: &PlacedModel) -> bool;
    /// Expected loss of unloading it, in worth.
    fn loss(&self, engine: &EngineView, placed: &PlacedModel) -> f64;
}

impl EvictionChoice {
    /// Finds the cheapest models of `engine` whose memory, with `free_mib`, makes `need_mib`.
    pub(crate) fn find(
        engine: &EngineView,
        free_mib: u64,
        need_mib: u64,
        rules: &impl VictimRules,
    ) -> Option<Self> {
        let mut room_mib = free_mib;
        let mut choice = Self { victims: Vec::new(), loss: 0.0, waits: room_mib < need_mib };
        room_mib += engine
            .models
            .iter()
            .filter(|model| goes(model))
            .map(PlacedModel::total_mib)
            .sum::<u64>();
        let may_go = engine.models.iter().filter(|model| !goes(model) && rules.may_evict(model));
        let mut victims: Vec<(f64, &PlacedModel)> =
            may_go.map(|model| (rules.loss(engine, model), model)).collect();
        victims.sort_by(|left, right| density(left).total_cmp(&density(right)));
        let mut victims = victims.into_iter();
        while room_mib < need_mib {
            let (loss, victim) = victims.next()?;
            room_mib += victim.total_mib();
            choice.loss += loss;
            choice.victims.push(victim.model.clone());
        }
        Some(choice)
    }
}

/// Whether a model's memory is about to be free.
fn goes(placed: &PlacedModel) -> bool {
    placed.draining.is_some() || placed.phase == ModelPhase::Unloading
}

fn density((loss, placed): &(f64, &PlacedModel)) -> f64 {
    loss / placed.total_mib().max(1) as f64
}

/// Whether a replica has been here long enough and nothing uses it.
pub(crate) fn is_idle_since(placed: &PlacedModel, since: MonotonicTime) -> bool {
    placed.takes_work() && placed.in_use == 0 && placed.since <= since
}
