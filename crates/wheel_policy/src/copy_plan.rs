//! Plans copies of checkpoints on engines' disks before requests need them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use wheel_route::ModelProfile;
use wheel_types::ModelChange;

use crate::fleet_planner::{DISPLACE_MARGIN, LoadOption, free_mb};
use crate::replica_value::{HORIZON_S, ReplicaValue};
use crate::return_cost::{ReturnCosts, return_weight};
use crate::{FleetPlan, FleetPlanner, PlanInput};

/// Gain of a copy of a model that isn't requested for each second that it saves later, in requests.
/// It exceeds the loss of unloading an unrequested model until the copy is loaded.
const COPY_GAIN_PER_S: f64 = 0.1;
/// Cost of each checkpoint on a disk, in requests: copies go to the emptiest disk, since a full one
/// evicts another copy.
const DISK_FILL_COST: f64 = 0.02;

/// How urgently a model needs another copy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CopyNeed {
    /// The only copies are on engines that leave, or stopped answering.
    Leaving,
    /// Only the store has it.
    Missing,
    /// One disk has it, or those of one data centre.
    Single,
}

/// A model that needs another copy.
struct CopyCandidate<'a> {
    need: CopyNeed,
    profile: &'a ModelProfile,
    rate: f64,
    /// Data centres with a copy.
    centres: BTreeSet<&'a Arc<str>>,
}

impl FleetPlanner {
    /// Loads models that lack a copy while no request waits for the store, the most requested first:
    /// first copies, then second ones in other data centres.
    ///
    /// While there is any demand, one slot of the store stays free for requests, unless it has only
    /// one. There, only first copies are made meanwhile: each spares a later request the store.
    pub(crate) fn plan_copies(
        &mut self,
        input: &PlanInput<'_>,
        values: &mut BTreeMap<Arc<str>, ReplicaValue>,
        taken: &mut BTreeSet<usize>,
        free_store_loads: usize,
        costs: &ReturnCosts<'_>,
        plan: &mut FleetPlan,
    ) {
        let has_demand = input.demand.values().any(|level| level.rate > 0.0);
        let spare = usize::from(has_demand && input.store_limit > 1);
        let mut room = free_store_loads.saturating_sub(spare);
        let is_known =
            input.engines.iter().all(|engine| engine.contents_known || !engine.accepts_work);
        let waits_for_store = values.iter().any(|(model, value)| {
            value.waiting > 0 && value.possible == 0 && costs.copies(model).is_empty()
        });
        if room == 0 || !is_known || waits_for_store {
            return;
        }
        let candidates = self.copy_candidates(input, values, costs, plan);
        // Second copies would slow down first ones that are being loaded.
        let lacks_copy = |model: &ModelProfile| {
            let usable = values.get(&model.name).map_or(0, |value| value.usable);
            let fits = model.weights_mb <= input.profile.memory_mb;
            fits && usable == 0 && costs.copies(&model.name).is_empty()
        };
        let has_first = input.profile.models.iter().any(lacks_copy);
        for candidate in candidates {
            let is_single = candidate.need == CopyNeed::Single;
            let is_late = is_single && (has_first || (has_demand && input.store_limit <= 1));
            if room == 0 || is_late {
                return;
            }
            let option = self.copy_option(input, &candidate, values, taken, costs);
            let Some((option, gain)) = option else { continue };
            room -= 1;
            taken.insert(option.index);
            let model = Arc::clone(&candidate.profile.name);
            plan.steps.push(self.option_step(input, values, model, option, gain));
        }
    }

