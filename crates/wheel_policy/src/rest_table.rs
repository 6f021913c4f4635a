//! Upstreams that have asked not to be called for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

/// Tracks until when each upstream has asked this instance not to call it.
#[derive(Clone, Debug, Default)]
pub struct RestTable {
    ends: BTreeMap<EngineId, MonotonicTime>,
}

impl RestTable {
    /// Records that an upstream asks for `length` of rest from now on. Never makes an earlier rest
    /// end sooner: answers may overtake each other.
    pub fn record(&mut self, now: MonotonicTime, upstream: &EngineId, length: Duration) {
        self.ends.retain(|_, end| now < *end);
        let end = self.ends.entry(upstream.clone()).or_default();
        *end = (*end).max(now + length);
    }

    /// How much of an upstream's rest remains; `None` if it may be called.
    pub fn remaining(&self, now: MonotonicTime, upstream: &EngineId) -> Option<Duration> {
        let end = self.ends.get(upstream)?;
        (now < *end).then(|| end.since(now))
    }
}
