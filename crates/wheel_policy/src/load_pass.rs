//! The pass that orders loads.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use wheel_types::{ModelName, ModelPhase};

use crate::eviction_choice::EvictionChoice;
use crate::load_candidate::{LoadCandidate, LoadKind, waiting_value};
use crate::plan_round::{LoadPromise, PlanRound};
use crate::{CheckpointSource, EngineView, ModelDemand, PlacementReason, RankDemand};

/// Share of what waits at loaded replicas that another replica would save.
const BUSY_SHARE: f64 = 0.5;
/// Part of an engine's memory that further replicas of less worthy models leave free.
const ROOM_PART: u64 = 2;
/// Waiting requests of a busy model, for each slot of an engine.
const BUSY_QUEUE: f64 = 0.25;
/// Candidates that are placed in one round at most.
const MAX_CANDIDATES: usize = 64;
/// Forecast candidates among them.
const MAX_FORECASTS: usize = 4;
/// Requests expected within the span of a forecast below which nothing is loaded for them.
const LEAST_EXPECTED: f64 = 0.05;
/// How much more an engine must save than it costs for a forecast to count on it.
const STAY_MARGIN: f64 = 1.2;
/// Time that draining and unloading victims takes, in seconds.
const EVICTION_S: f64 = 0.5;
/// Weight of a tight fit against the other costs, in worth.
const FIT_WORTH: f64 = 0.01;

/// Loads what waits, what the text wants and what the forecast expects, in this order, by value
/// over expected time.
#[derive(Debug)]
pub(crate) struct LoadPass;

