//! The planning pass that loads models.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use wheel_types::{ModelName, ModelPhase};

use crate::eviction_choice::EvictionChoice;
use crate::load_candidate::{LoadCandidate, LoadKind, waiting_value};
use crate::plan_round::{LoadReservation, PlanRound};
use crate::{CheckpointSource, EngineView, ModelDemand, PlacementReason, RankDemand};

/// Share of the waiting at loaded replicas that another replica would save.
const BUSY_SHARE: f64 = 0.5;
/// Further replicas of models below the highest worth leave this fraction of an engine's memory
/// free, as a divisor.
const HEADROOM_DIVISOR: u64 = 2;
/// Waiting requests per slot of an engine from which a model counts as busy.
const BUSY_QUEUE_SHARE: f64 = 0.25;
/// Maximum number of candidates placed in one round.
const MAX_CANDIDATES: usize = 64;
/// Maximum number of forecast candidates among them.
const MAX_FORECASTS: usize = 4;
/// Requests expected within the time of a load up to which nothing is loaded for a forecast.
const MIN_EXPECTED: f64 = 0.05;
/// Factor by which an engine's savings must exceed its cost for a forecast load to rely on the
/// engine staying in use.
const STAY_MARGIN: f64 = 1.2;
/// Time that draining and unloading evicted models takes, in seconds.
const EVICTION_S: f64 = 0.5;
/// Cost of leaving all memory of an engine free, in worth: prefers a tight fit among equal targets.
const FREE_MEMORY_COST: f64 = 0.01;

/// Loads models for waiting requests, then for the manifest, then for the forecast, within each by
/// value over the expected duration of the load.
#[derive(Debug)]
pub(crate) struct LoadPass;

/// The engine on which a candidate is loaded, with the cost of loading it there.
#[derive(Debug)]
struct LoadTarget {
    index: usize,
    choice: EvictionChoice,
    source: CheckpointSource,
    cost: f64,
    activation_cost: f64,
}

