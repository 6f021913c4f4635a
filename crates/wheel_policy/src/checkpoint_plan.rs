//! Which host's memory should hold which checkpoint.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use wheel_manifest::ModelSpec;
use wheel_types::ModelName;

use crate::plan_round::PlanRound;
use crate::{CheckpointSource, ModelDemand};

/// Time over which the next request for a model is expected, in hours: a host keeps a checkpoint
/// until others push it out.
const KEEP_HORIZON_H: f64 = 4.0;
/// Requests expected per hour at least, so that a quiet night doesn't hide what follows it.
const MIN_HOURLY_RATE: f64 = 0.05;

/// The engine whose host's memory should hold a model's checkpoint, by model.
///
/// The models whose next request would wait longest without it come first, each where it is loaded
/// or kept already, else where it can be staged now.
#[derive(Clone, Debug)]
pub(crate) struct CheckpointPlan {
    hosts: BTreeMap<ModelName, usize>,
}

impl CheckpointPlan {
    /// Assigns the models that this data centre is to load to its hosts.
    pub(crate) fn new(round: &PlanRound<'_>) -> Self {
        let own = round.demands.values().filter(|demand| demand.expected_soon > 0.0);
        let specs = own.filter_map(|demand| Some((*demand, round.manifest.model(&demand.model)?)));
        let mut models: Vec<(f64, &ModelSpec)> = specs
            .map(|(demand, spec)| (Self::gain(round, demand, CheckpointSource::Disk), spec))
            .collect();
        models.sort_by(|(left_gain, left), (right_gain, right)| {
            right_gain.total_cmp(left_gain).then(left.name.cmp(&right.name))
        });
        let engines = round.fleet.engines.iter();
        let mut space_mib: Vec<u64> =
            engines.map(|engine| round.staging.host_memory_mib(engine)).collect();
        let mut hosts = BTreeMap::new();
        for (_, spec) in models {
            let fits = (0..space_mib.len()).filter(|index| space_mib[*index] >= spec.memory_mib);
            let best =
                fits.min_by_key(|index| Self::preference(round, spec, *index, space_mib[*index]));
            if let Some(index) = best {
                space_mib[index] -= spec.memory_mib;
                hosts.insert(spec.name.clone(), index);
            }
        }
        Self { hosts }
    }

    /// Index of the engine whose host should hold a model's checkpoint in memory.
    pub(crate) fn host(&self, model: &ModelName) -> Option<usize> {
        self.hosts.get(model).copied()
    }

    /// What a checkpoint in host memory saves the model's next callers, if it comes from `source`
    /// otherwise. All models count as of the highest worth, since the tail of all waits counts.
    pub(crate) fn gain(
        round: &PlanRound<'_>,
        demand: &ModelDemand,
        source: CheckpointSource,
    ) -> f64 {
        let rate = demand.hourly_rate.max(MIN_HOURLY_RATE);
        let probability = 1.0 - (-rate * KEEP_HORIZON_H).exp();
        let cost = |source| round.wait_cost(round.load_time(&demand.model, source));
        probability * (cost(source) - cost(CheckpointSource::Memory))
    }

    /// Order in which hosts are tried for a model, least first.
    fn preference(
        round: &PlanRound<'_>,
        spec: &ModelSpec,
        index: usize,
        space_mib: u64,
    ) -> (bool, bool, CheckpointSource, Reverse<u64>) {
        let engine = &round.fleet.engines[index];
        let is_loaded = engine.models.iter().any(|placed| placed.model == spec.name);
        let source = engine.source(&spec.name);
        let is_there = is_loaded || source == CheckpointSource::Memory;
        let is_full = round.ledger.free_mib(index) < spec.memory_mib
            || round.has_reservation(&engine.upstream);
        (is_full && !is_there, !is_loaded, source, Reverse(space_mib))
    }
}
