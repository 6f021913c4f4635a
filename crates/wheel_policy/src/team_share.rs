//! An ingress instance's part of one team's allowance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{AllowanceDemand, TeamAllowance};
use wheel_types::MonotonicTime;

use crate::use_rate::UseRate;
use crate::{
    AllowanceBounds, AllowancePlan, AllowanceQuery, AmountBatch, AmountStock, TakenUnits, UseId,
};

/// Time for whose expected use units are held: a sync, and the chance that its reply is late.
const STOCK_TIME: Duration = Duration::from_millis(300);
/// Time after which a control instance is asked again for a team of which it had nothing left.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// Time for which the fleet's wait counts.
const WAIT_LIFETIME: Duration = Duration::from_secs(1);
/// One in this many grants goes to the lowest rank that waits, so that it doesn't starve.
const LOWER_INTERVAL: u32 = 10;

/// A request that waits for units.
#[derive(Clone, Copy, Debug)]
struct WaitingUse {
    cost: u64,
    since: MonotonicTime,
}

/// The units that an ingress instance holds for one team, and the requests that wait for more.
#[derive(Clone, Debug)]
pub(crate) struct TeamShare {
    name: Arc<str>,
    allowance: TeamAllowance,
    version: u64,
    plan: AllowancePlan,
    stock: AmountStock,
    /// Units used beyond the grants, each until no window contains its use any more.
    debt: AmountStock,
    /// That time.
    debt_life: Duration,
    usage: UseRate,
    waiting: BTreeMap<(u8, UseId), WaitingUse>,
    /// The fleet's waits by rank, and when they were received.
    waits: BTreeMap<u8, (MonotonicTime, Duration)>,
    /// When a control instance may be asked again for waiting requests, and for the stock.
    next_ask: MonotonicTime,
    next_spare: MonotonicTime,
    /// Units of requests that were refused since control instances fell silent.
    missed: u64,
    used: MonotonicTime,
    served: u32,
}

impl TeamShare {
    pub(crate) fn open(name: Arc<str>, query: &AllowanceQuery, bounds: &AllowanceBounds) -> Self {
        Self {
            name,
            allowance: query.allowance,
            version: query.version,
            plan: AllowancePlan::new(&query.allowance, bounds),
            stock: AmountStock::default(),
            debt: AmountStock::default(),
            debt_life: bounds.advance_pause(),
            usage: UseRate::default(),
            waiting: BTreeMap::new(),
            waits: BTreeMap::new(),
            next_ask: MonotonicTime::default(),
            next_spare: MonotonicTime::default(),
            missed: 0,
            used: MonotonicTime::default(),
            served: 0,
        }
    }

    /// Takes over the allowance of a newer configuration.
    pub(crate) fn update(
        &mut self,
        now: MonotonicTime,
        query: &AllowanceQuery,
        bounds: &AllowanceBounds,
    ) {
        self.used = now;
        if query.version > self.version {
            self.version = query.version;
            if query.allowance != self.allowance {
                self.allowance = query.allowance;
                self.plan = AllowancePlan::new(&query.allowance, bounds);
            }
        }
    }

    /// Whether a control instance may be asked for requests that wait, or for an advance of which
    /// less than half is left.
    pub(crate) fn may_ask(&self, now: MonotonicTime, advance_share: f64) -> bool {
        let is_spent = self.debt.total() as f64 * 2.0 > self.plan.advance * advance_share;
        !self.waiting.is_empty() && now >= self.next_ask
            || !self.debt.is_empty() && is_spent && now >= self.next_spare
    }

    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Takes units for a request that no other one precedes.
    pub(crate) fn take_at_once(
        &mut self,
        now: MonotonicTime,
        query: &AllowanceQuery,
        advance_share: f64,
    ) -> Option<TakenUnits> {
        let is_preceded = self.waiting.keys().next().is_some_and(|(rank, _)| *rank <= query.rank);
        if is_preceded { None } else { self.take(now, query.cost, advance_share) }
    }

    fn take(&mut self, now: MonotonicTime, cost: u64, advance_share: f64) -> Option<TakenUnits> {
        self.stock.drop_lapsed(now);
        let advance = cost.saturating_sub(self.stock.total());
        let most = (self.plan.advance * advance_share) as u64;
        self.debt.drop_lapsed(now);
        if advance > most.saturating_sub(self.debt.total()) {
            return None;
        }
        self.debt.add(AmountBatch { amount: advance, end: now + self.debt_life });
        self.usage.record(now, cost);
        let batches = self.stock.take(cost - advance);
        Some(TakenUnits { team: Arc::clone(&self.name), cost, taken: now, batches, advance })
    }

    pub(crate) fn begin_wait(&mut self, now: MonotonicTime, id: UseId, query: &AllowanceQuery) {
        let waiting = WaitingUse { cost: query.cost, since: now };
        self.waiting.insert((query.rank, id), waiting);
    }

    /// Ends a wait. Returns the rank and the cost of the request.
    pub(crate) fn end_wait(&mut self, id: UseId) -> Option<(u8, u64)> {
        let key = self.waiting.keys().find(|(_, known)| *known == id).copied()?;
        self.waiting.remove(&key).map(|waiting| (key.0, waiting.cost))
    }

    /// Records a request that was refused because no control instance replies. It is asked for, so
    /// that a reply is noticed.
    pub(crate) fn record_missed(&mut self, cost: u64) {
        // No more can ever be granted.
        self.missed = cost.min(self.plan.largest());
    }

