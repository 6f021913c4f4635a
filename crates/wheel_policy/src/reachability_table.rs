//! Upstreams and data centres that can't be reached from this instance.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

/// How long an unreachable upstream is avoided at first; doubles with each failure up to the
/// maximum.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const MAX_PAUSE: Duration = Duration::from_millis(1_200);
/// Upstreams of one data centre that fail, with no success in between, before all of it is avoided.
const CENTRE_FAILURE_COUNT: usize = 2;
/// How long a data centre is avoided before one request probes it.
const CENTRE_PAUSE: Duration = Duration::from_millis(500);

/// Tracks connection failures and avoids unreachable upstreams and data centres for a while.
///
/// A cut link shows as timeouts. Without this table each request would try several upstreams behind
/// the cut and spend its time on timeouts.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTable {
    upstreams: BTreeMap<EngineId, UpstreamPause>,
    centres: BTreeMap<Arc<str>, CentreFailures>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamPause {
    until: MonotonicTime,
    length: Duration,
}

#[derive(Clone, Debug, Default)]
struct CentreFailures {
    failed: BTreeSet<EngineId>,
    until: MonotonicTime,
}

impl ReachabilityTable {
    /// Records that an upstream couldn't be reached.
    pub fn record_failure(&mut self, now: MonotonicTime, upstream: &EngineId, centre: &Arc<str>) {
        let before = self.upstreams.get(upstream).map(|pause| pause.length * 2);
        let length = before.unwrap_or(FIRST_PAUSE).min(MAX_PAUSE);
        self.upstreams.insert(upstream.clone(), UpstreamPause { until: now + length, length });
        let failures = self.centres.entry(Arc::clone(centre)).or_default();
        failures.failed.insert(upstream.clone());
        if failures.failed.len() >= CENTRE_FAILURE_COUNT {
            failures.until = now + CENTRE_PAUSE;
        }
    }

    /// Records that an upstream was reached.
    pub fn record_success(&mut self, upstream: &EngineId, centre: &Arc<str>) {
        self.upstreams.remove(upstream);
        self.centres.remove(centre);
    }

    /// Whether an upstream should be avoided now.
    pub fn is_avoided(&self, now: MonotonicTime, upstream: &EngineId, centre: &str) -> bool {
        let is_paused = self.upstreams.get(upstream).is_some_and(|pause| now < pause.until);
        let is_cut = self.centres.get(centre).is_some_and(|failures| now < failures.until);
        is_paused || is_cut
    }

    /// Marks a request as the probe of a data centre whose pause is over: other requests avoid the
    /// data centre for another pause or until the probe succeeds.
    pub fn begin_probe(&mut self, now: MonotonicTime, centre: &str) {
        if let Some(failures) = self.centres.get_mut(centre)
            && failures.failed.len() >= CENTRE_FAILURE_COUNT
            && now >= failures.until
        {
            failures.until = now + CENTRE_PAUSE;
        }
    }

    /// Removes upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.upstreams.retain(|upstream, _| is_known(upstream));
        for failures in self.centres.values_mut() {
            failures.failed.retain(&is_known);
        }
    }
}
