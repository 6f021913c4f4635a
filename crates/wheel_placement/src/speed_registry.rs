//! The speeds of upstreams that this instance knows.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use spdlog::info;
use wheel_policy::SpeedLedger;
use wheel_route::{
    EngineId, EngineInfo, EngineSpeed, RateReport, ServiceRates, SpeedReport, SyncRequest,
};
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;

/// Time between two evaluations of the measurements; about that between two syncs.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Sums up the measurements of the instances below, and what they lead to.
#[derive(Debug, Default)]
pub(crate) struct SpeedRegistry {
    ledger: SpeedLedger,
    published: (Vec<EngineSpeed>, Vec<ServiceRates>),
    updated: Option<MonotonicTime>,
}

impl SpeedRegistry {
    /// Records the measurements of an instance below.
    pub(crate) fn record(&mut self, request: &SyncRequest) {
        self.ledger.record(boot_now(), &request.speeds, &request.rates);
    }

    /// What was recorded since the last call, for the leader.
    pub(crate) fn take_reports(&mut self) -> (Vec<SpeedReport>, Vec<RateReport>) {
        self.ledger.take_reports()
    }

    /// Speeds and rates by the measurements of the instances below. Upstreams that aren't listed are
    /// forgotten.
    pub(crate) fn publish(
        &mut self,
        listed: &[EngineInfo],
    ) -> (Vec<EngineSpeed>, Vec<ServiceRates>) {
        let now = boot_now();
        if self.updated.is_none_or(|updated| now.since(updated) >= UPDATE_INTERVAL) {
            self.updated = Some(now);
            let listed: HashSet<&EngineId> = listed.iter().map(|info| &info.id).collect();
            self.ledger.retain(|id| listed.contains(id));
            self.ledger.discard_reports();
            let published = self.ledger.publish(now);
            record_changes(&self.published.0, &published.0);
            self.published = published;
        }
        self.published.clone()
    }
}

/// Logs and counts the upstreams that are listed now, or aren't any more.
fn record_changes(before: &[EngineSpeed], after: &[EngineSpeed]) {
    let names = |speeds: &[EngineSpeed]| -> HashSet<Arc<str>> {
        speeds.iter().map(|speed| Arc::clone(&speed.engine.name)).collect()
    };
    let (names_before, names_after) = (names(before), names(after));
    for speed in after {
        let name = &speed.engine.name;
        gauge!("wheel_engine_speed", "upstream" => name.to_string())
            .set(f64::from(speed.percent) / f64::from(EngineSpeed::USUAL_PERCENT));
        if !names_before.contains(name) {
            info!("engine_speed", kv: { upstream = name.to_string(), percent = speed.percent });
        }
    }
    for name in names_before.difference(&names_after) {
        gauge!("wheel_engine_speed", "upstream" => name.to_string()).set(1.0);
        let percent = EngineSpeed::USUAL_PERCENT;
        info!("engine_speed", kv: { upstream = name.to_string(), percent });
    }
}
