//! Chooses the replica for a request.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use lru::LruCache;
use wheel_types::{LoadReport, ModelName, MonotonicTime, RequestRank, UpstreamName};

use crate::moving_average::MovingAverage;
use crate::upstream_load::UpstreamLoad;
use crate::{
    OutlierDetector, OutlierSettings, ReplicaView, RouteDecision, RouteQuery, RouteReason,
    SeededRandom,
};

/// Maximum number of replicas considered for one request; of more, this many are sampled.
const MAX_CANDIDATES: usize = 8;
/// Maximum number of prompt prefixes kept.
const MAX_PREFIXES: usize = 16_384;
/// Expected time in a slot before the first measurement, in milliseconds.
const SLOT_TIME_MS: f64 = 2_000.0;
/// Weight of a new sample in the average time in a slot.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Cost of loading an adapter, in milliseconds.
const ADAPTER_LOAD_MS: f64 = 10.0;
/// Saving of a cached prefix, in milliseconds.
const PREFIX_SAVING_MS: f64 = 60.0;
/// Cost of one unit of link price, in milliseconds.
const PRICE_MS: f64 = 10.0;
/// Time by which a full batch slows each of its requests, in milliseconds.
const BATCH_MS: f64 = 20.0;

/// Chooses among the replicas of one model by expected time to the answer.
///
/// Considers at most eight replicas, whatever the size of the fleet. Load reports lag, so requests
/// sent since the last one count as well. Cached prefixes are hints: a wrong one costs only time.
#[derive(Debug)]
pub struct EngineRouter {
    replicas: HashMap<ModelName, Vec<ReplicaView>>,
    loads: HashMap<UpstreamName, UpstreamLoad>,
    prefixes: LruCache<u64, UpstreamName>,
    outliers: OutlierDetector,
    slot_time_ms: MovingAverage,
    random: SeededRandom,
}

impl EngineRouter {
    /// Creates a router without replicas.
    pub fn open(outliers: OutlierSettings, seed: u64) -> Self {
        let capacity =
            std::num::NonZeroUsize::new(MAX_PREFIXES).unwrap_or(std::num::NonZeroUsize::MIN);
        Self {
            replicas: HashMap::new(),
            loads: HashMap::new(),
            prefixes: LruCache::new(capacity),
            outliers: OutlierDetector::open(outliers),
            slot_time_ms: MovingAverage::new(SLOT_TIME_MS, SAMPLE_WEIGHT),
            random: SeededRandom::new(seed),
        }
    }

    /// Replaces the replicas of a model; an empty list removes the model.
    pub fn set_replicas(&mut self, model: &ModelName, replicas: Vec<ReplicaView>) {
        for replica in &replicas {
            self.loads.entry(replica.upstream.clone()).or_default();
        }
        match replicas.is_empty() {
            true => self.replicas.remove(model),
            false => self.replicas.insert(model.clone(), replicas),
        };
    }

    /// The known replicas of a model.
    pub fn replicas(&self, model: &ModelName) -> &[ReplicaView] {
        self.replicas.get(model).map_or(&[], Vec::as_slice)
    }

