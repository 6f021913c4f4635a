//! The pass that empties engines.

use wheel_types::ModelPhase;

use crate::plan_round::PlanRound;
use crate::{EngineView, PlacementReason};

/// Drains whole engines whose models save less than the engine's accelerators cost. A single model
/// of an engine that stays in use costs nothing, so it stays until its memory is needed.
#[derive(Debug)]
pub(crate) struct IdlePass;

impl IdlePass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>) {
        for (index, engine) in round.fleet.engines.iter().enumerate() {
            if round.is_full() {
                return;
            }
            if Self::may_empty(round, engine) && !Self::pays(round, engine) {
                for placed in &engine.models {
                    round.drain(index, &placed.model, PlacementReason::Idle);
                }
            }
        }
    }

    fn may_empty(round: &PlanRound<'_>, engine: &EngineView) -> bool {
        let used_since = round.residence_start();
        let idle = |placed: &crate::PlacedModel| {
            let old = placed.since <= used_since && placed.last_used <= used_since;
            placed.phase == ModelPhase::Loaded
                && placed.in_use == 0
                && old
                && !round.is_wanted(&placed.model)
                && !round.is_pinned(placed)
        };
        let promised = round.has_promise(&engine.upstream);
        let takes_work = engine.models.iter().any(crate::PlacedModel::takes_work);
        takes_work && !promised && engine.reserved_mib == 0 && engine.models.iter().all(idle)
    }

    fn pays(round: &PlanRound<'_>, engine: &EngineView) -> bool {
        let savings = engine.models.iter().map(|placed| round.saving_rate(engine, placed));
        let cost = round.settings.idle_price * f64::from(engine.accelerators);
        savings.sum::<f64>() >= cost
    }
}
