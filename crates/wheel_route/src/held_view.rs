//! A view that is kept up to date by changes.

use std::collections::BTreeMap;

use crate::{
    EngineId, EngineInfo, EngineSpeed, FleetView, OpenRequestCount, ViewStamp, ViewUpdate,
};

/// What a view holds of an upstream beside its description.
#[derive(Clone, Copy, Debug)]
struct HeldLoad {
    active: u32,
    tokens: u64,
    speed_percent: u16,
}

impl Default for HeldLoad {
    fn default() -> Self {
        Self { active: 0, tokens: 0, speed_percent: EngineSpeed::USUAL_PERCENT }
    }
}

/// The last view received from one instance.
#[derive(Clone, Debug, Default)]
pub struct HeldView {
    stamp: ViewStamp,
    /// The upstreams in the order of their ids, with their load.
    entries: Vec<(EngineInfo, HeldLoad)>,
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
        let mut entries: BTreeMap<EngineId, (EngineInfo, HeldLoad)> =
            kept.into_iter().map(|entry| (entry.0.id.clone(), entry)).collect();
        for id in &update.removed {
            entries.remove(id);
        }
        for info in update.engines {
            let load = entries.get(&info.id).map(|(_, load)| *load).unwrap_or_default();
            entries.insert(info.id.clone(), (info, load));
        }
        let mut entries: Vec<_> = entries.into_values().collect();
        for (position, models) in update.models {
            entries.get_mut(position as usize)?.0.models = models;
        }
        for count in &update.open_requests {
            let load = &mut entries.get_mut(count.position as usize)?.1;
            (load.active, load.tokens) = (count.active, count.tokens);
        }
        for speed in &update.speeds {
            entries.get_mut(speed.position as usize)?.1.speed_percent = speed.percent;
        }
        let listed = entries.iter().filter(|(_, load)| load.active > 0);
        let listed = listed.map(|(info, load)| OpenRequestCount {
            engine: info.id.clone(),
            active: load.active,
            tokens: load.tokens,
        });
        let unusual =
            entries.iter().filter(|(_, load)| load.speed_percent != EngineSpeed::USUAL_PERCENT);
        let speeds = unusual.map(|(info, load)| EngineSpeed {
            engine: info.id.clone(),
            percent: load.speed_percent,
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
            speeds: speeds.collect(),
            rates: update.rates,
        };
        *self = Self { stamp: update.stamp, entries };
        Some(view)
    }
}