    /// Removes an upstream that left the manifest or the instance list.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        self.loads.remove(upstream);
        self.outliers.remove_upstream(upstream);
        for replicas in self.replicas.values_mut() {
            replicas.retain(|replica| &replica.upstream != upstream);
        }
        self.replicas.retain(|_, replicas| !replicas.is_empty());
    }

    /// Records a load report received at `now`.
    pub fn observe_load(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamName,
        report: LoadReport,
    ) {
        self.loads.entry(upstream.clone()).or_default().observe(now, report);
    }

    /// Counts a request that was sent, and records its prefix as cached there.
    pub fn record_sent(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamName,
        prefix: Option<u64>,
    ) {
        self.loads.entry(upstream.clone()).or_default().record_sent(now);
        if let Some(prefix) = prefix {
            self.prefixes.put(prefix, upstream.clone());
        }
    }

    /// Records the rank of a request that was recorded as sent (`sent`) or as ended. With the ranks
    /// known, less urgent requests that wait at an upstream don't keep more urgent ones away.
    pub fn record_rank(&mut self, upstream: &UpstreamName, rank: RequestRank, sent: bool) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.count_rank(rank, if sent { 1 } else { -1 });
        }
    }

    /// Records the time to the first byte of a request in its slot, to detect slow upstreams.
    pub fn record_first_byte(&mut self, upstream: &UpstreamName, latency: Duration) {
        self.outliers.observe_latency(upstream, latency);
    }

    /// Counts a request that ended after `span` in a slot, successfully or not.
    pub fn record_end(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamName,
        span: Duration,
        succeeded: bool,
    ) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.record_finished();
        }
        let span_ms = span.as_secs_f64() * 1_000.0;
        if succeeded {
            self.slot_time_ms.add(span_ms);
        }
        self.outliers.observe_end(now, upstream, succeeded);
    }

    /// Removes a prefix that an engine dropped from its cache, as reported by its cache events.
    pub fn remove_prefix(&mut self, prefix: u64) {
        self.prefixes.pop(&prefix);
    }

    /// The detector that ejects failing and slow upstreams.
    pub fn outliers(&self) -> &OutlierDetector {
        &self.outliers
    }

    /// Chooses the replica for a request. If all replicas are ejected, an ejected one is chosen.
    pub fn choose(&mut self, now: MonotonicTime, query: &RouteQuery) -> RouteDecision {
        let all = self.replicas.get(&query.model).map_or(&[][..], Vec::as_slice);
        let indexes = sample_indexes(all.len(), &mut self.random);
        let sampled = indexes.iter().map(|index| &all[*index]);
        let mut able: Vec<&ReplicaView> = sampled.filter(|replica| replica.accepts_work).collect();
        if able.is_empty() {
            able = all.iter().filter(|replica| replica.accepts_work).collect();
        }
        if able.is_empty() {
            return RouteDecision::Cold;
        }
        let untried: Vec<&ReplicaView> =
            able.into_iter().filter(|replica| !query.tried.contains(&replica.upstream)).collect();
        let probe =
            untried.iter().find(|replica| self.outliers.wants_probe(now, &replica.upstream));
        if let Some(replica) = probe.map(|replica| (*replica).clone()) {
            self.outliers.begin_probe(now, &replica.upstream);
            return self.decision(&replica, query.rank, RouteReason::Probe);
        }
        let is_healthy =
            |replica: &&&ReplicaView| !self.outliers.is_ejected(now, &replica.upstream);
        let mut healthy: Vec<&ReplicaView> = untried.iter().filter(is_healthy).copied().collect();
        if healthy.is_empty() {
            healthy = untried;
        }
        let cached_at = query.prefix.and_then(|prefix| self.prefixes.peek(&prefix)).cloned();
        let cost = |replica: &ReplicaView| self.cost_ms(replica, query, cached_at.as_ref());
        let best = healthy.iter().min_by(|left, right| compare(cost(left), cost(right)));
        match best {
            None => RouteDecision::Exhausted,
            Some(replica) => {
                let reason = reason_for(replica, query, cached_at.as_ref(), healthy.len());
                self.decision(replica, query.rank, reason)
            }
        }
    }

    fn decision(
        &self,
        replica: &ReplicaView,
        rank: RequestRank,
        reason: RouteReason,
    ) -> RouteDecision {
        let wait_ms = self.wait_ms(replica, rank) + 2.0 * replica.delay_ms;
        RouteDecision::Engine {
            upstream: replica.upstream.clone(),
            centre: replica.centre.clone(),
            wait: Duration::from_secs_f64(wait_ms.max(0.0) / 1_000.0),
            reason,
        }
    }

    fn depth(&self, replica: &ReplicaView, rank: RequestRank) -> u32 {
        let load = self.loads.get(&replica.upstream);
        load.map_or(0, |load| load.depth_for(rank, replica.slots))
    }

    fn wait_ms(&self, replica: &ReplicaView, rank: RequestRank) -> f64 {
        let depth = self.depth(replica, rank);
        let slots = replica.slots.max(1);
        let ahead = (depth + 1).saturating_sub(slots);
        f64::from(ahead) * self.slot_time_ms.value() / f64::from(slots)
    }

    fn cost_ms(
        &self,
        replica: &ReplicaView,
        query: &RouteQuery,
        cached_at: Option<&UpstreamName>,
    ) -> f64 {
        let depth = self.depth(replica, query.rank);
        let filled = f64::from(depth) / f64::from(replica.slots.max(1));
        let adapter_ms = if has_adapter(replica, query) { 0.0 } else { ADAPTER_LOAD_MS };
        let saving_ms = if cached_at == Some(&replica.upstream) { PREFIX_SAVING_MS } else { 0.0 };
        self.wait_ms(replica, query.rank)
            + BATCH_MS * filled.min(1.0)
            + 2.0 * replica.delay_ms
            + PRICE_MS * replica.price
            + adapter_ms
            - saving_ms
    }
}

fn has_adapter(replica: &ReplicaView, query: &RouteQuery) -> bool {
    query.adapter.as_ref().is_none_or(|adapter| replica.adapters.contains(adapter))
}

fn reason_for(
    replica: &ReplicaView,
    query: &RouteQuery,
    cached_at: Option<&UpstreamName>,
    candidates: usize,
) -> RouteReason {
    match replica {
        _ if candidates == 1 => RouteReason::OnlyReplica,
        replica if cached_at == Some(&replica.upstream) => RouteReason::CachedPrefix,
        replica if query.adapter.is_some() && has_adapter(replica, query) => {
            RouteReason::LoadedAdapter
        }
        _ => RouteReason::ShortestWait,
    }
}

fn sample_indexes(len: usize, random: &mut SeededRandom) -> Vec<usize> {
    if len <= MAX_CANDIDATES {
        return (0..len).collect();
    }
    let mut indexes: Vec<usize> = (0..MAX_CANDIDATES).map(|_| random.next_below(len)).collect();
    indexes.sort_unstable();
    indexes.dedup();
    indexes
}

fn compare(left: f64, right: f64) -> Ordering {
    left.total_cmp(&right)
}
