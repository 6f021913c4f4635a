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

use crate::HeardReport;
use crate::engine_clients::engines_of;
use crate::replica_tracks::{ReplicaKey, ReplicaTracks};

/// Joins the text, the ledger's accounts and the owners' reports.
pub(crate) struct FleetBuilder<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) centre: &'a CentreName,
    pub(crate) text: &'a ActiveManifest,
    pub(crate) ledger: &'a OrderLedger,
    pub(crate) reports: &'a HashMap<UpstreamName, HeardReport>,
    /// Where [`MonotonicTime`] begins.
    pub(crate) start: Instant,
    pub(crate) placement: &'a PlacementSettings,
}

impl FleetBuilder<'_> {
    /// Builds the view without the store's figures, and forgets tracks of replicas that are gone.
    pub(crate) fn build(&self, tracks: &mut ReplicaTracks) -> FleetView {
        let engines: Vec<EngineView> =
            engines_of(self.centre, self.text).map(|spec| self.engine_view(spec, tracks)).collect();
        let present: HashSet<ReplicaKey> = engines
            .iter()
            .flat_map(|engine| {
                engine.models.iter().map(|placed| ReplicaKey {
                    upstream: engine.upstream.clone(),
                    model: placed.model.clone(),
                })
            })
            .collect();
        tracks.retain(|key| present.contains(key));
        FleetView { engines, store_loads: 0, store_starts: 0, adapter_loads: 0 }
    }

    fn engine_view(&self, spec: &UpstreamSpec, tracks: &mut ReplicaTracks) -> EngineView {
        let state = self.ledger.account(&spec.name).and_then(|account| account.state.as_ref());
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
        let mut held = state.models.clone();
        held.iter_mut().for_each(|held| expect_orders(held, &ordered));
        held.extend(ordered.iter().filter_map(|action| loading_of(action, state)));
        let models =
            held.iter().map(|held| self.placed_model(spec, held, report, tracks)).collect();
        let reserved = ordered.iter().filter(|action| is_adapter_without_model(action, state));
        EngineView {
            memory_mib: spec.memory_mib.min(state.memory_mib),
            reserved_mib: reserved.map(|action| action.required_mib()).sum(),
            role: state.role,
            leaving: state.leaving || report.is_some_and(|heard| !heard.report.accepts_work()),
            models,
            memory_checkpoints: state.memory_checkpoints.clone(),
            disk_checkpoints: state.disk_checkpoints.clone(),
            ..unknown
        }
    }

    fn placed_model(
        &self,
        spec: &UpstreamSpec,
        held: &ModelState,
        heard: Option<&HeardReport>,
        tracks: &mut ReplicaTracks,
    ) -> PlacedModel {
        let key = ReplicaKey { upstream: spec.name.clone(), model: held.model.clone() };
        let track = tracks.note(self.now, key, held.phase);
        let usage = || heard.into_iter().flat_map(|heard| &heard.report.usage);
        let told_at =
            heard.map_or(self.now, |heard| MonotonicTime::between(self.start, heard.received));
        let of_model = |usage: &&ModelUsage| usage.model == held.model;
        let adapters = held.adapters.iter().map(|adapter| {
            let own = usage().filter(of_model);
            let own = own.filter(|usage| usage.adapter.as_ref() == Some(&adapter.adapter));
            let (in_use, last_used) = sum_usage(own, told_at, track.seen);
            PlacedAdapter {
                adapter: adapter.adapter.clone(),
                phase: adapter.phase,
                memory_mib: adapter.memory_mib,
                in_use,
                last_used,
            }
        });
        let (in_use, last_used) = sum_usage(usage().filter(of_model), told_at, track.seen);
        // A report from before the drain can't tell that nothing uses the replica any more.
        let is_outdated =
            track.draining.is_some_and(|since| !self.tells_of_drain(since, &held.model, heard));
        let in_use = in_use.max(u32::from(is_outdated));
        PlacedModel {
            model: held.model.clone(),
            version: held.version,
            phase: held.phase,
            source: track.source,
            memory_mib: held.memory_mib,
            adapters: adapters.collect(),
            in_use,
            draining: track.draining,
            since: track.since,
            last_used,
        }
    }

    /// Whether a report tells the use of a draining replica: made after requests arrived that were
    /// on their way, by an owner that takes no new ones, and without requests of an earlier owner.
    fn tells_of_drain(
        &self,
        since: MonotonicTime,
        model: &ModelName,
        heard: Option<&HeardReport>,
    ) -> bool {
        let quiet = since + self.placement.drain_grace;
        heard.is_some_and(|heard| {
            MonotonicTime::between(self.start, heard.received) >= quiet
                && heard.report.draining.contains(model)
                && heard.report.foreign == 0
        })
    }
}

/// Requests in use, and when the last one ended, from a report that came at `told_at`; a replica
/// counts as used when it was seen first.
fn sum_usage<'u>(
    usage: impl Iterator<Item = &'u ModelUsage>,
    told_at: MonotonicTime,
    seen: MonotonicTime,
) -> (u32, MonotonicTime) {
    let fold = |(in_use, last): (u32, MonotonicTime), usage: &ModelUsage| {
        let idle = Duration::from_millis(usage.idle_ms);
        let ended = told_at.as_micros().saturating_sub(idle.as_micros() as u64);
        (in_use + usage.in_use, last.max(MonotonicTime::from_micros(ended)))
    };
    usage.fold((0, seen), fold)
}

/// The model that an open order loads and that the engine doesn't show yet.
fn loading_of(action: &OrderAction, state: &EngineState) -> Option<ModelState> {
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

/// Shows open orders as carried out, so that they aren't planned once more.
fn expect_orders(held: &mut ModelState, ordered: &[&OrderAction]) {
    for action in ordered {
        match action {
            OrderAction::UnloadModel { model, version }
                if *model == held.model && *version == held.version =>
            {
                held.phase = ModelPhase::Unloading;
            }
            OrderAction::LoadAdapter { model, adapter, memory_mib }
                if *model == held.model
                    && held.adapters.iter().all(|state| &state.adapter != adapter) =>
            {
                held.adapters.push(AdapterState {
                    adapter: adapter.clone(),
                    phase: ModelPhase::Loading,
                    memory_mib: *memory_mib,
                });
            }
            OrderAction::UnloadAdapter { model, adapter } if *model == held.model => {
                let adapters = held.adapters.iter_mut();
                for state in adapters.filter(|state| &state.adapter == adapter) {
                    state.phase = ModelPhase::Unloading;
                }
            }
            _ => {}
        }
    }
}

/// An adapter that was ordered beside a model that the engine doesn't show.
fn is_adapter_without_model(action: &OrderAction, state: &EngineState) -> bool {
    matches!(action, OrderAction::LoadAdapter { model, .. } if state.find(model).is_none())
}
