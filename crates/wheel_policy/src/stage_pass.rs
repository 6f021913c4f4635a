//! The planning pass that brings checkpoints nearer before they are needed.

use wheel_types::{ModelName, ModelPhase};

use crate::checkpoint_plan::CheckpointPlan;
use crate::plan_round::PlanRound;
use crate::{CheckpointSource, ModelDemand, PlacementReason};

/// Slots of the store that staging leaves free.
const SPARE_STORE_LOADS: u32 = 1;

/// Loads and unloads models without requests, one at a time and only while no request waits for a
/// load, so that their checkpoints are on disk and in host memory when they are next requested.
///
/// It answers mornings after quiet nights: the slowest wake-ups are those of large models whose
/// checkpoint lies in the store only, or that others have pushed out of the host's memory.
#[derive(Debug)]
pub(crate) struct StagePass;

/// A load for staging.
#[derive(Debug)]
struct StageCandidate {
    gain: f64,
    index: usize,
    model: ModelName,
    source: CheckpointSource,
}

impl StagePass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>) {
        Self::drain_staged(round);
        let may_stage = round.staging.is_empty() && !round.is_full();
        if !may_stage || Self::is_demand_waiting(round) {
            return;
        }
        if let Some(best) = Self::best_candidate(round) {
            let upstream = round.fleet.engines[best.index].upstream.clone();
            round.load(best.index, &best.model, PlacementReason::Staged);
            round.staging.add(&upstream, &best.model, best.source);
        }
    }

    /// Drains staged replicas that are loaded; those that are used become ordinary ones.
    fn drain_staged(round: &mut PlanRound<'_>) {
        let staged: Vec<_> = round.staging.replicas().cloned().collect();
        for (upstream, model) in staged {
            let Some(index) = round.ledger.index(&upstream) else { continue };
            let models = &round.fleet.engines[index].models;
            let Some(placed) = models.iter().find(|placed| placed.model == model) else { continue };
            let is_used =
                placed.in_use > 0 || placed.last_used > placed.since || round.is_requested(&model);
            match placed.phase {
                ModelPhase::Loaded if is_used => round.staging.remove(&upstream, &model),
                ModelPhase::Loaded => round.drain(index, &model, PlacementReason::Staged),
                _ => {}
            }
        }
    }

    fn is_demand_waiting(round: &PlanRound<'_>) -> bool {
        let waits = |demand: &ModelDemand| {
            demand.waiting_count() > 0 && round.ledger.replicas(&demand.model).ready == 0
        };
        round.demands.values().any(|demand| waits(demand)) || !round.reservations.is_empty()
    }

    /// The load that gains most: of a model whose checkpoint is in the store only, or that should be
    /// in a host's memory and is in none.
    fn best_candidate(round: &PlanRound<'_>) -> Option<StageCandidate> {
        let plan = CheckpointPlan::new(round);
        let models = round.demands.values().filter(|demand| Self::may_stage(round, demand));
        let candidates = models.flat_map(|demand| Self::candidates(round, &plan, demand));
        candidates.max_by(|left, right| {
            let by_gain = left.gain.total_cmp(&right.gain);
            by_gain.then(right.model.cmp(&left.model)).then(right.index.cmp(&left.index))
        })
    }

    fn may_stage(round: &PlanRound<'_>, demand: &ModelDemand) -> bool {
        let count = round.ledger.replicas(&demand.model);
        demand.expected_soon > 0.0
            && count.held + demand.remote_replicas == 0
            && !round.reservations.contains_key(&demand.model)
    }

    fn candidates(
        round: &PlanRound<'_>,
        plan: &CheckpointPlan,
        demand: &ModelDemand,
    ) -> Vec<StageCandidate> {
        let model = &demand.model;
        let host = plan.host(model);
        let engines = round.fleet.engines.iter().filter(|engine| !engine.leaving);
        let nearest = engines.map(|engine| engine.source(model)).min().unwrap_or_default();
        let is_wanted = match nearest {
            CheckpointSource::Memory => false,
            CheckpointSource::Disk => host.is_some(),
            CheckpointSource::Store => true,
        };
        let Some(spec) = round.manifest.model(model).filter(|_| is_wanted) else {
            return Vec::new();
        };
        let gain = CheckpointPlan::gain(round, demand, nearest);
        let engines = round.fleet.engines.iter().enumerate();
        let able = engines.filter(|(index, engine)| {
            let source = engine.source(model);
            host.is_none_or(|host| host == *index)
                && round.ledger.may_load(*index, model)
                && round.ledger.free_mib(*index) >= spec.memory_mib
                && round.ledger.may_begin(source, SPARE_STORE_LOADS)
                && !round.has_reservation(&engine.upstream)
                && !round.staging.is_paused(&engine.upstream, source)
        });
        able.map(|(index, engine)| {
            let source = engine.source(model);
            StageCandidate { gain, index, model: model.clone(), source }
        })
        .collect()
    }
}
