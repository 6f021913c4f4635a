//! The planner's view of a data centre's engines.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use wheel_lease::OrderLedger;
use wheel_manifest::{ActiveManifest, UpstreamSpec};
use wheel_policy::{EngineView, FleetView, PlacedAdapter, PlacedModel, PlacementSettings};
use wheel_types::{
    AdapterState, CentreName, EngineState, ModelName, ModelPhase, ModelState, ModelUsage,
    MonotonicTime, OrderAction, UpstreamName,
};

use crate::ReceivedReport;
use crate::engine_clients::engines_of;
use crate::replica_table::{ReplicaKey, ReplicaTable};

/// Combines the manifest, the ledger's engine records and the owners' reports.
pub(crate) struct FleetBuilder<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) centre: &'a CentreName,
    pub(crate) manifest: &'a ActiveManifest,
    pub(crate) ledger: &'a OrderLedger,
    pub(crate) reports: &'a HashMap<UpstreamName, ReceivedReport>,
    /// Origin of [`MonotonicTime`].
    pub(crate) start: Instant,
    pub(crate) placement: &'a PlacementSettings,
}

impl FleetBuilder<'_> {
    /// Builds the view without the store's limits, and drops the records of replicas that are gone.
    pub(crate) fn build(&self, replicas: &mut ReplicaTable) -> FleetView {
        let engines: Vec<EngineView> = engines_of(self.centre, self.manifest)
            .map(|spec| self.engine_view(spec, replicas))
            .collect();
        let present: HashSet<ReplicaKey> = engines
            .iter()
            .flat_map(|engine| {
                engine.models.iter().map(|placed| ReplicaKey {
                    upstream: engine.upstream.clone(),
                    model: placed.model.clone(),
                })
            })
            .collect();
        replicas.retain(|key| present.contains(key));
        FleetView { engines, store_loads: 0, store_starts: 0, adapter_loads: 0 }
    }

    fn engine_view(&self, spec: &UpstreamSpec, replicas: &mut ReplicaTable) -> EngineView {
        let state = self.ledger.engine(&spec.name).and_then(|record| record.state.as_ref());
        let report = self.reports.get(&spec.name);
        let unknown = EngineView {
            upstream: spec.name.clone(),
            memory_mib: spec.memory_mib,
            accelerators: spec.accelerators,
            slots: spec.slots,
            leaving: true,
            ..EngineView::default()
        };
        let Some(state) = state else { return unknown };
        let ordered: Vec<&OrderAction> = self
            .ledger
            .open_orders()
            .filter(|order| order.upstream == spec.name)
            .map(|order| &order.action)
            .collect();
        let mut model_states = state.models.clone();
        model_states.iter_mut().for_each(|model_state| apply_orders(model_state, &ordered));
        model_states.extend(ordered.iter().filter_map(|action| ordered_load(action, state)));
        let models = model_states
            .iter()
            .map(|model_state| self.placed_model(spec, model_state, report, replicas))
            .collect();
        let reserved = ordered.iter().filter(|action| is_adapter_without_model(action, state));
        EngineView {
            memory_mib: spec.memory_mib.min(state.memory_mib),
            reserved_mib: reserved.map(|action| action.required_mib()).sum(),
            role: state.role,
            leaving: state.leaving || report.is_some_and(|latest| !latest.report.accepts_work()),
            models,
            memory_checkpoints: state.memory_checkpoints.clone(),
            disk_checkpoints: state.disk_checkpoints.clone(),
            ..unknown
        }
    }

    fn placed_model(
        &self,
        spec: &UpstreamSpec,
        state: &ModelState,
        latest: Option<&ReceivedReport>,
        replicas: &mut ReplicaTable,
    ) -> PlacedModel {
        let key = ReplicaKey { upstream: spec.name.clone(), model: state.model.clone() };
        let record = replicas.update(self.now, key, state.phase);
        let usage = || latest.into_iter().flat_map(|latest| &latest.report.usage);
        let reported_at =
            latest.map_or(self.now, |latest| MonotonicTime::between(self.start, latest.received));
        let of_model = |usage: &&ModelUsage| usage.model == state.model;
        let adapters = state.adapters.iter().map(|adapter| {
            let own = usage().filter(of_model);
            let own = own.filter(|usage| usage.adapter.as_ref() == Some(&adapter.adapter));
            let (in_use, last_used) = sum_usage(own, reported_at, record.first_seen);
            PlacedAdapter {
                adapter: adapter.adapter.clone(),
                phase: adapter.phase,
                memory_mib: adapter.memory_mib,
                in_use,
                last_used,
            }
        });
        let (in_use, last_used) =
            sum_usage(usage().filter(of_model), reported_at, record.first_seen);
        // A report from before the drain can't prove that nothing uses the replica any more.
        let is_outdated =
            record.draining.is_some_and(|since| !self.is_drain_report(since, &state.model, latest));
        let in_use = in_use.max(u32::from(is_outdated));
        let is_reported = latest.is_some_and(|latest| {
            let loaded = latest.report.loaded(&state.model);
            latest.report.accepts_work()
                && loaded.is_some_and(|loaded| loaded.version == state.version)
        });
        PlacedModel {
            model: state.model.clone(),
            version: state.version,
            phase: state.phase,
            source: record.source,
            memory_mib: state.memory_mib,
            adapters: adapters.collect(),
            in_use,
            draining: record.draining,
            is_reported,
            since: record.since,
            last_used,
        }
    }

    /// Whether a report is conclusive about the use of a draining replica: it was received after
    /// the grace time for requests in transit, its owner accepts no new ones, and no requests of an
    /// earlier owner are running.
    fn is_drain_report(
        &self,
        since: MonotonicTime,
        model: &ModelName,
        latest: Option<&ReceivedReport>,
    ) -> bool {
        let grace_end = since + self.placement.drain_grace;
        latest.is_some_and(|latest| {
            MonotonicTime::between(self.start, latest.received) >= grace_end
                && latest.report.draining.contains(model)
                && latest.report.external_running == 0
        })
    }
}

