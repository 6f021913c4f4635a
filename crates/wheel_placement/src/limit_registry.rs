//! What a control instance knows about the limits that upstreams name, and whom it lets send to
//! them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use wheel_policy::{LimitGrantor, LimitTable};
use wheel_route::{EngineId, LimitDemand, LimitGrant, SyncRequest, UpstreamLimit};
use wheel_types::MonotonicTime;

/// Age of the proof of the own configuration up to which a leader gives out permits: one that was
/// cut off must not go on beside its successor.
const MAX_GRANT_AGE: Duration = Duration::from_secs(1);
/// Time for which the demand of an instance counts after its sync.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);

/// Demand for permits, by upstream.
type DemandTable = BTreeMap<EngineId, Vec<LimitDemand>>;

/// Collects limits and the demand for permits from the instances below, and divides the permits
/// between them: those of each upstream's rate at the leader, those from the leader elsewhere.
#[derive(Debug, Default)]
pub(crate) struct LimitRegistry {
    table: LimitTable,
    grantor: LimitGrantor,
    /// Whether this instance leads the control instances.
    is_leading: bool,
    /// The last demand of each instance below.
    demands: HashMap<Arc<str>, (Vec<LimitDemand>, MonotonicTime)>,
    /// Requests that wait in the whole fleet, by upstream and rank, as known to the leader.
    fleet_waiting: BTreeMap<EngineId, Vec<(u8, u32)>>,
}

impl LimitRegistry {
    /// Records whether this instance leads the control instances.
    pub(crate) fn set_leading(&mut self, is_leading: bool) {
        self.is_leading = is_leading;
    }

    /// Records the sync of an instance below.
    pub(crate) fn record(&mut self, now: MonotonicTime, request: &SyncRequest) {
        for report in &request.limits {
            if self.table.merge(now, report) {
                let engine = report.engine.name.to_string();
                let rate = report.rate.map_or("none".to_owned(), |rate| rate.to_string());
                info!("upstream_limit", kv: { engine, rate });
            }
        }
        self.demands.retain(|_, (_, received)| now.since(*received) < DEMAND_LIFETIME);
        let demand = (request.limit_demand.clone(), now);
        self.demands.insert(Arc::clone(&request.instance), demand);
    }

    /// Takes over the leader's limits and permits.
    pub(crate) fn take_leader_reply(
        &mut self,
        now: MonotonicTime,
        limits: &[UpstreamLimit],
        grants: &[LimitGrant],
    ) {
        self.grantor.receive(now, grants);
        for limit in limits {
            self.table.merge(now, &limit.report);
        }
        let waiting =
            limits.iter().map(|limit| (limit.report.engine.clone(), limit.waiting.clone()));
        self.fleet_waiting = waiting.collect();
    }

    /// The permits that an instance gets for its last sync, at an instance whose proof of its
    /// configuration is of the given age.
    pub(crate) fn grant(
        &mut self,
        now: MonotonicTime,
        instance: &str,
        proof_age: Option<Duration>,
    ) -> Vec<LimitGrant> {
        let may_grant = proof_age.is_some_and(|age| age <= MAX_GRANT_AGE);
        let own = self.sum_demand(now, |name| name == instance);
        let others = self.sum_demand(now, |name| name != instance);
        let Self { table, grantor, is_leading, .. } = self;
        let grant = |(engine, own): (&EngineId, &Vec<LimitDemand>)| {
            let others = others.get(engine).map_or(&[][..], |others| &others[..]);
            match (*is_leading, table.rate(engine)) {
                (false, _) => grantor.pass_on(now, own, others),
                (true, Some(rate)) if may_grant => grantor.grant(now, rate, own, others),
                (true, _) => None,
            }
        };
        own.iter().filter_map(grant).collect()
    }

    /// The limits with the requests that wait for them.
    pub(crate) fn limits(&self, now: MonotonicTime) -> Vec<UpstreamLimit> {
        let demand = self.sum_demand(now, |_| true);
        let waiting = |engine: &EngineId| match self.fleet_waiting.get(engine) {
            Some(waiting) if !self.is_leading => waiting.clone(),
            _ => demand.get(engine).map(|demand| count_by_rank(demand)).unwrap_or_default(),
        };
        let reports = self.table.reports(now).into_iter();
        reports.map(|report| UpstreamLimit { waiting: waiting(&report.engine), report }).collect()
    }

    /// The demand of the instances below, beyond the permits that are left here.
    pub(crate) fn unmet_demand(&self, now: MonotonicTime) -> Vec<LimitDemand> {
        let mut unmet: Vec<LimitDemand> = Vec::new();
        for (engine, mut demand) in self.sum_demand(now, |_| true) {
            let mut left = self.grantor.received(&engine);
            demand.sort_by_key(|entry| entry.rank);
            for entry in demand {
                let count = entry.count.saturating_sub(left);
                left = left.saturating_sub(entry.count);
                match unmet.last_mut() {
                    _ if count == 0 => {}
                    Some(last) if last.engine == entry.engine && last.rank == entry.rank => {
                        last.count += count;
                    }
                    _ => unmet.push(LimitDemand { count, ..entry }),
                }
            }
        }
        unmet
    }

    /// Whether an upstream has named a limit.
    pub(crate) fn is_limited(&self, engine: &EngineId) -> bool {
        self.table.rate(engine).is_some()
    }

    /// The table of limits, to report them to the leader.
    pub(crate) fn table(&self) -> &LimitTable {
        &self.table
    }

    /// Drops the upstreams for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.table.retain(&keep);
        self.grantor.retain(keep);
    }

    /// The demand of the instances below whose names are `included`.
    fn sum_demand(&self, now: MonotonicTime, included: impl Fn(&str) -> bool) -> DemandTable {
        let mut table = DemandTable::new();
        for (name, (demand, received)) in &self.demands {
            if included(name) && now.since(*received) < DEMAND_LIFETIME {
                for entry in demand {
                    table.entry(entry.engine.clone()).or_default().push(entry.clone());
                }
            }
        }
        table
    }
}

/// Requests that no other upstream can serve, by rank.
fn count_by_rank(demand: &[LimitDemand]) -> Vec<(u8, u32)> {
    let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
    for entry in demand.iter().filter(|entry| entry.rank != LimitDemand::SPARE_RANK) {
        *counts.entry(entry.rank).or_default() += entry.count;
    }
    counts.into_iter().collect()
}
