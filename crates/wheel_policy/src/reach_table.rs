//! Which upstreams and data centres can't be reached from here.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

/// How long an upstream that couldn't be reached is avoided at first; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Upstreams of one data centre that fail in a row, none answering between, before all of it is avoided.
const CENTRE_FAILURES: usize = 2;
/// How long a data centre is avoided before one request tries it again.
const CENTRE_PAUSE: Duration = Duration::from_millis(500);

/// Learns from connections that couldn't be opened.
///
/// A cut link shows as timeouts of whatever is tried first. Without this each request would try several
/// upstreams behind the cut, and spend its time on timeouts.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    upstreams: BTreeMap<EngineId, Pause>,
    centres: BTreeMap<Arc<str>, CentreReach>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: MonotonicTime,
    length: Duration,
}

#[derive(Clone, Debug, Default)]
struct CentreReach {
    failed: BTreeSet<EngineId>,
    until: MonotonicTime,
}

impl ReachTable {
    /// Notes that an upstream couldn't be reached.
    pub fn note_failure(&mut self, now: MonotonicTime, upstream: &EngineId, centre: &Arc<str>) {
        let before = self.upstreams.get(upstream).map(|pause| pause.length * 2);
        let length = before.unwrap_or(FIRST_PAUSE).min(LONGEST_PAUSE);
        self.upstreams.insert(upstream.clone(), Pause { until: now + length, length });
        let reach = self.centres.entry(Arc::clone(centre)).or_default();
        reach.failed.insert(upstream.clone());
        if reach.failed.len() >= CENTRE_FAILURES {
            reach.until = now + CENTRE_PAUSE;
        }
    }

    /// Notes that an upstream was reached.
    pub fn note_success(&mut self, upstream: &EngineId, centre: &Arc<str>) {
        self.upstreams.remove(upstream);
        self.centres.remove(centre);
    }

    /// Whether an upstream had better be avoided.
    pub fn is_avoided(&self, now: MonotonicTime, upstream: &EngineId, centre: &str) -> bool {
        let is_paused = self.upstreams.get(upstream).is_some_and(|pause| now < pause.until);
        let is_cut = self.centres.get(centre).is_some_and(|reach| now < reach.until);
        is_paused || is_cut
    }

    /// Lets one request try a data centre whose pause is over: others keep away until it has an answer.
    pub fn begin_probe(&mut self, now: MonotonicTime, centre: &str) {
        if let Some(reach) = self.centres.get_mut(centre)
            && reach.failed.len() >= CENTRE_FAILURES
            && now >= reach.until
        {
            reach.until = now + CENTRE_PAUSE;
        }
    }

    /// Forgets upstreams that aren't there any more.
    pub fn retain(&mut self, is_there: impl Fn(&EngineId) -> bool) {
        self.upstreams.retain(|upstream, _| is_there(upstream));
        for reach in self.centres.values_mut() {
            reach.failed.retain(&is_there);
        }
    }
}
