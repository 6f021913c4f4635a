//! The planning pass that drains and unloads replicas and renews earlier reservations.

use wheel_types::{ModelName, ModelPhase};

use crate::plan_round::{LoadReservation, PlanRound};
use crate::{PlacedModel, PlacementAction, PlacementReason};

/// Unloads drained replicas, resumes draining ones that are requested again, and drains those that
/// the manifest no longer requires.
#[derive(Debug)]
pub(crate) struct DrainPass;

impl DrainPass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>, reservations: Vec<(ModelName, LoadReservation)>) {
        for (model, reservation) in reservations {
            Self::renew(round, model, reservation);
        }
        for (index, engine) in round.fleet.engines.iter().enumerate() {
            for placed in engine.models.iter().filter(|placed| placed.phase == ModelPhase::Loaded) {
                Self::visit(round, index, placed);
            }
        }
    }

    /// Renews a reservation of an earlier plan while it is still valid.
    fn renew(round: &mut PlanRound<'_>, model: ModelName, reservation: LoadReservation) {
        let wanted = Self::is_still_valid(round, &model, &reservation);
        if let Some(index) = round.ledger.index(&reservation.upstream).filter(|_| wanted) {
            round.add_reservation(index, model, reservation);
        }
    }

    fn is_still_valid(
        round: &PlanRound<'_>,
        model: &ModelName,
        reservation: &LoadReservation,
    ) -> bool {
        let Some(index) = round.ledger.index(&reservation.upstream) else { return false };
        let Some(spec) = round.manifest.model(model) else { return false };
        let valid = round.now.since(reservation.since) < round.settings.reservation_timeout;
        let allowed = round.ledger.replicas(model).held < spec.max_replicas;
        let waits = match reservation.reason {
            PlacementReason::Waiting { .. } | PlacementReason::Busy { .. } => {
                round.is_requested(model)
            }
            _ => true,
        };
        valid && allowed && waits && round.ledger.may_load(index, model)
    }

    fn visit(round: &mut PlanRound<'_>, index: usize, placed: &PlacedModel) {
        match placed.draining {
            _ if round.is_full() => {}
            None if Self::is_not_wanted(round, placed) => {
                round.drain(index, &placed.model, PlacementReason::NotWanted);
            }
            None if Self::is_superseded(round, placed) => {
                round.drain(index, &placed.model, PlacementReason::Rollover);
            }
            None => {}
            Some(_) if Self::is_requested_again(round, index, placed) => {
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

    /// Whether the manifest doesn't name the model, or allows fewer replicas than accept requests. One
    /// of the wanted version gives way only to others of it.
    fn is_not_wanted(round: &PlanRound<'_>, placed: &PlacedModel) -> bool {
        let Some(spec) = round.manifest.model(&placed.model) else { return true };
        let drained = round.drained.iter().filter(|(_, model)| model == &placed.model).count();
        let is_current = placed.version == spec.version;
        let serving = Self::serving(round, &placed.model);
        let ready = serving.filter(|other| !is_current || other.version == spec.version).count();
        ready.saturating_sub(drained) > spec.max_replicas as usize
    }

    /// Whether it has an old version while a replica of the wanted version accepts requests.
    fn is_superseded(round: &PlanRound<'_>, placed: &PlacedModel) -> bool {
        let Some(spec) = round.manifest.model(&placed.model) else { return false };
        placed.version != spec.version
            && Self::serving(round, &placed.model).any(|other| other.version == spec.version)
    }

    /// The replicas that accept requests, as far as instances know: one that learns of a drain before
    /// it learns of the replica that takes over would have none.
    fn serving<'r>(
        round: &'r PlanRound<'_>,
        model: &'r ModelName,
    ) -> impl Iterator<Item = &'r PlacedModel> {
        let engines = round.fleet.engines.iter().filter(|engine| !engine.leaving);
        let placed = engines.flat_map(|engine| &engine.models);
        placed.filter(move |placed| {
            &placed.model == model && placed.accepts_work() && placed.is_reported
        })
    }

    fn is_requested_again(round: &PlanRound<'_>, index: usize, placed: &PlacedModel) -> bool {
        let engine = &round.fleet.engines[index];
        let current = round.manifest.model(&placed.model).map(|spec| spec.version);
        let count = round.ledger.replicas(&placed.model);
        round.is_requested(&placed.model)
            && current == Some(placed.version)
            && count.ready + count.loading == 0
            && !engine.leaving
            && !round.has_reservation(&engine.upstream)
    }
}
