//! An ingress instance's part of the limits that upstreams name.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use wheel_route::{EngineId, LimitDemand, LimitGrant, LimitReport, UpstreamLimit};
use wheel_types::MonotonicTime;

use crate::{LimitTable, SeededRandom};

/// Time without a control instance that can give out permits, after which this instance uses an
/// equal part of the limit by itself.
const ALONE_AGE: Duration = Duration::from_secs(2);
/// The share of an upstream's limit that all instances use which are on their own.
const ALONE_SHARE: f64 = 0.5;
/// Time until a permit arrives that is there: two syncs.
const GRANT_DELAY: Duration = Duration::from_millis(400);

/// Permits to send to one upstream, and the requests that wait for them.
#[derive(Clone, Debug, Default)]
struct LimitStock {
    /// When each permit lapses.
    ends: VecDeque<MonotonicTime>,
    /// Requests that no other upstream can serve, by rank.
    waiting: BTreeMap<u8, u32>,
    /// Such requests in the whole fleet.
    fleet_waiting: BTreeMap<u8, u32>,
    /// The part of a permit that has come up while this instance is on its own.
    alone: Option<(f64, MonotonicTime)>,
}

/// Decides which requests of an ingress instance may go to upstreams that have named a limit, which
/// holds for all instances together.
///
/// Permits are given out by the leader of the control instances, as this one asks for them, and
/// lapse soon. Without any, requests go elsewhere or wait. While no leader is known, each instance
/// has a part that doesn't add up to more than the upstream bears beside those that have one.
#[derive(Clone, Debug)]
pub struct LimitShare {
    random: SeededRandom,
    table: LimitTable,
    stocks: BTreeMap<EngineId, LimitStock>,
    /// Upstreams to which requests would have gone since the last sync.
    missed: BTreeSet<EngineId>,
    /// The last reply of a control instance that knows a leader.
    led: Option<MonotonicTime>,
    instances: u32,
}

impl LimitShare {
    /// Creates a share without knowledge. Instances need different seeds.
    pub fn open(seed: u64) -> Self {
        Self {
            random: SeededRandom::new(seed),
            table: LimitTable::default(),
            stocks: BTreeMap::new(),
            missed: BTreeSet::new(),
            led: None,
            instances: 0,
        }
    }

    /// Records what an answer to this instance said; see [`LimitTable::record`].
    pub fn record(
        &mut self,
        engine: &EngineId,
        rate: Option<f64>,
        times: (MonotonicTime, MonotonicTime),
    ) -> bool {
        self.table.record(engine, rate, times)
    }

    /// Takes over what the fleet knows, as of a reply of a control instance.
    pub fn merge(&mut self, now: MonotonicTime, limits: &[UpstreamLimit], instances: u32) {
        self.instances = instances;
        for limit in limits {
            self.table.merge(now, &limit.report);
            let stock = self.stocks.entry(limit.report.engine.clone()).or_default();
            stock.fleet_waiting = limit.waiting.iter().copied().collect();
        }
    }

    /// Takes permits. `is_led` tells whether the control instance knows a leader.
    pub fn receive(&mut self, now: MonotonicTime, grants: &[LimitGrant], is_led: bool) {
        if is_led {
            self.led = Some(now);
            self.stocks.values_mut().for_each(|stock| stock.alone = None);
        }
        for grant in grants {
            let end = now + Duration::from_millis(grant.life_ms);
            let stock = self.stocks.entry(grant.engine.clone()).or_default();
            stock.ends.extend((0..grant.count).map(|_| end));
        }
    }

    /// How long a request of `rank` has to wait until it may be sent to the upstream, as far as can
    /// be told; `None` if it may be sent now.
    pub fn wait(&mut self, now: MonotonicTime, engine: &EngineId, rank: u8) -> Option<Duration> {
        let rate = self.table.rate(engine)?;
        let is_alone = self.is_alone(now);
        let part = self.alone_rate(rate);
        let stock = self.stocks.entry(engine.clone()).or_default();
        if is_alone {
            // Begun at random, so that small parts of many instances don't all come up at the end.
            let begun = || (self.random.next_unit(), now);
            stock.alone = Some(stock.alone.unwrap_or_else(begun));
        }
        stock.update(now, part);
        if stock.free_for(rank) > 0 {
            return None;
        }
        let own = stock.waiting.range(..=rank).map(|(_, count)| *count).sum();
        let (rate, ahead) = match is_alone {
            true => (part, own),
            false => {
                let fleet = stock.fleet_waiting.range(..=rank).map(|(_, count)| *count).sum();
                (rate, u32::max(own, fleet))
            }
        };
        Some(GRANT_DELAY + Duration::from_secs_f64(f64::from(ahead) / rate))
    }

