//! Gives out amounts of what all instances together may use.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use wheel_types::MonotonicTime;

use crate::{AmountBatch, AmountStock};

/// How one limit is given out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantPlan {
    /// Units per second.
    pub rate: f64,
    /// Units that are kept for instances that haven't asked yet.
    pub burst: f64,
    /// Units by which a request that is larger than what is left may overdraw.
    pub overdraft: f64,
    /// How long units that were given out may be used.
    pub life: Duration,
    /// Time after the start of a bucket in which nothing comes up: another instance may still give
    /// out units, and overdraw its bucket.
    pub start_pause: Duration,
    /// The share of the rate that less urgent requests may have while more urgent ones wait.
    pub lower_share: f64,
}

/// Units that an instance asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AmountDemand {
    /// The rank of the waiting requests; [`AmountDemand::SPARE_RANK`] if none waits.
    pub rank: u8,
    /// Units.
    pub amount: u64,
    /// Units that are of use only together.
    pub chunk: u64,
    /// How long the first request has waited.
    pub waited: Duration,
}

impl AmountDemand {
    /// The rank of demand for which no request waits.
    pub const SPARE_RANK: u8 = u8::MAX;

    /// Whether this demand has to be met before `other`.
    fn precedes(&self, other: &Self) -> bool {
        let order = self.rank.cmp(&other.rank).then(other.waited.cmp(&self.waited));
        order == Ordering::Less
    }

    /// The units of `others` that have to be met before this demand: all, and those of its rank.
    fn ahead(&self, others: &[Self]) -> (u64, u64) {
        let ahead = others.iter().filter(|other| other.precedes(self));
        ahead.fold((0, 0), |(all, same_rank), other| {
            let same = if other.rank == self.rank { other.amount } else { 0 };
            (all + other.amount, same_rank + same)
        })
    }
}

/// Units of one limit that may be given out; negative if overdrawn.
#[derive(Clone, Copy, Debug)]
struct GrantBucket {
    level: f64,
    updated: MonotonicTime,
}

/// What may be divided at one moment.
struct AmountFunds {
    /// Units that are left.
    available: u64,
    /// Units with which the chunk of one request may be met.
    most: u64,
    /// Units that less urgent requests may have while more urgent ones wait.
    lower: f64,
}

/// Divides limits between instances: at the leader from the rate of each, at any other control
/// instance from what the leader gave it.
///
/// In any time, no more is given out than the rate times that time, the burst and the overdraft.
#[derive(Clone, Debug)]
pub struct AmountGrantor<K> {
    buckets: BTreeMap<K, GrantBucket>,
    /// Units from the leader.
    received: BTreeMap<K, AmountStock>,
    /// Units that less urgent requests may have while more urgent ones wait.
    lower: BTreeMap<K, f64>,
}