    fn copy_candidates<'a>(
        &self,
        input: &'a PlanInput<'_>,
        values: &BTreeMap<Arc<str>, ReplicaValue>,
        costs: &ReturnCosts<'_>,
        plan: &FleetPlan,
    ) -> Vec<CopyCandidate<'a>> {
        let engines = || input.engines.iter();
        let all_centres: BTreeSet<&Arc<str>> =
            engines().filter(|one| one.accepts_work).map(|one| &one.centre).collect();
        let leaving: BTreeSet<&Arc<str>> =
            engines().filter(|one| !one.accepts_work).flat_map(|one| &one.on_disk).collect();
        let mut loaded: BTreeMap<&Arc<str>, Vec<usize>> = BTreeMap::new();
        for (index, engine) in engines().enumerate().filter(|(_, one)| one.accepts_work) {
            for model in &engine.possible {
                loaded.entry(model).or_default().push(index);
            }
        }
        let planned: BTreeSet<&Arc<str>> = plan
            .steps
            .iter()
            .filter_map(|step| match &step.change {
                ModelChange::LoadModel(model) => Some(model),
                _ => None,
            })
            .chain(self.reservations.values().map(|(model, _)| model))
            .collect();
        let candidates = input.profile.models.iter().filter(|model| !planned.contains(&model.name));
        let candidates = candidates.filter_map(|profile| {
            let name = &profile.name;
            let loaded = loaded.get(name).into_iter().flatten();
            let holders: BTreeSet<usize> =
                costs.copies(name).iter().chain(loaded).copied().collect();
            let centres: BTreeSet<&Arc<str>> =
                holders.iter().map(|index| &input.engines[*index].centre).collect();
            let need = match holders.len() {
                0 if leaving.contains(name) => CopyNeed::Leaving,
                0 => CopyNeed::Missing,
                1 => CopyNeed::Single,
                _ if centres.len() < all_centres.len().min(2) => CopyNeed::Single,
                _ => return None,
            };
            let rate = values.get(name).map_or(0.0, |value| value.rate);
            Some(CopyCandidate { need, profile, rate, centres })
        });
        let mut candidates: Vec<CopyCandidate<'_>> = candidates.collect();
        // The sort is stable: models without requests keep the configuration's order.
        candidates.sort_by(|left, right| {
            left.need.cmp(&right.need).then(right.rate.total_cmp(&left.rate))
        });
        candidates
    }

    /// The engine for a copy, with its gain.
    fn copy_option(
        &self,
        input: &PlanInput<'_>,
        candidate: &CopyCandidate<'_>,
        values: &BTreeMap<Arc<str>, ReplicaValue>,
        taken: &BTreeSet<usize>,
        costs: &ReturnCosts<'_>,
    ) -> Option<(LoadOption, f64)> {
        let profile = candidate.profile;
        let name = &profile.name;
        let load = profile.store_load_time;
        let miss_rate = values.get(name).map_or(0.0, |value| value.miss_rate);
        let saved = load.saturating_sub(profile.disk_load_time);
        let gain =
            COPY_GAIN_PER_S * saved.as_secs_f64() + miss_rate * HORIZON_S * return_weight(saved);
        let engines = input.engines.iter().enumerate().filter(|(index, engine)| {
            engine.accepts_orders
                && engine.accepts_work
                && !engine.is_limited
                && !taken.contains(index)
                && !self.reservations.contains_key(&engine.id)
                && !engine.possible.contains(name)
                && !costs.copies(name).contains(index)
        });
        let options = engines.filter_map(|(index, engine)| {
            let missing_mb = profile.weights_mb - free_mb(input.profile, engine);
            let victim = match missing_mb > 0.0 {
                true => Some(costs.find_victim(index, missing_mb, load, values)?),
                false => None,
            };
            let loss =
                victim.as_ref().map_or(0.0, |(_, loss)| *loss) + costs.blocking_loss(index, load);
            if gain < loss * DISPLACE_MARGIN {
                return None;
            }
            let is_covered = candidate.centres.contains(&engine.centre);
            let fill = DISK_FILL_COST * engine.on_disk.len() as f64;
            let option = LoadOption {
                index,
                victim: victim.map(|(victim, _)| victim),
                expected_duration: load,
                from_store: true,
                cost: loss + fill,
            };
            Some((is_covered, option))
        });
        let best = options
            .min_by(|left, right| left.0.cmp(&right.0).then(left.1.cost.total_cmp(&right.1.cost)));
        let (is_covered, option) = best?;
        // Second copies beside the first one would be made again and again.
        (!is_covered || input.engines.iter().all(|one| one.centre == input.engines[0].centre))
            .then_some((option, gain))
    }
}