    /// How long a request of this rank and cost would have to wait: the fleet's wait, or that of the
    /// requests which go before it here, if that is longer.
    pub(crate) fn expected_wait(
        &self,
        now: MonotonicTime,
        rank: u8,
        cost: u64,
        advance_share: f64,
    ) -> Duration {
        let own_advance = (self.plan.advance * advance_share) as u64;
        if cost > self.plan.largest() + own_advance {
            return Duration::MAX;
        }
        let known = self.waits.range(..=rank).next_back();
        let fleet = known.map_or(Duration::ZERO, |(_, (received, wait))| {
            let passed = now.since(*received);
            if passed < WAIT_LIFETIME { wait.saturating_sub(passed) } else { Duration::ZERO }
        });
        let ahead = self.waiting.range(..=(rank, UseId(u64::MAX)));
        let own: u64 = ahead.map(|(_, waiting)| waiting.cost).sum();
        fleet.max(Duration::from_secs_f64(own as f64 / self.plan.grant.rate))
    }

    pub(crate) fn refund(&mut self, now: MonotonicTime, taken: TakenUnits) {
        // Only its own advance, as far as that is still open: another one was used.
        self.debt.remove(taken.advance, taken.taken + self.debt_life);
        for batch in taken.batches {
            self.stock.add(batch);
        }
        self.stock.drop_lapsed(now);
    }

    /// Takes units that were granted. They first repay what was used beyond earlier ones.
    pub(crate) fn receive(&mut self, now: MonotonicTime, batch: AmountBatch) {
        self.debt.drop_lapsed(now);
        let repaid = self.debt.total().min(batch.amount);
        self.debt.take(repaid);
        self.stock.add(AmountBatch { amount: batch.amount - repaid, ..batch });
        self.stock.drop_lapsed(now);
    }

    pub(crate) fn set_wait(&mut self, now: MonotonicTime, rank: u8, wait: Duration) {
        self.waits.insert(rank, (now, wait));
    }

    /// Records that a control instance had nothing left for requests of `rank`.
    pub(crate) fn delay_ask(&mut self, now: MonotonicTime, rank: u8) {
        match rank {
            AllowanceDemand::SPARE_RANK => self.next_spare = now + ASK_PAUSE,
            _ => self.next_ask = now + ASK_PAUSE,
        }
    }

    /// The waiting requests that have their units now, by rank and arrival. A share of the grants
    /// goes to the lowest rank.
    pub(crate) fn serve(
        &mut self,
        now: MonotonicTime,
        advance_share: f64,
    ) -> Vec<(UseId, TakenUnits)> {
        let mut served = Vec::new();
        while let Some(key) = self.next_waiting() {
            let cost = self.waiting[&key].cost;
            let Some(taken) = self.take(now, cost, advance_share) else { break };
            self.waiting.remove(&key);
            self.served = self.served.wrapping_add(1);
            served.push((key.1, taken));
        }
        served
    }

    fn next_waiting(&self) -> Option<(u8, UseId)> {
        let (lowest, _) = *self.waiting.keys().next_back()?;
        let from = if self.served % LOWER_INTERVAL == LOWER_INTERVAL - 1 { lowest } else { 0 };
        self.waiting.range((from, UseId(0))..).next().map(|(key, _)| *key)
    }

    /// What to ask for: the units of waiting requests, what repays the advance, and those for the
    /// use until the next sync.
    pub(crate) fn demand(&mut self, now: MonotonicTime) -> Vec<AllowanceDemand> {
        if now < self.next_ask {
            return Vec::new();
        }
        self.stock.drop_lapsed(now);
        let mut held = self.stock.total();
        self.debt.drop_lapsed(now);
        let mut debt = self.debt.total();
        let mut demand: Vec<AllowanceDemand> = Vec::new();
        let mut previous = None;
        for ((rank, _), waiting) in &self.waiting {
            let lacking = waiting.cost.saturating_sub(held) + std::mem::take(&mut debt);
            held = held.saturating_sub(waiting.cost);
            match demand.last_mut().filter(|_| previous == Some(*rank)) {
                Some(last) => last.amount += lacking,
                None => demand.push(AllowanceDemand {
                    team: Arc::clone(&self.name),
                    rank: *rank,
                    amount: lacking,
                    // With the debt, a large request may lack more than can be granted at once.
                    chunk: lacking.min(self.plan.largest()),
                    waited_ms: now.since(waiting.since).as_millis() as u32,
                }),
            }
            previous = Some(*rank);
        }
        if now < self.next_spare {
            return demand;
        }
        let stock = self.usage.target(now, STOCK_TIME);
        // Small parts aren't worth a message.
        let lacking = if held * 2 < stock { stock - held } else { 0 };
        let spare = debt + lacking + std::mem::take(&mut self.missed);
        demand.push(AllowanceDemand {
            team: Arc::clone(&self.name),
            rank: AllowanceDemand::SPARE_RANK,
            amount: spare,
            chunk: 0,
            waited_ms: 0,
        });
        demand.retain(|want| want.amount > 0);
        demand
    }

    /// Whether the team has had no request for `lifetime`.
    pub(crate) fn is_idle(&self, now: MonotonicTime, lifetime: Duration) -> bool {
        self.waiting.is_empty() && now.since(self.used) > lifetime
    }
}