impl<K> Default for AmountGrantor<K> {
    fn default() -> Self {
        Self { buckets: BTreeMap::new(), received: BTreeMap::new(), lower: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> AmountGrantor<K> {
    /// Takes units from the leader, a `lower_share` of them for less urgent requests.
    pub fn receive(&mut self, now: MonotonicTime, key: &K, batch: AmountBatch, lower_share: f64) {
        let stock = self.received.entry(key.clone()).or_default();
        stock.add(batch);
        let most = stock.total() as f64;
        if lower_share > 0.0 {
            let lower = self.lower.entry(key.clone()).or_default();
            *lower = (*lower + batch.amount as f64 * lower_share).min(most);
        }
        self.drop_lapsed(now);
    }

    /// The units from the leader that are left and lapse after `now`.
    pub fn received(&self, now: MonotonicTime, key: &K) -> u64 {
        self.received.get(key).map_or(0, |stock| stock.total_after(now))
    }

    /// Brings a bucket up to date; begins it if there is none. Returns its level.
    pub fn update(&mut self, now: MonotonicTime, key: &K, plan: &GrantPlan) -> f64 {
        let begun = || {
            let given_elsewhere = plan.rate * plan.start_pause.as_secs_f64() + plan.overdraft;
            GrantBucket { level: -given_elsewhere, updated: now }
        };
        let bucket = self.buckets.entry(key.clone()).or_insert_with(begun);
        let passed = now.since(bucket.updated).as_secs_f64();
        bucket.level = (bucket.level + passed * plan.rate).min(plan.burst);
        bucket.updated = bucket.updated.max(now);
        if plan.lower_share > 0.0 {
            let lower = self.lower.entry(key.clone()).or_default();
            *lower = (*lower + passed * plan.rate * plan.lower_share).min(plan.burst);
        }
        bucket.level
    }

    /// Gives an instance what it wants of a limit; returns the units.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        key: &K,
        plan: &GrantPlan,
        wants: &[AmountDemand],
        others: &[AmountDemand],
    ) -> u64 {
        let level = self.update(now, key, plan);
        let overdrawn = (level + plan.overdraft).max(0.0) as u64;
        let available = level.max(0.0) as u64;
        let lower = self.lower.get(key).copied().unwrap_or_default();
        let mut funds = AmountFunds { available, most: overdrawn, lower };
        let given = funds.divide(wants, others);
        self.set_lower(key, funds.lower);
        if let Some(bucket) = self.buckets.get_mut(key) {
            bucket.level -= given as f64;
        }
        given
    }

    /// Passes on to an instance what the leader gave of a limit, if it lapses after `now`.
    pub fn pass_on(
        &mut self,
        now: MonotonicTime,
        key: &K,
        wants: &[AmountDemand],
        others: &[AmountDemand],
    ) -> Vec<AmountBatch> {
        self.drop_lapsed(now);
        let Some(stock) = self.received.get_mut(key) else { return Vec::new() };
        let available = stock.total();
        let lower = self.lower.get(key).copied().unwrap_or_default();
        let mut funds = AmountFunds { available, most: available, lower };
        let batches = stock.take(funds.divide(wants, others));
        self.set_lower(key, funds.lower);
        batches
    }

    fn set_lower(&mut self, key: &K, left: f64) {
        if let Some(lower) = self.lower.get_mut(key) {
            *lower = left;
        }
    }

    fn drop_lapsed(&mut self, now: MonotonicTime) {
        self.received.values_mut().for_each(|stock| stock.drop_lapsed(now));
        self.received.retain(|_, stock| !stock.is_empty());
    }

    /// Drops the buckets, so that they begin anew.
    pub fn drop_buckets(&mut self) {
        self.buckets.clear();
    }

    /// Drops the buckets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.buckets.retain(|key, _| keep(key));
        self.lower.retain(|key, _| keep(key));
    }

    /// Drops what the leader gave of the limits for which `keep` is false.
    pub fn retain_received(&mut self, keep: impl Fn(&K) -> bool) {
        self.received.retain(|key, _| keep(key));
    }
}

impl AmountFunds {
    /// How many units an instance gets. What others want that comes first is left for them, except
    /// for the part of less urgent requests.
    fn divide(&mut self, wants: &[AmountDemand], others: &[AmountDemand]) -> u64 {
        let mut wants: Vec<&AmountDemand> = wants.iter().collect();
        wants.sort_by_key(|want| want.rank);
        let mut given: u64 = 0;
        for want in wants {
            let (ahead, ahead_in_rank) = want.ahead(others);
            let left = |funds: u64, ahead: u64| funds.saturating_sub(ahead).saturating_sub(given);
            let is_waiting = want.rank != AmountDemand::SPARE_RANK;
            let free = want.amount.min(left(self.available, ahead));
            let lower = (self.lower as u64).min(left(self.most, ahead_in_rank));
            given += match want.chunk {
                chunk if chunk <= free => free,
                chunk if is_waiting && chunk <= left(self.most, ahead) => chunk,
                chunk if is_waiting && chunk <= lower => {
                    self.lower -= chunk as f64;
                    chunk
                }
                _ => 0,
            };
        }
        given
    }
}