/// Requests in use, and when the last one ended, from a report that was received at `reported_at`;
/// a replica counts as used when it was first seen.
fn sum_usage<'u>(
    usage: impl Iterator<Item = &'u ModelUsage>,
    reported_at: MonotonicTime,
    first_seen: MonotonicTime,
) -> (u32, MonotonicTime) {
    let fold = |(in_use, last): (u32, MonotonicTime), usage: &ModelUsage| {
        let idle = Duration::from_millis(usage.idle_ms);
        let ended = reported_at.as_micros().saturating_sub(idle.as_micros() as u64);
        (in_use + usage.in_use, last.max(MonotonicTime::from_micros(ended)))
    };
    usage.fold((0, first_seen), fold)
}

/// The model that an open order loads and that the engine's state doesn't show yet.
fn ordered_load(action: &OrderAction, state: &EngineState) -> Option<ModelState> {
    match action {
        OrderAction::LoadModel { model, version, memory_mib } if state.find(model).is_none() => {
            Some(ModelState {
                model: model.clone(),
                version: *version,
                phase: ModelPhase::Loading,
                memory_mib: *memory_mib,
                adapters: Vec::new(),
            })
        }
        _ => None,
    }
}

/// Shows open orders as executed, so that they aren't planned again.
fn apply_orders(model_state: &mut ModelState, ordered: &[&OrderAction]) {
    for action in ordered {
        match action {
            OrderAction::UnloadModel { model, version }
                if *model == model_state.model && *version == model_state.version =>
            {
                model_state.phase = ModelPhase::Unloading;
            }
            OrderAction::LoadAdapter { model, adapter, memory_mib }
                if *model == model_state.model
                    && model_state.adapters.iter().all(|state| &state.adapter != adapter) =>
            {
                model_state.adapters.push(AdapterState {
                    adapter: adapter.clone(),
                    phase: ModelPhase::Loading,
                    memory_mib: *memory_mib,
                });
            }
            OrderAction::UnloadAdapter { model, adapter } if *model == model_state.model => {
                let adapters = model_state.adapters.iter_mut();
                for state in adapters.filter(|state| &state.adapter == adapter) {
                    state.phase = ModelPhase::Unloading;
                }
            }
            _ => {}
        }
    }
}

/// Whether an order loads an adapter of a model that the engine's state doesn't show.
fn is_adapter_without_model(action: &OrderAction, state: &EngineState) -> bool {
    matches!(action, OrderAction::LoadAdapter { model, .. } if state.find(model).is_none())
}
