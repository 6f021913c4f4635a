//! The pass that ends what earlier plans began.

use wheel_types::{ModelName, ModelPhase};

use crate::plan_round::{LoadPromise, PlanRound};
use crate::{PlacedModel, PlacementAction, PlacementReason};

/// Unloads drained replicas, resumes those that are wanted again, and drains what the text doesn't
/// want any more.
#[derive(Debug)]
pub(crate) struct DrainPass;

impl DrainPass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>, promises: Vec<(ModelName, LoadPromise)>) {
        for (model, promise) in promises {
            Self::renew(round, model, promise);
        }
        for (index, engine) in round.fleet.engines.iter().enumerate() {
            for placed in engine.models.iter().filter(|placed| placed.phase == ModelPhase::Loaded) {
                Self::visit(round, index, placed);
            }
        }
    }

    /// Keeps the memory of an earlier promise for as long as it holds.
    fn renew(round: &mut PlanRound<'_>, model: ModelName, promise: LoadPromise) {
        let wanted = Self::still_wanted(round, &model, &promise);
        if let Some(index) = round.ledger.index(&promise.upstream).filter(|_| wanted) {
            round.keep_promise(index, model, promise);
        }
    }

    fn still_wanted(round: &PlanRound<'_>, model: &ModelName, promise: &LoadPromise) -> bool {
        let Some(index) = round.ledger.index(&promise.upstream) else { return false };
        let Some(spec) = round.text.model(model) else { return false };
        let fresh = round.now.since(promise.since) < round.settings.promise_span;
        let allowed = round.ledger.replicas(model).held < spec.max_replicas;
        let waits = match promise.reason {
            PlacementReason::Waiting { .. } | PlacementReason::Busy { .. } => {
                round.is_wanted(model)
            }
            _ => true,
        };
        fresh && allowed && waits && round.ledger.may_load(index, model)
    }

    fn visit(round: &mut PlanRound<'_>, index: usize, placed: &PlacedModel) {
        match placed.draining {
            _ if round.is_full() => {}
            None if Self::is_unwanted(round, placed) => {
                round.drain(index, &placed.model, PlacementReason::NotWanted);
            }
            None if Self::is_replaced(round, placed) => {
                round.drain(index, &placed.model, PlacementReason::Rollover);
            }
            None => {}
            Some(_) if Self::is_wanted_again(round, index, placed) => {
                let (model, version) = (placed.model.clone(), placed.version);
                let action = PlacementAction::Resume { model, version };
                round.push(index, action, PlacementReason::DemandReturned);
            }
            Some(since) => {
                let drained = round.now.since(since) >= round.settings.drain_grace;
                if placed.in_use == 0 && drained {
                    let (model, version) = (placed.model.clone(), placed.version);
                    let action = PlacementAction::Unload { model, version };
                    round.push(index, action, PlacementReason::Drained);
                }
            }
        }
    }

    /// The text doesn't name the model, or allows fewer replicas than take work.
    fn is_unwanted(round: &PlanRound<'_>, placed: &PlacedModel) -> bool {
        let Some(spec) = round.text.model(&placed.model) else { return true };
        let drained = round.drained.iter().filter(|(_, model)| model == &placed.model).count();
        let ready = round.ledger.replicas(&placed.model).ready;
        ready.saturating_sub(drained as u32) > spec.max_replicas
    }

    /// It has an old version, and a replica of the wanted one takes work.
    fn is_replaced(round: &PlanRound<'_>, placed: &PlacedModel) -> bool {
        let Some(spec) = round.text.model(&placed.model) else { return false };
        let all = round.fleet.engines.iter().flat_map(|engine| &engine.models);
        placed.version != spec.version
            && all
                .filter(|other| other.model == placed.model && other.version == spec.version)
                .any(PlacedModel::takes_work)
    }

    fn is_wanted_again(round: &PlanRound<'_>, index: usize, placed: &PlacedModel) -> bool {
        let engine = &round.fleet.engines[index];
        let current = round.text.model(&placed.model).map(|spec| spec.version);
        let count = round.ledger.replicas(&placed.model);
        round.is_wanted(&placed.model)
            && current == Some(placed.version)
            && count.ready + count.loading == 0
            && !engine.leaving
            && !round.has_promise(&engine.upstream)
    }
}
