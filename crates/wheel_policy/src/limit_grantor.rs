//! Gives out the requests that upstreams with a limit take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use wheel_route::{EngineId, LimitDemand, LimitGrant};
use wheel_types::MonotonicTime;

/// How long a permit that was given out may be used.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Time whose permits are kept for instances that haven't asked yet, and their least number.
const BURST_TIME: f64 = 0.5;
const MIN_BURST: f64 = 2.0;

/// The permits for one upstream that may be given out.
#[derive(Clone, Copy, Debug)]
struct GrantBucket {
    level: f64,
    updated: MonotonicTime,
}

/// Divides the limits of upstreams between instances: at the leader from the rate that each
/// upstream named, at any other control instance from what the leader gave it.
///
/// In any time, no more is given out than the rate times that time and a burst. Requests of a more
/// urgent rank go first, also those of instances that haven't asked again yet.
#[derive(Clone, Debug, Default)]
pub struct LimitGrantor {
    buckets: BTreeMap<EngineId, GrantBucket>,
    /// Permits from the leader, with their ends.
    received: BTreeMap<EngineId, VecDeque<MonotonicTime>>,
}

impl LimitGrantor {
    /// Takes permits from the leader.
    pub fn receive(&mut self, now: MonotonicTime, grants: &[LimitGrant]) {
        for grant in grants {
            let end = now + Duration::from_millis(grant.life_ms);
            let ends = self.received.entry(grant.engine.clone()).or_default();
            ends.extend((0..grant.count).map(|_| end));
        }
        self.drop_lapsed(now);
    }

    /// The permits from the leader that are left.
    pub fn received(&self, engine: &EngineId) -> u32 {
        self.received.get(engine).map_or(0, |ends| ends.len() as u32)
    }

    /// Gives an instance what it wants of an upstream that takes `rate` requests per second.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        rate: f64,
        wants: &[LimitDemand],
        others: &[LimitDemand],
    ) -> Option<LimitGrant> {
        let engine = &wants.first()?.engine;
        let burst = (rate * BURST_TIME).max(MIN_BURST);
        let empty = GrantBucket { level: 0.0, updated: now };
        let bucket = self.buckets.entry(engine.clone()).or_insert(empty);
        let passed = now.since(bucket.updated).as_secs_f64();
        bucket.level = (bucket.level + passed * rate).min(burst);
        bucket.updated = now;
        let count = share_of(bucket.level as u32, wants, others);
        bucket.level -= f64::from(count);
        let life_ms = GRANT_LIFETIME.as_millis() as u64;
        (count > 0).then(|| LimitGrant { engine: engine.clone(), count, life_ms })
    }

    /// Passes on to an instance what the leader gave for an upstream.
    pub fn pass_on(
        &mut self,
        now: MonotonicTime,
        wants: &[LimitDemand],
        others: &[LimitDemand],
    ) -> Option<LimitGrant> {
        self.drop_lapsed(now);
        let engine = &wants.first()?.engine;
        let ends = self.received.get_mut(engine)?;
        let count = share_of(ends.len() as u32, wants, others);
        let first_end = *ends.front()?;
        ends.drain(..count as usize);
        let life_ms = first_end.since(now).as_millis() as u64;
        (count > 0).then(|| LimitGrant { engine: engine.clone(), count, life_ms })
    }

    fn drop_lapsed(&mut self, now: MonotonicTime) {
        for ends in self.received.values_mut() {
            ends.retain(|end| now < *end);
        }
        self.received.retain(|_, ends| !ends.is_empty());
    }

    /// Drops the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.buckets.retain(|engine, _| keep(engine));
    }
}

/// How many of the `available` permits an instance gets. What more urgent requests of `others`
/// want is left for them.
fn share_of(available: u32, wants: &[LimitDemand], others: &[LimitDemand]) -> u32 {
    let mut wants: Vec<&LimitDemand> = wants.iter().collect();
    wants.sort_by_key(|want| want.rank);
    let mut given = 0;
    for want in wants {
        let more_urgent = others.iter().filter(|other| other.rank < want.rank);
        let reserved: u32 = more_urgent.map(|other| other.count).sum();
        given += want.count.min(available.saturating_sub(reserved).saturating_sub(given));
    }
    given
}
