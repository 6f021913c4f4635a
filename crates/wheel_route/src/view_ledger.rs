//! The views that an instance publishes, as changes.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::{
    EngineId, EngineInfo, EngineSpeed, FleetView, OpenRequestCount, PlacedCount, PlacedSpeed,
    ViewStamp, ViewUpdate,
};

/// Removed upstreams that are remembered. An instance whose view is older than the first of them
/// gets a whole one.
const MAX_REMOVED: usize = 1_024;

/// One upstream, with the revisions at which its parts changed last.
#[derive(Clone, Debug)]
struct LedgerEntry {
    info: EngineInfo,
    info_revision: u64,
    models_revision: u64,
    active: u32,
    tokens: u64,
    count_revision: u64,
    speed_percent: u16,
    speed_revision: u64,
}

/// Records at which revision each upstream changed, so that each instance gets what has changed
/// since the view that it holds.
///
/// The load that it answers: hundreds of instances hold a view of hundreds of upstreams and request
/// it several times a second, while few of the upstreams change between two requests.
///
/// Holds the last view, whatever the number of instances and the views that they hold.
#[derive(Clone, Debug)]
pub struct ViewLedger {
    source: u64,
    revision: u64,
    entries: BTreeMap<EngineId, LedgerEntry>,
    /// Removed upstreams with the revisions at which they were removed, the earliest first.
    removed: VecDeque<(EngineId, u64)>,
    /// The first revision since which all removed upstreams are remembered.
    horizon: u64,
    /// The last view's other parts; its upstreams are in `entries`.
    rest: FleetView,
}

impl ViewLedger {
    /// Creates a ledger without a view. `source` differs between all instances and starts.
    pub fn open(source: u64) -> Self {
        Self {
            source,
            revision: 0,
            entries: BTreeMap::new(),
            removed: VecDeque::new(),
            horizon: 0,
            rest: FleetView::default(),
        }
    }

    /// Replaces the view.
    pub fn publish(&mut self, view: FleetView) {
        self.revision += 1;
        let revision = self.revision;
        let listed: BTreeSet<&EngineId> = view.engines.iter().map(|info| &info.id).collect();
        let gone: Vec<EngineId> =
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            self.entries.remove(&id);
            self.removed.push_back((id, revision));
        }
        while self.removed.len() > MAX_REMOVED {
            self.horizon = self.removed.pop_front().map_or(0, |(_, removed)| removed);
        }
        let counts: BTreeMap<EngineId, (u32, u64)> = view
            .open_requests
            .iter()
            .map(|count| (count.engine.clone(), (count.active, count.tokens)))
            .collect();
        let unlisted = view.open_requests.iter().filter(|count| !listed.contains(&count.engine));
        let unlisted: Vec<OpenRequestCount> = unlisted.cloned().collect();
        let speeds: HashMap<&EngineId, u16> =
            view.speeds.iter().map(|speed| (&speed.engine, speed.percent)).collect();
        for info in view.engines {
            let speed_percent = speeds.get(&info.id).copied().unwrap_or(EngineSpeed::USUAL_PERCENT);
            let (active, tokens) = counts.get(&info.id).copied().unwrap_or_default();
            let entry = self.entries.entry(info.id.clone()).or_insert_with(|| LedgerEntry {
                info: info.clone(),
                info_revision: revision,
                models_revision: revision,
                active: 0,
                tokens: 0,
                count_revision: revision,
                speed_percent: EngineSpeed::USUAL_PERCENT,
                speed_revision: revision,
            });
            if !has_same_head(&entry.info, &info) {
                entry.info_revision = revision;
            }
            if entry.info.models != info.models {
                entry.models_revision = revision;
            }
            if (entry.active, entry.tokens) != (active, tokens) {
                entry.count_revision = revision;
            }
            if entry.speed_percent != speed_percent {
                entry.speed_revision = revision;
            }
            (entry.info, entry.active, entry.tokens) = (info, active, tokens);
            entry.speed_percent = speed_percent;
        }
        self.rest = FleetView {
            engines: Vec::new(),
            open_requests: unlisted,
            speeds: Vec::new(),
            rates: view.rates,
            loading: view.loading,
            watched_parts: view.watched_parts,
            barred_parts: view.barred_parts,
            limits: view.limits,
            age_ms: view.age_ms,
            ingress_count: view.ingress_count,
        };
    }

    /// The stamp of the last view; its revision is 0 before the first one.
    pub fn stamp(&self) -> ViewStamp {
        ViewStamp { source: self.source, revision: self.revision }
    }

    /// The changes since the view `held`; the whole view if that isn't one of this ledger.
    pub fn update_since(&self, held: Option<ViewStamp>) -> ViewUpdate {
        let base = held.filter(|held| {
            held.source == self.source
                && held.revision >= self.horizon
                && held.revision <= self.revision
        });
        let base = base.map_or(0, |held| held.revision);
        let placed = || self.entries.values().zip(0u32..);
        let engines = self.entries.values().filter(|entry| entry.info_revision > base);
        let models = placed()
            .filter(|(entry, _)| entry.models_revision > base && entry.info_revision <= base);
        let counts = placed().filter(|(entry, _)| entry.count_revision > base);
        let speeds = placed().filter(|(entry, _)| {
            let is_usual = entry.speed_percent == EngineSpeed::USUAL_PERCENT;
            entry.speed_revision > base && (base > 0 || !is_usual)
        });
        let removed = self.removed.iter().filter(|(_, removed)| base > 0 && *removed > base);
        let rest = &self.rest;
        ViewUpdate {
            stamp: self.stamp(),
            base,
            age_ms: rest.age_ms,
            ingress_count: rest.ingress_count,
            removed: removed.map(|(id, _)| id.clone()).collect(),
            engines: engines.map(|entry| entry.info.clone()).collect(),
            models: models.map(|(entry, position)| (position, entry.info.models.clone())).collect(),
            open_requests: counts
                .map(|(entry, position)| PlacedCount {
                    position,
                    active: entry.active,
                    tokens: entry.tokens,
                })
                .collect(),
            unlisted_requests: rest.open_requests.clone(),
            loading: rest.loading.clone(),
            watched_parts: rest.watched_parts.clone(),
            barred_parts: rest.barred_parts.clone(),
            limits: rest.limits.clone(),
            speeds: speeds
                .map(|(entry, position)| PlacedSpeed { position, percent: entry.speed_percent })
                .collect(),
            rates: rest.rates.clone(),
        }
    }
}

/// Whether two descriptions of an upstream differ in its loaded models at most.
fn has_same_head(left: &EngineInfo, right: &EngineInfo) -> bool {
    let head = |info: &EngineInfo| (info.slots, info.state, info.address);
    head(left) == head(right) && left.service == right.service && left.centre == right.centre
}