    /// Uses a permit for a request of `rank`; false if the upstream has a limit and there is
    /// none left by more urgent requests.
    pub fn take(&mut self, now: MonotonicTime, engine: &EngineId, rank: u8) -> bool {
        if self.wait(now, engine, rank).is_some() {
            return false;
        }
        if self.table.rate(engine).is_some()
            && let Some(stock) = self.stocks.get_mut(engine)
        {
            stock.ends.pop_front();
        }
        true
    }

    /// Records that a request went elsewhere which could have gone to this upstream.
    pub fn record_missed(&mut self, engine: &EngineId) {
        self.missed.insert(engine.clone());
    }

    /// Adjusts the number of requests of `rank` that wait for the upstream. Returns how many wait
    /// there now.
    pub fn count_waiting(&mut self, engine: &EngineId, rank: u8, change: i32) -> u32 {
        let stock = self.stocks.entry(engine.clone()).or_default();
        let count = stock.waiting.entry(rank).or_default();
        *count = count.saturating_add_signed(change);
        stock.waiting.retain(|_, count| *count > 0);
        stock.waiting.values().sum()
    }

    /// What to ask the control instance for.
    pub fn demand(&mut self, now: MonotonicTime) -> Vec<LimitDemand> {
        let missed = std::mem::take(&mut self.missed);
        let mut demand = Vec::new();
        for engine in self.table.limited() {
            let stock = self.stocks.entry(engine.clone()).or_default();
            stock.drop_lapsed(now);
            let mut held = stock.ends.len() as u32;
            for (rank, count) in &stock.waiting {
                let lacking = count.saturating_sub(held);
                held = held.saturating_sub(*count);
                if lacking > 0 {
                    demand.push(LimitDemand {
                        engine: engine.clone(),
                        rank: *rank,
                        count: lacking,
                    });
                }
            }
            if held == 0 && missed.contains(engine) {
                let rank = LimitDemand::SPARE_RANK;
                demand.push(LimitDemand { engine: engine.clone(), rank, count: 1 });
            }
        }
        demand
    }

    /// What this instance knows of limits, for the control instance.
    pub fn reports(&self, now: MonotonicTime) -> Vec<LimitReport> {
        self.table.reports(now)
    }

    /// Drops the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.table.retain(&keep);
        self.stocks.retain(|engine, stock| keep(engine) || !stock.waiting.is_empty());
    }

    fn is_alone(&self, now: MonotonicTime) -> bool {
        self.led.is_none_or(|led| now.since(led) > ALONE_AGE)
    }

    /// The part of a rate that this instance has while it is on its own.
    fn alone_rate(&self, rate: f64) -> f64 {
        rate * ALONE_SHARE / f64::from(self.instances.max(1))
    }
}

impl LimitStock {
    fn drop_lapsed(&mut self, now: MonotonicTime) {
        self.ends.retain(|end| now < *end);
    }

    /// Drops what has lapsed, and adds what comes up at `alone_rate`.
    fn update(&mut self, now: MonotonicTime, alone_rate: f64) {
        self.drop_lapsed(now);
        let Some((level, since)) = self.alone else { return };
        let level = level + now.since(since).as_secs_f64() * alone_rate;
        let is_due = level >= 1.0 && self.ends.is_empty();
        if is_due {
            self.ends.push_back(now + ALONE_AGE);
        }
        self.alone = Some((if is_due { 0.0 } else { level.min(1.0) }, now));
    }

    /// Permits that no more urgent request waits for.
    fn free_for(&self, rank: u8) -> u32 {
        (self.ends.len() as u32).saturating_sub(self.waiting_before(rank))
    }

    /// Waiting requests that are more urgent than `rank`.
    fn waiting_before(&self, rank: u8) -> u32 {
        self.waiting.range(..rank).map(|(_, count)| *count).sum()
    }
}
