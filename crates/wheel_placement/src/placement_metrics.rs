//! What operators see of placement.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use metrics::{counter, gauge};
use spdlog::info;
use wheel_policy::{DemandLevel, PlanEngine, PlanStep};
use wheel_route::{DemandKey, EngineProfile};
use wheel_types::ModelChange;

/// Sets the number of models by copies on the disks of engines that accept work, and logs it.
pub(crate) fn record_copies(service: &Arc<str>, profile: &EngineProfile, engines: &[PlanEngine]) {
    let mut copies: BTreeMap<&Arc<str>, (usize, BTreeSet<&Arc<str>>)> = BTreeMap::new();
    for engine in engines.iter().filter(|engine| engine.accepts_work) {
        for model in &engine.on_disk {
            let held = copies.entry(model).or_default();
            held.0 += 1;
            held.1.insert(&engine.centre);
        }
    }
    let [mut none, mut single, mut spread] = [0_u32; 3];
    for model in &profile.models {
        match copies.get(&model.name) {
            None => none += 1,
            Some((_, centres)) if centres.len() > 1 => spread += 1,
            Some(_) => single += 1,
        }
    }
    for (kind, count) in [("none", none), ("one_centre", single), ("more_centres", spread)] {
        gauge!("wheel_model_copies", "service" => service.to_string(), "copies" => kind)
            .set(f64::from(count));
    }
    info!("model_copies", kv: {
        service = service.to_string(), none, one_centre = single, more_centres = spread
    });
}

/// Counts a load by its source and by what it is for: requests that wait, requests that are expected,
/// or a copy.
pub(crate) fn record_load(
    step: &PlanStep,
    engines: &[PlanEngine],
    demand: &BTreeMap<DemandKey, DemandLevel>,
) {
    let ModelChange::LoadModel(model) = &step.change else { return };
    let engine = engines.iter().find(|engine| engine.id == step.engine);
    let source = match engine {
        _ if step.from_store => "store",
        Some(engine) if engine.in_memory.contains(model) => "memory",
        _ => "disk",
    };
    let levels = || demand.iter().filter(|(key, _)| key.model == *model).map(|(_, level)| level);
    let reason = match () {
        () if levels().any(|level| level.waiting > 0) => "waiting",
        () if levels().any(|level| level.rate > 0.0) => "expected",
        () => "copy",
    };
    counter!("wheel_model_loads_total", "source" => source, "reason" => reason).increment(1);
    info!("model_load", kv: {
        upstream = step.engine.name.to_string(), model = model.to_string(), source, reason
    });
}