impl LoadPass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>) {
        let mut candidates = Self::candidates(round);
        candidates.sort_by(|left, right| {
            let by_value = right.value_rate.total_cmp(&left.value_rate);
            left.kind.cmp(&right.kind).then(by_value).then(left.model.cmp(&right.model))
        });
        let mut demand_waits = false;
        let mut forecasts = 0;
        for candidate in candidates.into_iter().take(MAX_CANDIDATES) {
            let is_blocked = candidate.kind == LoadKind::Forecast && demand_waits;
            forecasts += usize::from(candidate.kind == LoadKind::Forecast);
            if round.is_full() || is_blocked || forecasts > MAX_FORECASTS {
                return;
            }
            let placed = match round.reservations.contains_key(&candidate.model) {
                true => Self::start_reserved(round, &candidate),
                false => Self::place_with_dependencies(round, &candidate),
            };
            demand_waits |= candidate.kind == LoadKind::Demand && !placed;
        }
    }

    fn candidates(round: &PlanRound<'_>) -> Vec<LoadCandidate> {
        let mut candidates = Vec::new();
        let mut models: Vec<&ModelDemand> = round.demands.values().copied().collect();
        models.sort_by(|left, right| left.model.cmp(&right.model));
        candidates.extend(models.into_iter().filter_map(|demand| Self::wanted(round, demand)));
        candidates.extend(Self::by_manifest(round));
        let known: HashSet<ModelName> =
            candidates.iter().map(|candidate| candidate.model.clone()).collect();
        let others = round.reservations.iter().filter(|(model, _)| !known.contains(*model));
        candidates.extend(others.map(|(model, reservation)| Self::reserved(model, reservation)));
        candidates
    }

    /// The load that a model's demand requires, if any.
    fn wanted(round: &PlanRound<'_>, demand: &ModelDemand) -> Option<LoadCandidate> {
        let spec = round.manifest.model(&demand.model)?;
        let count = round.ledger.replicas(&demand.model);
        let reserved = round.reservations.contains_key(&demand.model);
        if !reserved && (count.held >= spec.max_replicas || count.loading > 0) {
            return None;
        }
        let load_s = Self::best_load_s(round, &demand.model);
        let waiting = demand.waiting_count();
        match demand {
            _ if waiting > 0 && count.ready == 0 => Some(Self::waiting(round, demand, load_s)),
            demand if Self::is_busy(round, demand) => {
                let served = demand.queued.min(Self::engine_slots(round));
                let value = BUSY_SHARE * demand.worth * f64::from(served);
                let reason = PlacementReason::Busy { queued: demand.queued };
                Some(Self::candidate(demand, LoadKind::Demand, value, load_s, reason))
            }
            demand if Self::overflows(round, demand) => {
                let served = demand.remote_queued.min(Self::engine_slots(round));
                let value = BUSY_SHARE * demand.worth * f64::from(served);
                let reason = PlacementReason::Busy { queued: demand.remote_queued };
                Some(Self::candidate(demand, LoadKind::Demand, value, load_s, reason))
            }
            demand
                if demand.expected_soon > MIN_EXPECTED
                    && count.ready + demand.remote_replicas == 0 =>
            {
                let gain = round.wait_cost(Duration::from_secs_f64(load_s));
                let value = demand.worth * demand.expected_soon.min(1.0) * gain;
                let reason = PlacementReason::Forecast { expected: demand.expected_soon };
                Some(Self::candidate(demand, LoadKind::Forecast, value, load_s, reason))
            }
            _ => None,
        }
    }

    fn waiting(round: &PlanRound<'_>, demand: &ModelDemand, load_s: f64) -> LoadCandidate {
        let ready = round.now + Duration::from_secs_f64(load_s);
        let worth = |rank: &RankDemand| round.manifest.worth(rank.rank);
        let slots = Self::engine_slots(round);
        let value = waiting_value(round.now, ready, demand, slots, worth);
        let value_rate = value / load_s.max(f64::MIN_POSITIVE);
        let reason = PlacementReason::Waiting { count: demand.waiting_count(), value_rate };
        Self::candidate(demand, LoadKind::Demand, value, load_s, reason)
    }

    /// Loads that the manifest requires: models with too few replicas, and those loaded in another
    /// version only.
    fn by_manifest(round: &PlanRound<'_>) -> Vec<LoadCandidate> {
        let open = |model: &ModelName| {
            round.ledger.replicas(model).loading == 0 && !round.reservations.contains_key(model)
        };
        let few = round.manifest.pinned().filter(|spec| {
            open(&spec.name) && round.ledger.replicas(&spec.name).ready < spec.min_replicas
        });
        let few =
            few.map(|spec| Self::wanted_by_manifest(&spec.name, PlacementReason::MinReplicas));
        let old = Self::outdated(round).into_iter().filter(|model| open(model));
        let old = old.map(|model| Self::wanted_by_manifest(model, PlacementReason::Rollover));
        few.chain(old).collect()
    }

    fn wanted_by_manifest(model: &ModelName, reason: PlacementReason) -> LoadCandidate {
        let model = model.clone();
        LoadCandidate { model, kind: LoadKind::Manifest, value: 1.0, value_rate: 1.0, reason }
    }

    /// Models whose replicas all have a version other than the manifest's.
    fn outdated<'a>(round: &PlanRound<'a>) -> BTreeSet<&'a ModelName> {
        let engines = round.fleet.engines.iter().filter(|engine| !engine.leaving);
        let placed = engines.flat_map(|engine| &engine.models);
        let mut old = BTreeSet::new();
        let mut current = BTreeSet::new();
        for one in placed.filter(|one| one.phase != ModelPhase::Unloading) {
            match round.manifest.model(&one.model) {
                Some(spec) if spec.version == one.version => current.insert(&one.model),
                Some(_) if one.accepts_work() => old.insert(&one.model),
                _ => false,
            };
        }
        old.difference(&current).copied().collect()
    }

    fn candidate(
        demand: &ModelDemand,
        kind: LoadKind,
        value: f64,
        load_s: f64,
        reason: PlacementReason,
    ) -> LoadCandidate {
        let value_rate = value / load_s.max(f64::MIN_POSITIVE);
        LoadCandidate { model: demand.model.clone(), kind, value, value_rate, reason }
    }

    /// The candidate for a reserved load that the model's own demand doesn't explain.
    fn reserved(model: &ModelName, reservation: &LoadReservation) -> LoadCandidate {
        let kind = match reservation.reason {
            PlacementReason::Forecast { .. } => LoadKind::Forecast,
            PlacementReason::NeededBy { .. } => LoadKind::Demand,
            _ => LoadKind::Manifest,
        };
        let reason = reservation.reason.clone();
        LoadCandidate { model: model.clone(), kind, value: 1.0, value_rate: 1.0, reason }
    }

    /// Starts a reserved load if possible; false if it still has to wait.
    fn start_reserved(round: &mut PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        round.load_reserved(&candidate.model, u32::from(candidate.kind == LoadKind::Forecast));
        !round.reservations.contains_key(&candidate.model)
    }

    /// Places a candidate together with its missing dependencies, or none of them. False if it has
    /// to wait.
    fn place_with_dependencies(round: &mut PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        let missing_dependencies = Self::missing_dependencies(round, &candidate.model);
        let saved = (round.ledger.clone(), round.reservations.clone(), round.drained.clone());
        let steps = round.steps.len();
        let reason = |_: &ModelName| PlacementReason::NeededBy { model: candidate.model.clone() };
        let all = missing_dependencies.iter().all(|model| {
            let dependency =
                LoadCandidate { model: model.clone(), reason: reason(model), ..candidate.clone() };
            Self::place(round, &dependency)
        });
        let placed = all && Self::place(round, candidate);
        if !placed {
            (round.ledger, round.reservations, round.drained) = saved;
            round.steps.truncate(steps);
            Self::drain_for_rollover(round, candidate);
        }
        placed
    }

    /// Dependencies of the model that are neither loaded in any data centre nor loading here.
    fn missing_dependencies(round: &PlanRound<'_>, model: &ModelName) -> Vec<ModelName> {
        let missing = |model: &&ModelName| {
            let count = round.ledger.replicas(model);
            let remote_replicas =
                round.demands.get(*model).map_or(0, |demand| demand.remote_replicas);
            count.ready + count.loading + remote_replicas == 0
        };
        round.manifest.dependencies(model).iter().filter(missing).cloned().collect()
    }

    fn place(round: &mut PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        let Some(target) = Self::best_target(round, candidate) else { return false };
        let spare = u32::from(candidate.kind == LoadKind::Forecast);
        let may_begin = round.ledger.may_begin(target.source, spare);
        if candidate.kind == LoadKind::Forecast
            && !(may_begin && Self::is_worthwhile(round, candidate, &target))
        {
            return false;
        }
        let model = &candidate.model;
        match target.choice.waits || !may_begin {
            false => round.load(target.index, model, candidate.reason.clone()),
            true => round.reserve(target.index, model, candidate.reason.clone()),
        }
        for victim in &target.choice.victims {
            let reason = PlacementReason::MemoryFor { model: model.clone() };
            round.drain(target.index, victim, reason);
        }
        true
    }

    /// Whether a forecast load gains more than it costs. A load from the store also leaves a
    /// checkpoint nearby for good; any other is worthwhile only if the engine then stays in use.
    fn is_worthwhile(
        round: &PlanRound<'_>,
        candidate: &LoadCandidate,
        target: &LoadTarget,
    ) -> bool {
        let cost = target.activation_cost + target.choice.loss + round.settings.forecast_load_cost;
        let gains = candidate.value > round.settings.forecast_margin * cost;
        let keeps_engine_used = target.source == CheckpointSource::Store
            || Self::keeps_engine_used(round, candidate, target);
        gains && keeps_engine_used
    }

    /// Whether an engine's models together with the candidate save more than the engine costs.
    fn keeps_engine_used(
        round: &PlanRound<'_>,
        candidate: &LoadCandidate,
        target: &LoadTarget,
    ) -> bool {
        let engine = &round.fleet.engines[target.index];
        let Some(demand) = round.demands.get(&candidate.model) else { return false };
        let rate = demand.expected_soon / round.settings.forecast_horizon.as_secs_f64();
        let own = demand.worth * rate * round.reload_cost(&candidate.model, target.source);
        let others = engine.models.iter().map(|placed| round.saving_rate(engine, placed));
        let cost = round.settings.idle_cost * f64::from(engine.accelerators);
        own + others.sum::<f64>() > STAY_MARGIN * cost
    }

    fn best_target(round: &PlanRound<'_>, candidate: &LoadCandidate) -> Option<LoadTarget> {
        let targets = (0..round.fleet.engines.len())
            .filter_map(|index| Self::target_at(round, candidate, index));
        targets.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn target_at(
        round: &PlanRound<'_>,
        candidate: &LoadCandidate,
        index: usize,
    ) -> Option<LoadTarget> {
        let model = &candidate.model;
        if !round.ledger.may_load(index, model) {
            return None;
        }
        let spec = round.manifest.model(model)?;
        let engine = &round.fleet.engines[index];
        let free_mib = round.ledger.free_mib(index);
        let choice = match free_mib >= spec.memory_mib {
            true => EvictionChoice { victims: Vec::new(), loss: 0.0, waits: false },
            false if round.has_reservation(&engine.upstream) => return None,
            false => EvictionChoice::find(engine, free_mib, spec.memory_mib, round)?,
        };
        if candidate.kind == LoadKind::Forecast
            && !Self::are_victims_settled(round, engine, &choice)
        {
            return None;
        }
        let available_mib = free_mib.saturating_sub(spec.memory_mib);
        if Self::must_leave_headroom(round, candidate)
            && available_mib < engine.memory_mib / HEADROOM_DIVISOR
        {
            return None;
        }
        let source = engine.source(model);
        let load_s = round.load_time(model, source).as_secs_f64();
        let wait_s = if choice.waits { EVICTION_S } else { 0.0 };
        let activation_cost = Self::activation_cost(round, candidate.kind, index);
        let left =
            free_mib.saturating_sub(spec.memory_mib) as f64 / engine.memory_mib.max(1) as f64;
        let wait = Duration::from_secs_f64(load_s + wait_s);
        let wait_cost = wait.as_secs_f64().max(round.wait_cost(wait));
        let delay = candidate.value.max(candidate.value_rate) * wait_cost;
        let cost = delay + choice.loss + activation_cost + FREE_MEMORY_COST * left;
        Some(LoadTarget { index, choice, source, cost, activation_cost })
    }

    /// Whether a load must leave memory free. Further replicas of models below the highest worth
    /// stay in use for as long as their burst lasts and would otherwise keep the models of highest
    /// worth out.
    fn must_leave_headroom(round: &PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        let busy = matches!(candidate.reason, PlacementReason::Busy { .. });
        let worth = round.demands.get(&candidate.model).map_or(0.0, |demand| demand.worth);
        busy && worth < round.manifest.max_worth()
    }

    /// Whether all victims were loaded at least a forecast horizon ago, so that one forecast
    /// doesn't evict what another one loaded.
    fn are_victims_settled(
        round: &PlanRound<'_>,
        engine: &EngineView,
        choice: &EvictionChoice,
    ) -> bool {
        let since = round.time_before(round.settings.forecast_horizon);
        let victims = engine.models.iter().filter(|one| choice.victims.contains(&one.model));
        victims.into_iter().all(|one| one.since <= since)
    }

    /// Cost of putting an unused engine to use, in worth; 0 for one in use.
    fn activation_cost(round: &PlanRound<'_>, kind: LoadKind, index: usize) -> f64 {
        let engine = &round.fleet.engines[index];
        match round.is_unused(index) {
            false => 0.0,
            true => {
                let cost_per_s = round.settings.idle_cost * f64::from(engine.accelerators);
                let span = match kind {
                    LoadKind::Forecast => round.settings.forecast_horizon,
                    LoadKind::Demand | LoadKind::Manifest => round.settings.demand_horizon,
                };
                cost_per_s * span.as_secs_f64()
            }
        }
    }

    /// Drains a replica of the old version where the new one can't be loaded beside it.
    fn drain_for_rollover(round: &mut PlanRound<'_>, candidate: &LoadCandidate) {
        if candidate.reason != PlacementReason::Rollover {
            return;
        }
        let model = &candidate.model;
        let engines = round.fleet.engines.iter().enumerate();
        let holder = engines
            .filter(|(_, engine)| !engine.leaving)
            .find(|(_, engine)| engine.models.iter().any(|placed| &placed.model == model))
            .map(|(index, _)| index);
        if let Some(index) = holder {
            round.drain(index, model, PlacementReason::Rollover);
        }
    }

    /// Requests that one more replica serves at once. A queue longer than that doesn't raise the
    /// value of a load, so that a burst doesn't crowd out the loads of other ranks.
    fn engine_slots(round: &PlanRound<'_>) -> u32 {
        round.fleet.engines.iter().map(|engine| engine.slots).max().unwrap_or(1)
    }

    /// Whether requests wait for the model because all engines that have it are full, counting the
    /// requests of their other models as well.
    fn is_busy(round: &PlanRound<'_>, demand: &ModelDemand) -> bool {
        let has = |engine: &&EngineView| {
            let mut models = engine.models.iter();
            models.any(|placed| placed.model == demand.model && placed.accepts_work())
        };
        let full = |engine: &EngineView| {
            let in_use: u32 = engine.models.iter().map(|placed| placed.in_use).sum();
            f64::from(in_use) > (1.0 + round.settings.queue_per_slot) * f64::from(engine.slots)
        };
        let mut ready = round.fleet.engines.iter().filter(has).peekable();
        let waits =
            f64::from(demand.queued) > BUSY_QUEUE_SHARE * f64::from(Self::engine_slots(round));
        waits && ready.peek().is_some() && ready.all(full)
    }

    /// Whether a model of the highest worth, loaded only in other data centres, is requested beyond
    /// what these can serve soon while slots are free here.
    ///
    /// This happens in a burst of requests for the models of one data centre: `max_replicas` holds
    /// in each data centre by itself, so the others would stay idle. Models of lower worth wait.
    fn overflows(round: &PlanRound<'_>, demand: &ModelDemand) -> bool {
        let ready = round.ledger.replicas(&demand.model).ready;
        let slots = f64::from(demand.remote_replicas * Self::engine_slots(round));
        let full = f64::from(demand.remote_queued) > round.settings.queue_per_slot * slots;
        let in_use =
            |engine: &EngineView| -> u32 { engine.models.iter().map(|placed| placed.in_use).sum() };
        let used: u32 = round.fleet.engines.iter().map(in_use).sum();
        let own: u32 = round.fleet.engines.iter().map(|engine| engine.slots).sum();
        let has_max_worth = demand.worth >= round.manifest.max_worth();
        ready == 0 && demand.remote_replicas > 0 && has_max_worth && full && used < own
    }

    fn best_load_s(round: &PlanRound<'_>, model: &ModelName) -> f64 {
        let engines = round.fleet.engines.iter().enumerate();
        let able = engines.filter(|(index, _)| round.ledger.may_load(*index, model));
        let source = able.map(|(_, engine)| engine.source(model)).min().unwrap_or_default();
        round.load_time(model, source).as_secs_f64()
    }
}
