//! A view that is kept up to date by changes.

use std::collections::BTreeMap;

use crate::{EngineId, EngineInfo, FleetView, OpenRequestCount, ViewStamp, ViewUpdate};

/// The last view received from one instance.
#[derive(Clone, Debug, Default)]
pub struct HeldView {
    stamp: ViewStamp,
    /// The upstreams in the order of their ids, with their open requests.
    entries: Vec<(EngineInfo, (u32, u64))>,
}

impl HeldView {
    /// The view that the next changes may build on; `None` before the first one.
    pub fn stamp(&self) -> Option<ViewStamp> {
        Some(self.stamp).filter(|stamp| stamp.revision > 0)
    }

    /// Applies changes and returns the view. Returns `None` and forgets what is held if they build
    /// on another view.
    pub fn apply(&mut self, update: ViewUpdate) -> Option<FleetView> {
        let held = std::mem::take(self);
        let is_next = update.base == 0
            || held.stamp == ViewStamp { source: update.stamp.source, revision: update.base };
        if !is_next {
            return None;
        }
        let kept = if update.base == 0 { Vec::new() } else { held.entries };
        let mut entries: BTreeMap<EngineId, (EngineInfo, (u32, u64))> =
            kept.into_iter().map(|entry| (entry.0.id.clone(), entry)).collect();
        for id in &update.removed {
            entries.remove(id);
        }
        for info in update.engines {
            let counts = entries.get(&info.id).map_or((0, 0), |(_, counts)| *counts);
            entries.insert(info.id.clone(), (info, counts));
        }
        let mut entries: Vec<_> = entries.into_values().collect();
        for (position, models) in update.models {
            entries.get_mut(position as usize)?.0.models = models;
        }
        for count in &update.open_requests {
            entries.get_mut(count.position as usize)?.1 = (count.active, count.tokens);
        }
        let listed = entries.iter().filter(|(_, (active, _))| *active > 0);
        let listed = listed.map(|(info, (active, tokens))| OpenRequestCount {
            engine: info.id.clone(),
            active: *active,
            tokens: *tokens,
        });
        let view = FleetView {
            age_ms: update.age_ms,
            engines: entries.iter().map(|(info, _)| info.clone()).collect(),
            open_requests: listed.chain(update.unlisted_requests).collect(),
            ingress_count: update.ingress_count,
            loading: update.loading,
            watched_parts: update.watched_parts,
            barred_parts: update.barred_parts,
            limits: update.limits,
        };
        *self = Self { stamp: update.stamp, entries };
        Some(view)
    }
}
