//! Gives out teams' allowances at a control instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{
    AllowanceDemand, AllowanceGrant, AllowanceReply, AllowanceWait, TeamAllowance, TeamSpec,
};
use wheel_types::MonotonicTime;

use crate::use_rate::UseRate;
use crate::{
    AllowanceBounds, AllowancePlan, AmountBatch, AmountDemand, AmountGrantor, LEADER_PROOF_AGE,
};

/// Time for which the demand of an instance counts after it asked: it asks again within two syncs
/// while it still has any.
const DEMAND_LIFETIME: Duration = Duration::from_millis(500);
/// Time for whose expected use a control instance holds units: a sync with the leader, and the
/// chance that its reply is late.
const POOL_TIME: Duration = Duration::from_millis(300);
/// Time for which the leader's estimate of a wait counts.
const WAIT_LIFETIME: Duration = Duration::from_secs(1);
/// Shortest life with which units are passed on: a call between data centres on a busy machine.
const MIN_PASSED_LIFE: Duration = Duration::from_millis(50);
/// Time after which the leader is asked again for a team of which it had nothing left.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// A team at a control instance.
#[derive(Clone, Debug)]
struct GrantedTeam {
    allowance: TeamAllowance,
    plan: AllowancePlan,
    /// What instances below were given.
    usage: UseRate,
    /// The leader's estimates of the waits by rank, and when they were received.
    waits: BTreeMap<u8, (MonotonicTime, Duration)>,
    /// When the leader may be asked again for waiting requests, and for the pool.
    next_ask: MonotonicTime,
    next_spare: MonotonicTime,
}

/// What an instance below asked for.
#[derive(Clone, Debug)]
struct ChildDemand {
    demand: Vec<AllowanceDemand>,
    asked: MonotonicTime,
}

/// Divides teams' allowances between the instances that ask this control instance: those of each
/// team's rate at the leader, those from the leader elsewhere.
#[derive(Clone, Debug, Default)]
pub struct AllowanceGrantor {
    bounds: AllowanceBounds,
    teams: BTreeMap<Arc<str>, GrantedTeam>,
    amounts: AmountGrantor<Arc<str>>,
    children: BTreeMap<Arc<str>, ChildDemand>,
    /// The term in which this instance leads, if it does.
    term: Option<u64>,
}

