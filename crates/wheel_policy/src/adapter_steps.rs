//! Plans adapter loads and unloads for the engines of one service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::DemandKey;
use wheel_types::ModelChange;

use crate::fleet_planner::free_mb;
use crate::replica_value::HORIZON_S;
use crate::{PlanInput, PlanStep};

/// Rate from which an adapter should be loaded on a second engine, in requests per second.
const SPARE_ADAPTER_RATE: f64 = 1.0;

/// Loads requested adapters on engines that have their model. Adds the engines that get a step to
/// `taken`.
pub(crate) fn plan_adapters(input: &PlanInput<'_>, taken: &mut BTreeSet<usize>) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    let requested = input.demand.iter().filter(|(key, _)| key.adapter.is_some());
    let mut requested: Vec<(&DemandKey, f64, u32)> =
        requested.map(|(key, level)| (key, level.rate, level.waiting)).collect();
    requested.sort_by(|left, right| right.2.cmp(&left.2).then(right.1.total_cmp(&left.1)));
    for (key, rate, waiting) in requested {
        let Some(adapter) = &key.adapter else { continue };
        let pair = (Arc::clone(&key.model), Arc::clone(adapter));
        let holders = input.engines.iter().filter(|engine| engine.adapters.contains(&pair)).count();
        let wanted = if rate >= SPARE_ADAPTER_RATE { 2 } else { 1 };
        if holders >= wanted || (holders > 0 && waiting == 0 && rate < SPARE_ADAPTER_RATE) {
            continue;
        }
        let Some((index, change)) = find_adapter_target(input, &pair, taken, waiting > 0) else {
            continue;
        };
        taken.insert(index);
        let engine = input.engines[index].id.clone();
        let expected_duration = Duration::from_millis(20);
        let gain = f64::from(waiting) + rate * HORIZON_S;
        steps.push(PlanStep { engine, change, expected_duration, from_store: false, gain });
    }
    steps
}

/// The engine for an adapter, with the load or, where no slot or memory is free and requests wait,
/// with the unload of the least requested adapter.
fn find_adapter_target(
    input: &PlanInput<'_>,
    pair: &(Arc<str>, Arc<str>),
    taken: &BTreeSet<usize>,
    is_waited_for: bool,
) -> Option<(usize, ModelChange)> {
    let candidates = input.engines.iter().enumerate().filter(|(index, engine)| {
        engine.accepts_orders
            && engine.accepts_work
            && !taken.contains(index)
            && engine.usable.contains(&pair.0)
    });
    let rate_of = |held: &(Arc<str>, Arc<str>)| {
        let found = input
            .demand
            .iter()
            .find(|(key, _)| key.model == held.0 && key.adapter.as_ref() == Some(&held.1));
        found.map_or(0.0, |(_, level)| level.rate)
    };
    let mb = input.profile.model(&pair.0)?.adapter_mb;
    let (index, engine) =
        candidates.min_by_key(|(_, engine)| (engine.adapters.len(), engine.active))?;
    let has_slot = engine.adapters.len() < input.profile.adapter_slots;
    match has_slot && free_mb(input.profile, engine) >= mb {
        true => Some((index, ModelChange::LoadAdapter(Arc::clone(&pair.0), Arc::clone(&pair.1)))),
        false if !is_waited_for => None,
        false => {
            let least = engine.adapters.iter();
            let least = least.min_by(|left, right| rate_of(left).total_cmp(&rate_of(right)))?;
            let (model, adapter) = least.clone();
            Some((index, ModelChange::UnloadAdapter(model, adapter)))
        }
    }
}
