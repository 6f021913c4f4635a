//! The planning pass that loads and unloads adapters.

use wheel_types::{AdapterName, ModelName};

use crate::plan_round::PlanRound;
use crate::{PlacedAdapter, PlacedModel, PlacementAction, PlacementReason};

/// Loads adapters that requests wait for on engines that have the model, and unloads idle adapters
/// where memory is short.
#[derive(Debug)]
pub(crate) struct AdapterPass;

impl AdapterPass {
    /// Adds the pass's steps.
    pub(crate) fn run(round: &mut PlanRound<'_>) {
        let mut wanted: Vec<(&ModelName, &AdapterName, u32)> = Vec::new();
        for demand in round.demands.values() {
            let adapters = demand.adapters.iter().filter(|adapter| adapter.waiting > 0);
            wanted.extend(adapters.map(|one| (&demand.model, &one.adapter, one.waiting)));
        }
        wanted.sort_by(|left, right| right.2.cmp(&left.2).then(left.1.cmp(right.1)));
        for (model, adapter, waiting) in wanted {
            if round.is_full() {
                return;
            }
            Self::load(round, model, adapter, waiting);
        }
    }

    fn load(round: &mut PlanRound<'_>, model: &ModelName, adapter: &AdapterName, waiting: u32) {
        let Some(spec) = round.manifest.adapter(adapter).filter(|spec| &spec.model == model) else {
            return;
        };
        let Some((index, placed)) = Self::best_replica(round, model, adapter) else { return };
        if round.ledger.free_mib(index) < spec.memory_mib {
            Self::free_memory(round, index, placed, spec.memory_mib);
            return;
        }
        if round.ledger.begin_adapter() {
            round.ledger.use_memory(index, spec.memory_mib);
            let action = PlacementAction::LoadAdapter {
                model: model.clone(),
                adapter: adapter.clone(),
                memory_mib: spec.memory_mib,
            };
            let value_rate = f64::from(waiting);
            round.push(index, action, PlacementReason::Waiting { count: waiting, value_rate });
        }
    }

    /// The replica with the most free memory, unless a replica already has or loads the adapter.
    fn best_replica<'a>(
        round: &PlanRound<'a>,
        model: &ModelName,
        adapter: &AdapterName,
    ) -> Option<(usize, &'a PlacedModel)> {
        let engines = round.fleet.engines.iter().enumerate();
        let replicas: Vec<(usize, &PlacedModel)> = engines
            .filter(|(_, engine)| !engine.leaving)
            .flat_map(|(index, engine)| engine.models.iter().map(move |placed| (index, placed)))
            .filter(|(_, placed)| &placed.model == model && placed.accepts_work())
            .collect();
        let has = |placed: &PlacedModel| placed.adapters.iter().any(|one| &one.adapter == adapter);
        match replicas.iter().any(|(_, placed)| has(placed)) {
            true => None,
            false => replicas.into_iter().max_by_key(|(index, _)| round.ledger.free_mib(*index)),
        }
    }

    /// Unloads idle adapters of the same model, the longest idle first, until `need_mib` fits.
    fn free_memory(round: &mut PlanRound<'_>, index: usize, placed: &PlacedModel, need_mib: u64) {
        let idle = |one: &&PlacedAdapter| {
            one.in_use == 0
                && one.phase == wheel_types::ModelPhase::Loaded
                && one.last_used <= round.residence_cutoff()
        };
        let mut victims: Vec<&PlacedAdapter> = placed.adapters.iter().filter(idle).collect();
        victims.sort_by_key(|one| one.last_used);
        let mut available_mib = round.ledger.free_mib(index);
        for victim in victims {
            if available_mib >= need_mib {
                return;
            }
            available_mib += victim.memory_mib;
            let action = PlacementAction::UnloadAdapter {
                model: placed.model.clone(),
                adapter: victim.adapter.clone(),
            };
            round.push(index, action, PlacementReason::MemoryFor { model: placed.model.clone() });
        }
    }
}