impl AllowanceGrantor {
    /// Creates a grantor without teams.
    pub fn open(bounds: AllowanceBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Takes over the teams of the newest configuration.
    pub fn set_teams(&mut self, teams: &[Arc<TeamSpec>]) {
        let limited = teams.iter().filter(|team| team.allowance.is_limited());
        let mut known = std::mem::take(&mut self.teams);
        let entry = |team: &Arc<TeamSpec>| {
            let known = known.remove(&team.name).filter(|known| known.allowance == team.allowance);
            let begun = || GrantedTeam {
                allowance: team.allowance,
                plan: AllowancePlan::new(&team.allowance, &self.bounds),
                usage: UseRate::default(),
                waits: BTreeMap::new(),
                next_ask: MonotonicTime::default(),
                next_spare: MonotonicTime::default(),
            };
            (Arc::clone(&team.name), known.unwrap_or_else(begun))
        };
        self.teams = limited.map(entry).collect();
        self.amounts.retain(|name| self.teams.contains_key(name));
        self.amounts.retain_received(|name| self.teams.contains_key(name));
    }

    /// Whether any team is limited.
    pub fn is_needed(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Records in which term this instance leads the control instances, if it does. Each term begins
    /// with empty buckets.
    pub fn set_leading(&mut self, now: MonotonicTime, term: Option<u64>) {
        if self.term != term {
            self.amounts.drop_buckets();
        }
        self.term = term;
        if term.is_some() {
            for (name, team) in &self.teams {
                self.amounts.update(now, name, &team.plan.grant);
            }
        }
    }

    /// Whether this instance leads.
    pub fn is_leading(&self) -> bool {
        self.term.is_some()
    }

    /// Records what an instance asks for.
    pub fn record(&mut self, now: MonotonicTime, instance: &Arc<str>, demand: &[AllowanceDemand]) {
        self.children.retain(|_, child| now.since(child.asked) < DEMAND_LIFETIME);
        let known = demand.iter().filter(|want| self.teams.contains_key(&want.team));
        let demand: Vec<AllowanceDemand> = known.cloned().collect();
        match demand.is_empty() {
            true => drop(self.children.remove(instance)),
            false => {
                drop(
                    self.children.insert(Arc::clone(instance), ChildDemand { demand, asked: now }),
                );
            }
        }
    }

    /// What an instance gets of what it asked for, at an instance whose proof of its leadership is
    /// of the given age.
    pub fn grant(
        &mut self,
        now: MonotonicTime,
        instance: &str,
        proof_age: Option<Duration>,
    ) -> AllowanceReply {
        let may_grant = self.term.is_some() && proof_age.is_some_and(|age| age <= LEADER_PROOF_AGE);
        let Some(child) = self.children.get(instance) else { return AllowanceReply::default() };
        let child_demand = child.demand.clone();
        let mut names: Vec<Arc<str>> =
            child_demand.iter().map(|want| Arc::clone(&want.team)).collect();
        names.dedup();
        let mut reply = AllowanceReply::default();
        for name in names {
            let ranks = asked_ranks(child_demand.iter().filter(|want| want.team == name));
            let batches = self.grant_team(now, instance, &name, may_grant);
            let amount = batches.iter().map(|batch| batch.amount).sum();
            self.settle(instance, &name, amount);
            if let Some(team) = self.teams.get_mut(&name)
                && amount > 0
            {
                team.usage.record(now, amount);
            }
            reply.grants.extend(batches.iter().map(|batch| AllowanceGrant {
                team: Arc::clone(&name),
                amount: batch.amount,
                life_ms: batch.end.since(now).as_millis() as u64,
            }));
            for rank in ranks {
                if let Some(wait) = self.wait(now, &name, rank) {
                    let (team, wait_ms) = (Arc::clone(&name), wait.as_millis() as u64);
                    reply.waits.push(AllowanceWait { team, rank, wait_ms });
                }
            }
        }
        reply
    }

    /// What an instance gets of one team's allowance: first of what the leader gave.
    fn grant_team(
        &mut self,
        now: MonotonicTime,
        instance: &str,
        name: &Arc<str>,
        may_grant: bool,
    ) -> Vec<AmountBatch> {
        let Some(team) = self.teams.get(name) else { return Vec::new() };
        let own = self.demand_of(now, name, |child| child == instance);
        let others = self.demand_of(now, name, |child| child != instance);
        let mut batches = self.amounts.pass_on(now + MIN_PASSED_LIFE, name, &own, &others);
        if may_grant && batches.is_empty() {
            let plan = &team.plan.grant;
            let amount = self.amounts.grant(now, name, plan, &own, &others);
            batches.extend((amount > 0).then(|| AmountBatch { amount, end: now + plan.life }));
        }
        batches
    }

    /// Reduces what an instance still asks for by what it got.
    fn settle(&mut self, instance: &str, name: &Arc<str>, amount: u64) {
        let Some(child) = self.children.get_mut(instance) else { return };
        let mut left = amount;
        for want in child.demand.iter_mut().filter(|want| want.team == *name) {
            let met = want.amount.min(left);
            left -= met;
            want.amount -= met;
            want.chunk = want.chunk.min(want.amount);
        }
        child.demand.retain(|want| want.amount > 0);
    }

    /// The wait of a team's requests of `rank` over all instances, as far as it is known. Less urgent
    /// ones don't prolong it.
    fn wait(&mut self, now: MonotonicTime, name: &Arc<str>, rank: u8) -> Option<Duration> {
        if self.term.is_none() {
            let (received, wait) = *self.teams.get(name)?.waits.get(&rank)?;
            let passed = now.since(received);
            return (passed < WAIT_LIFETIME).then(|| wait.saturating_sub(passed));
        }
        let waiting: u64 = self
            .demand_of(now, name, |_| true)
            .iter()
            .filter(|want| want.rank != AmountDemand::SPARE_RANK && want.rank <= rank)
            .map(|want| want.amount)
            .sum();
        let plan = &self.teams.get(name)?.plan.grant;
        let level = self.amounts.update(now, name, plan);
        let lacking = (waiting as f64 - level).max(0.0);
        let lacking = if waiting == 0 { 0.0 } else { lacking };
        Some(Duration::from_secs_f64(lacking / plan.rate))
    }

    /// What to ask the leader for: what is asked of this instance beyond what it holds, and what it
    /// should hold for the use that it expects.
    pub fn unmet(&self, now: MonotonicTime) -> Vec<AllowanceDemand> {
        let mut unmet = Vec::new();
        for (name, team) in self.teams.iter().filter(|(_, team)| team.next_ask <= now) {
            let mut left = self.amounts.received(now + MIN_PASSED_LIFE, name);
            let mut wants: BTreeMap<u8, AmountDemand> = BTreeMap::new();
            for want in self.demand_of(now, name, |_| true) {
                let sum = wants.entry(want.rank).or_insert(AmountDemand { amount: 0, ..want });
                sum.amount += want.amount;
                sum.waited = sum.waited.max(want.waited);
                sum.chunk = sum.chunk.max(want.chunk);
            }
            let spare = wants.remove(&AmountDemand::SPARE_RANK).map_or(0, |want| want.amount);
            for want in wants.into_values() {
                let lacking = want.amount.saturating_sub(left);
                // A chunk can be met by what is held together with what is asked for.
                let chunk = want.chunk.saturating_sub(left).min(lacking);
                left = left.saturating_sub(want.amount);
                unmet.extend(demand_of(name, AmountDemand { amount: lacking, chunk, ..want }));
            }
            if now < team.next_spare {
                continue;
            }
            let wanted = spare + team.usage.target(now, POOL_TIME);
            // Small parts aren't worth a message.
            let lacking = if left * 2 < wanted { wanted - left } else { 0 };
            let waited = Duration::ZERO;
            let rank = AmountDemand::SPARE_RANK;
            unmet.extend(demand_of(name, AmountDemand { rank, amount: lacking, chunk: 0, waited }));
        }
        unmet
    }

    /// Whether the leader should be asked at once: requests wait for what isn't held here, or what is
    /// held runs low.
    pub fn is_low(&self, now: MonotonicTime) -> bool {
        self.term.is_none() && !self.unmet(now).is_empty()
    }

    /// Whether the requests of an instance are likely to have their units as soon as the leader has
    /// replied.
    pub fn expects_grant(&self, now: MonotonicTime, instance: &str) -> bool {
        let is_soon = |team: &GrantedTeam| {
            team.next_ask <= now
                && team
                    .waits
                    .values()
                    .all(|(received, wait)| wait.saturating_sub(now.since(*received)).is_zero())
        };
        let mut wants = self.children.get(instance).into_iter().flat_map(|child| &child.demand);
        self.term.is_none()
            && wants.any(|want| {
                want.rank != AllowanceDemand::SPARE_RANK
                    && self.teams.get(&want.team).is_some_and(is_soon)
            })
    }

    /// Takes over the leader's reply to what was asked for at `called`.
    pub fn receive(
        &mut self,
        now: MonotonicTime,
        called: MonotonicTime,
        asked: &[AllowanceDemand],
        reply: &AllowanceReply,
    ) {
        for grant in reply.grants.iter().filter(|grant| self.teams.contains_key(&grant.team)) {
            let end = called + Duration::from_millis(grant.life_ms);
            let batch = AmountBatch { amount: grant.amount, end };
            let lower_share =
                self.teams.get(&grant.team).map_or(0.0, |team| team.plan.grant.lower_share);
            self.amounts.receive(now, &grant.team, batch, lower_share);
        }
        for wait in &reply.waits {
            if let Some(team) = self.teams.get_mut(&wait.team) {
                team.waits.insert(wait.rank, (now, Duration::from_millis(wait.wait_ms)));
            }
        }
        for want in asked {
            let is_granted = reply.grants.iter().any(|grant| grant.team == want.team);
            if let Some(team) = self.teams.get_mut(&want.team).filter(|_| !is_granted) {
                match want.rank {
                    AllowanceDemand::SPARE_RANK => team.next_spare = now + ASK_PAUSE,
                    _ => team.next_ask = now + ASK_PAUSE,
                }
            }
        }
    }

    /// The demand for one team of the instances below whose names are `included`.
    fn demand_of(
        &self,
        now: MonotonicTime,
        name: &Arc<str>,
        included: impl Fn(&str) -> bool,
    ) -> Vec<AmountDemand> {
        let fresh = self
            .children
            .iter()
            .filter(|(child, demand)| included(child) && now.since(demand.asked) < DEMAND_LIFETIME);
        let wants = fresh.flat_map(|(_, child)| {
            let passed = now.since(child.asked);
            let wants = child.demand.iter().filter(|want| want.team == *name);
            wants.map(move |want| AmountDemand {
                rank: want.rank,
                amount: want.amount,
                chunk: want.chunk,
                waited: passed + Duration::from_millis(u64::from(want.waited_ms)),
            })
        });
        wants.collect()
    }
}

/// The ranks of waiting requests for which something is asked; that of no waiting request if none is.
fn asked_ranks<'d>(wants: impl Iterator<Item = &'d AllowanceDemand>) -> Vec<u8> {
    let mut ranks: Vec<u8> = wants.map(|want| want.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}

/// The demand as it is sent; `None` if nothing is wanted.
fn demand_of(name: &Arc<str>, want: AmountDemand) -> Option<AllowanceDemand> {
    let waited_ms = u32::try_from(want.waited.as_millis()).unwrap_or(u32::MAX);
    (want.amount > 0).then(|| AllowanceDemand {
        team: Arc::clone(name),
        rank: want.rank,
        amount: want.amount,
        chunk: want.chunk,
        waited_ms,
    })
}
