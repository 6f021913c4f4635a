//! Gives out the requests that upstreams with a limit take.

use std::time::Duration;

use wheel_route::{EngineId, LimitDemand, LimitGrant};
use wheel_types::MonotonicTime;

use crate::{AmountBatch, AmountDemand, AmountGrantor, GrantPlan};

/// How long a permit that was given out may be used.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Time whose permits are kept for instances that haven't asked yet, and their least number.
const BURST_TIME: f64 = 0.5;
const MIN_BURST: f64 = 2.0;

/// Divides the limits of upstreams between instances: at the leader from the rate that each
/// upstream named, at any other control instance from what the leader gave it.
///
/// In any time, no more is given out than the rate times that time and a burst. Requests of a more
/// urgent rank go first, also those of instances that haven't asked again yet.
#[derive(Clone, Debug, Default)]
pub struct LimitGrantor {
    amounts: AmountGrantor<EngineId>,
}

impl LimitGrantor {
    /// Takes permits from the leader.
    pub fn receive(&mut self, now: MonotonicTime, grants: &[LimitGrant]) {
        for grant in grants {
            let end = now + Duration::from_millis(grant.life_ms);
            let batch = AmountBatch { amount: u64::from(grant.count), end };
            self.amounts.receive(now, &grant.engine, batch, 0.0);
        }
    }

    /// The permits from the leader that are left.
    pub fn received(&self, engine: &EngineId) -> u32 {
        self.amounts.received(MonotonicTime::default(), engine) as u32
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
        let plan = plan_of(rate);
        let count =
            self.amounts.grant(now, engine, &plan, &amounts_of(wants), &amounts_of(others)) as u32;
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
        let engine = &wants.first()?.engine;
        let (wants, others) = (amounts_of(wants), amounts_of(others));
        let batches = self.amounts.pass_on(now, engine, &wants, &others);
        let life_ms = batches.first()?.end.since(now).as_millis() as u64;
        let count = batches.iter().map(|batch| batch.amount).sum::<u64>() as u32;
        Some(LimitGrant { engine: engine.clone(), count, life_ms })
    }

    /// Drops the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.amounts.retain(keep);
    }
}

fn plan_of(rate: f64) -> GrantPlan {
    GrantPlan {
        rate,
        burst: (rate * BURST_TIME).max(MIN_BURST),
        overdraft: 0.0,
        life: GRANT_LIFETIME,
        start_pause: Duration::ZERO,
        lower_share: 0.0,
    }
}

fn amounts_of(demand: &[LimitDemand]) -> Vec<AmountDemand> {
    let amount = |want: &LimitDemand| AmountDemand {
        rank: want.rank,
        amount: u64::from(want.count),
        chunk: 1,
        waited: Duration::ZERO,
    };
    demand.iter().map(amount).collect()
}
