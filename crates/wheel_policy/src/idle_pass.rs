//! The planning pass that drains idle engines.

use wheel_types::ModelPhase;

use crate::plan_round::PlanRound;
use crate::{EngineView, PlacementReason};

/// Drains all models of an engine when together they save less than its accelerators cost.
/// Unloading a single model of an engine in use saves nothing, so it stays until its memory is
/// needed.
#[derive(Debug)]
pub(crate) struct IdlePass;

impl IdlePass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>) {
        for (index, engine) in round.fleet.engines.iter().enumerate() {
            if round.is_full() {
                return;
            }
            if Self::may_empty(round, engine) && !Self::is_worthwhile(round, engine) {
                for placed in &engine.models {
                    round.drain(index, &placed.model, PlacementReason::Idle);
                }
            }
        }
    }

    fn may_empty(round: &PlanRound<'_>, engine: &EngineView) -> bool {
        let used_since = round.residence_cutoff();
        let idle = |placed: &crate::PlacedModel| {
            let old = placed.since <= used_since && placed.last_used <= used_since;
            placed.phase == ModelPhase::Loaded
                && placed.in_use == 0
                && old
                && !round.is_requested(&placed.model)
                && !round.is_pinned(placed)
        };
        let reserved = round.has_reservation(&engine.upstream);
        let accepts_work = engine.models.iter().any(crate::PlacedModel::accepts_work);
        accepts_work && !reserved && engine.reserved_mib == 0 && engine.models.iter().all(idle)
    }

    fn is_worthwhile(round: &PlanRound<'_>, engine: &EngineView) -> bool {
        let savings = engine.models.iter().map(|placed| round.saving_rate(engine, placed));
        let cost = round.settings.idle_cost * f64::from(engine.accelerators);
        savings.sum::<f64>() >= cost
    }
}