/// Where a candidate goes.
#[derive(Debug)]
struct LoadPlace {
    index: usize,
    choice: EvictionChoice,
    source: CheckpointSource,
    cost: f64,
    opening: f64,
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
            let barred = candidate.kind == LoadKind::Forecast && demand_waits;
            forecasts += usize::from(candidate.kind == LoadKind::Forecast);
            if round.is_full() || barred || forecasts > MAX_FORECASTS {
                return;
            }
            let placed = match round.promises.contains_key(&candidate.model) {
                true => Self::begin_promised(round, &candidate),
                false => Self::place_all(round, &candidate),
            };
            demand_waits |= candidate.kind == LoadKind::Demand && !placed;
        }
    }

    fn candidates(round: &PlanRound<'_>) -> Vec<LoadCandidate> {
        let mut candidates = Vec::new();
        let mut models: Vec<&ModelDemand> = round.demands.values().copied().collect();
        models.sort_by(|left, right| left.model.cmp(&right.model));
        candidates.extend(models.into_iter().filter_map(|demand| Self::wanted(round, demand)));
        candidates.extend(Self::by_text(round));
        let known: HashSet<ModelName> =
            candidates.iter().map(|candidate| candidate.model.clone()).collect();
        let others = round.promises.iter().filter(|(model, _)| !known.contains(*model));
        candidates.extend(others.map(|(model, promise)| Self::promised(model, promise)));
        candidates
    }

    /// The load that a model's demand asks for.
    fn wanted(round: &PlanRound<'_>, demand: &ModelDemand) -> Option<LoadCandidate> {
        let spec = round.text.model(&demand.model)?;
        let count = round.ledger.replicas(&demand.model);
        let promised = round.promises.contains_key(&demand.model);
        if !promised && (count.held >= spec.max_replicas || count.loading > 0) {
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
                let served = demand.queued_elsewhere.min(Self::engine_slots(round));
                let value = BUSY_SHARE * demand.worth * f64::from(served);
                let reason = PlacementReason::Busy { queued: demand.queued_elsewhere };
                Some(Self::candidate(demand, LoadKind::Demand, value, load_s, reason))
            }
            demand
                if demand.expected_soon > LEAST_EXPECTED && count.ready + demand.elsewhere == 0 =>
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
        let worth = |rank: &RankDemand| round.text.worth(rank.rank);
        let slots = Self::engine_slots(round);
        let value = waiting_value(round.now, ready, demand, slots, worth);
        let value_rate = value / load_s.max(f64::MIN_POSITIVE);
        let reason = PlacementReason::Waiting { count: demand.waiting_count(), value_rate };
        Self::candidate(demand, LoadKind::Demand, value, load_s, reason)
    }

    /// Loads that the text asks for: too few replicas, or another version than the wanted one.
    fn by_text(round: &PlanRound<'_>) -> Vec<LoadCandidate> {
        let open = |model: &ModelName| {
            round.ledger.replicas(model).loading == 0 && !round.promises.contains_key(model)
        };
        let few = round.text.pinned().filter(|spec| {
            open(&spec.name) && round.ledger.replicas(&spec.name).ready < spec.min_replicas
        });
        let few = few.map(|spec| Self::wanted_by_text(&spec.name, PlacementReason::MinReplicas));
        let old = Self::outdated(round).into_iter().filter(|model| open(model));
        let old = old.map(|model| Self::wanted_by_text(model, PlacementReason::Rollover));
        few.chain(old).collect()
    }

    fn wanted_by_text(model: &ModelName, reason: PlacementReason) -> LoadCandidate {
        let model = model.clone();
        LoadCandidate { model, kind: LoadKind::Text, value: 1.0, value_rate: 1.0, reason }
    }

    /// Models whose replicas all have another version than the text's.
    fn outdated<'a>(round: &PlanRound<'a>) -> BTreeSet<&'a ModelName> {
        let engines = round.fleet.engines.iter().filter(|engine| !engine.leaving);
        let placed = engines.flat_map(|engine| &engine.models);
        let mut old = BTreeSet::new();
        let mut current = BTreeSet::new();
        for one in placed.filter(|one| one.phase != ModelPhase::Unloading) {
            match round.text.model(&one.model) {
                Some(spec) if spec.version == one.version => current.insert(&one.model),
                Some(_) if one.takes_work() => old.insert(&one.model),
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

    /// A load that was promised for another reason than its own demand.
    fn promised(model: &ModelName, promise: &LoadPromise) -> LoadCandidate {
        let kind = match promise.reason {
            PlacementReason::Forecast { .. } => LoadKind::Forecast,
            PlacementReason::NeededBy { .. } => LoadKind::Demand,
            _ => LoadKind::Text,
        };
        let reason = promise.reason.clone();
        LoadCandidate { model: model.clone(), kind, value: 1.0, value_rate: 1.0, reason }
    }

    /// Begins a promised load if it can; false if it waits on.
    fn begin_promised(round: &mut PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        round.load_promised(&candidate.model, u32::from(candidate.kind == LoadKind::Forecast));
        !round.promises.contains_key(&candidate.model)
    }

    /// Places a candidate with all that it needs, or nothing. False if it has to wait.
    fn place_all(round: &mut PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        let needed = Self::needed(round, &candidate.model);
        let kept = (round.ledger.clone(), round.promises.clone(), round.drained.clone());
        let steps = round.steps.len();
        let reason = |_: &ModelName| PlacementReason::NeededBy { model: candidate.model.clone() };
        let all = needed.iter().all(|model| {
            let part =
                LoadCandidate { model: model.clone(), reason: reason(model), ..candidate.clone() };
            Self::place(round, &part)
        });
        let placed = all && Self::place(round, candidate);
        if !placed {
            (round.ledger, round.promises, round.drained) = kept;
            round.steps.truncate(steps);
            Self::give_way(round, candidate);
        }
        placed
    }

    /// Models that the candidate can't answer without and that nobody has loaded or loads.
    fn needed(round: &PlanRound<'_>, model: &ModelName) -> Vec<ModelName> {
        let missing = |model: &&ModelName| {
            let count = round.ledger.replicas(model);
            let elsewhere = round.demands.get(*model).map_or(0, |demand| demand.elsewhere);
            count.ready + count.loading + elsewhere == 0
        };
        round.text.needs(model).iter().filter(missing).cloned().collect()
    }

    fn place(round: &mut PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        let Some(place) = Self::best_place(round, candidate) else { return false };
        let spare = u32::from(candidate.kind == LoadKind::Forecast);
        let may_begin = round.ledger.may_begin(place.source, spare);
        if candidate.kind == LoadKind::Forecast
            && !(may_begin && Self::pays(round, candidate, &place))
        {
            return false;
        }
        let model = &candidate.model;
        match place.choice.waits || !may_begin {
            false => round.load(place.index, model, candidate.reason.clone()),
            true => round.promise(place.index, model, candidate.reason.clone()),
        }
        for victim in &place.choice.victims {
            let reason = PlacementReason::MemoryFor { model: model.clone() };
            round.drain(place.index, victim, reason);
        }
        true
    }

    /// Whether a forecast load gains more than it costs. One from the store leaves its checkpoint
    /// nearer for good; any other is worth it only where the engine then stays in use.
    fn pays(round: &PlanRound<'_>, candidate: &LoadCandidate, place: &LoadPlace) -> bool {
        let cost = place.opening + place.choice.loss + round.settings.load_price;
        let gains = candidate.value > round.settings.forecast_margin * cost;
        let stays = place.source == CheckpointSource::Store || Self::stays(round, candidate, place);
        gains && stays
    }

    /// Whether an engine's models, with the candidate, save more than the engine costs.
    fn stays(round: &PlanRound<'_>, candidate: &LoadCandidate, place: &LoadPlace) -> bool {
        let engine = &round.fleet.engines[place.index];
        let Some(demand) = round.demands.get(&candidate.model) else { return false };
        let rate = demand.expected_soon / round.settings.open_span.as_secs_f64();
        let own = demand.worth * rate * round.reload_cost(&candidate.model, place.source);
        let others = engine.models.iter().map(|placed| round.saving_rate(engine, placed));
        let cost = round.settings.idle_price * f64::from(engine.accelerators);
        own + others.sum::<f64>() > STAY_MARGIN * cost
    }

    fn best_place(round: &PlanRound<'_>, candidate: &LoadCandidate) -> Option<LoadPlace> {
        let places = (0..round.fleet.engines.len())
            .filter_map(|index| Self::place_at(round, candidate, index));
        places.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn place_at(
        round: &PlanRound<'_>,
        candidate: &LoadCandidate,
        index: usize,
    ) -> Option<LoadPlace> {
        let model = &candidate.model;
        if !round.ledger.may_load(index, model) {
            return None;
        }
        let spec = round.text.model(model)?;
        let engine = &round.fleet.engines[index];
        let free_mib = round.ledger.free_mib(index);
        let choice = match free_mib >= spec.memory_mib {
            true => EvictionChoice { victims: Vec::new(), loss: 0.0, waits: false },
            false if round.has_promise(&engine.upstream) => return None,
            false => EvictionChoice::find(engine, free_mib, spec.memory_mib, round)?,
        };
        if candidate.kind == LoadKind::Forecast && !Self::are_settled(round, engine, &choice) {
            return None;
        }
        let room_mib = free_mib.saturating_sub(spec.memory_mib);
        if Self::must_leave_room(round, candidate) && room_mib < engine.memory_mib / ROOM_PART {
            return None;
        }
        let source = engine.source(model);
        let load_s = round.load_time(model, source).as_secs_f64();
        let wait_s = if choice.waits { EVICTION_S } else { 0.0 };
        let opening = Self::opening_cost(round, candidate.kind, index);
        let left =
            free_mib.saturating_sub(spec.memory_mib) as f64 / engine.memory_mib.max(1) as f64;
        let delay = candidate.value.max(candidate.value_rate) * (load_s + wait_s);
        let cost = delay + choice.loss + opening + FIT_WORTH * left;
        Some(LoadPlace { index, choice, source, cost, opening })
    }

    /// Whether a load must leave memory free: further replicas of less worthy models, which stay in
    /// use for as long as their flood lasts, would keep the most worthy ones out.
    fn must_leave_room(round: &PlanRound<'_>, candidate: &LoadCandidate) -> bool {
        let busy = matches!(candidate.reason, PlacementReason::Busy { .. });
        let worth = round.demands.get(&candidate.model).map_or(0.0, |demand| demand.worth);
        busy && worth < round.text.top_worth()
    }

    /// Whether all victims have been here for as long as an engine is opened for: what a forecast
    /// brought isn't taken away by the next one.
    fn are_settled(round: &PlanRound<'_>, engine: &EngineView, choice: &EvictionChoice) -> bool {
        let since = round.earlier(round.settings.open_span);
        let victims = engine.models.iter().filter(|one| choice.victims.contains(&one.model));
        victims.into_iter().all(|one| one.since <= since)
    }

    /// What it costs to put an empty engine to use.
    fn opening_cost(round: &PlanRound<'_>, kind: LoadKind, index: usize) -> f64 {
        let engine = &round.fleet.engines[index];
        match engine.models.is_empty() && round.ledger.free_mib(index) == engine.free_mib() {
            false => 0.0,
            true => {
                let price = round.settings.idle_price * f64::from(engine.accelerators);
                let span = match kind {
                    LoadKind::Forecast => round.settings.open_span,
                    LoadKind::Demand | LoadKind::Text => round.settings.demand_span,
                };
                price * span.as_secs_f64()
            }
        }
    }

    /// Makes room for a new version where it can't be loaded beside the old one.
    fn give_way(round: &mut PlanRound<'_>, candidate: &LoadCandidate) {
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

    /// Requests that one more replica works on at once: a longer queue makes no load more pressing,
    /// so that a flood doesn't crowd out the loads of other ranks.
    fn engine_slots(round: &PlanRound<'_>) -> u32 {
        round.fleet.engines.iter().map(|engine| engine.slots).max().unwrap_or(1)
    }

    /// Whether requests wait for the model at all engines that have it, because these are full; the
    /// engine's other models take their part of its slots.
    fn is_busy(round: &PlanRound<'_>, demand: &ModelDemand) -> bool {
        let has = |engine: &&EngineView| {
            let mut models = engine.models.iter();
            models.any(|placed| placed.model == demand.model && placed.takes_work())
        };
        let full = |engine: &EngineView| {
            let in_use: u32 = engine.models.iter().map(|placed| placed.in_use).sum();
            f64::from(in_use) > (1.0 + round.settings.queue_per_slot) * f64::from(engine.slots)
        };
        let mut ready = round.fleet.engines.iter().filter(has).peekable();
        let waits = f64::from(demand.queued) > BUSY_QUEUE * f64::from(Self::engine_slots(round));
        waits && ready.peek().is_some() && ready.all(full)
    }

    /// Whether one of the most worthy models, which only other data centres have, is asked for beyond
    /// what these serve soon, while slots are free here.
    ///
    /// The load pattern is a flood on the models of one data centre: bounds on replicas hold in each by
    /// itself, so that the others would stand idle. Less worthy models wait where they are.
    fn overflows(round: &PlanRound<'_>, demand: &ModelDemand) -> bool {
        let ready = round.ledger.replicas(&demand.model).ready;
        let slots = f64::from(demand.elsewhere * Self::engine_slots(round));
        let full = f64::from(demand.queued_elsewhere) > round.settings.queue_per_slot * slots;
        let in_use =
            |engine: &EngineView| -> u32 { engine.models.iter().map(|placed| placed.in_use).sum() };
        let used: u32 = round.fleet.engines.iter().map(in_use).sum();
        let own: u32 = round.fleet.engines.iter().map(|engine| engine.slots).sum();
        let worthy = demand.worth >= round.text.top_worth();
        ready == 0 && demand.elsewhere > 0 && worthy && full && used < own
    }

    fn best_load_s(round: &PlanRound<'_>, model: &ModelName) -> f64 {
        let engines = round.fleet.engines.iter().enumerate();
        let able = engines.filter(|(index, _)| round.ledger.may_load(*index, model));
        let source = able.map(|(_, engine)| engine.source(model)).min().unwrap_or_default();
        round.load_time(model, source).as_secs_f64()
    }
}
