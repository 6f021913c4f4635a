//! Queue of requests that wait for a model to be loaded.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_types::{ModelName, MonotonicTime, RequestId, RequestRank};

use crate::{
    AdapterDemand, AdmissionResult, ModelDemand, QueuedRequest, RankDemand, RefusalReason,
    RefusedRequest, SeededRandom,
};

/// Share of `retry_after` that jitter may add.
const JITTER_SHARE: f64 = 0.2;
/// How long after its retry time a refused request still counts as demand.
const RETRY_GRACE: Duration = Duration::from_secs(30);
/// Minimum time from the end of the load to the first byte.
const MIN_FIRST_BYTE: Duration = Duration::from_millis(100);

/// Holds requests whose model has no replica that accepts requests, by model.
///
/// A request that can't be answered in time is refused at once, but its expected retry counts as
/// demand, so that the model is loaded by then. At most `model_capacity` requests wait for a model
/// and `capacity` in all; more are refused.
#[derive(Clone, Debug)]
pub struct ColdQueue {
    capacity: usize,
    model_capacity: usize,
    models: BTreeMap<ModelName, ColdModel>,
    deadlines: BTreeMap<(MonotonicTime, RequestId), ModelName>,
    random: SeededRandom,
}

/// Waiting requests and expected retries for one model.
#[derive(Clone, Debug, Default)]
struct ColdModel {
    waiting: BTreeMap<RequestId, QueuedRequest>,
    retrying: BTreeMap<RequestRank, RetryCount>,
}

/// Expected retries of refused requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RetryCount {
    count: u32,
    first: MonotonicTime,
    last: MonotonicTime,
}

impl ColdQueue {
    /// Creates an empty queue.
    pub fn open(capacity: usize, model_capacity: usize, seed: u64) -> Self {
        Self {
            capacity,
            model_capacity,
            models: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            random: SeededRandom::new(seed),
        }
    }

    /// Queues a request, or refuses it if the queue is full or the model, expected to be loaded
    /// after `load_wait`, comes too late.
    pub fn offer(
        &mut self,
        now: MonotonicTime,
        request: QueuedRequest,
        load_wait: Duration,
    ) -> AdmissionResult {
        let model = self.models.entry(request.model.clone()).or_default();
        let ahead = model.waiting.len();
        let reason = match &request {
            request if model.waiting.contains_key(&request.id) => Some(RefusalReason::Duplicate),
            request if now + load_wait + MIN_FIRST_BYTE > request.deadline => {
                Some(RefusalReason::TooLate)
            }
            _ if ahead >= self.model_capacity => Some(RefusalReason::CallerFull),
            _ if self.deadlines.len() >= self.capacity => Some(RefusalReason::QueueFull),
            _ => None,
        };
        if let Some(reason) = reason {
            let jitter = 1.0 + JITTER_SHARE * self.random.next_unit();
            let retry_after = load_wait.max(MIN_FIRST_BYTE).mul_f64(jitter);
            model.retrying.entry(request.rank).or_default().add(now, now + retry_after);
            return AdmissionResult::Refused { reason, retry_after };
        }
        self.deadlines.insert((request.deadline, request.id.clone()), request.model.clone());
        model.waiting.insert(request.id.clone(), request);
        AdmissionResult::Queued { wait: load_wait, ahead }
    }

    /// Takes out all requests for a model that has become available, earliest deadline first.
    pub fn take_ready(&mut self, model: &ModelName) -> Vec<QueuedRequest> {
        let Some(cold) = self.models.remove(model) else { return Vec::new() };
        let mut requests: Vec<QueuedRequest> = cold.waiting.into_values().collect();
        for request in &requests {
            self.deadlines.remove(&(request.deadline, request.id.clone()));
        }
        requests.sort_by_key(|request| (request.deadline, request.arrival));
        requests
    }

    /// Takes out one request; false if it doesn't wait here.
    pub fn remove(&mut self, model: &ModelName, id: &RequestId) -> bool {
        let Some(cold) = self.models.get_mut(model) else { return false };
        let Some(request) = cold.waiting.remove(id) else { return false };
        self.deadlines.remove(&(request.deadline, request.id));
        true
    }

    /// Takes out all requests whose deadline can no longer be met, to be refused; they should retry
    /// after `load_wait` of their model.
    pub fn expire(
        &mut self,
        now: MonotonicTime,
        load_wait: impl Fn(&ModelName) -> Duration,
    ) -> Vec<RefusedRequest> {
        let mut refused = Vec::new();
        while let Some(entry) = self
            .deadlines
            .first_entry()
            .filter(|deadlines| deadlines.key().0 < now + MIN_FIRST_BYTE)
        {
            let ((_, id), name) = entry.remove_entry();
            let Some(cold) = self.models.get_mut(&name) else { continue };
            let Some(request) = cold.waiting.remove(&id) else { continue };
            let jitter = 1.0 + JITTER_SHARE * self.random.next_unit();
            let retry_after = load_wait(&name).max(MIN_FIRST_BYTE).mul_f64(jitter);
            cold.retrying.entry(request.rank).or_default().add(now, now + retry_after);
            refused.push(RefusedRequest { request, reason: RefusalReason::Expired, retry_after });
        }
        refused
    }

    /// When [`Self::expire`] next has a request to refuse.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        let (deadline, _) = self.deadlines.keys().next()?;
        let micros = deadline.as_micros().saturating_sub(MIN_FIRST_BYTE.as_micros() as u64);
        Some(MonotonicTime::from_micros(micros))
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// The demand of waiting requests and expected retries, for the planner.
    pub fn demands(&mut self, now: MonotonicTime) -> Vec<ModelDemand> {
        for cold in self.models.values_mut() {
            cold.retrying.retain(|_, count| count.last + RETRY_GRACE > now);
        }
        self.models.retain(|_, cold| !cold.waiting.is_empty() || !cold.retrying.is_empty());
        self.models.iter().map(|(model, cold)| cold.demand(model)).collect()
    }
}

impl RetryCount {
    fn add(&mut self, now: MonotonicTime, retry_at: MonotonicTime) {
        self.first = if self.count == 0 { now } else { self.first };
        self.count = self.count.saturating_add(1);
        self.last = self.last.max(retry_at);
    }
}

impl ColdModel {
    fn demand(&self, model: &ModelName) -> ModelDemand {
        let mut ranks: BTreeMap<RequestRank, RankDemand> = BTreeMap::new();
        let mut adapters: BTreeMap<_, u32> = BTreeMap::new();
        for request in self.waiting.values() {
            add_demand(&mut ranks, request.rank, 1, request.arrival, request.deadline);
            if let Some(adapter) = &request.adapter {
                *adapters.entry(adapter.clone()).or_default() += 1;
            }
        }
        for (rank, count) in &self.retrying {
            add_demand(&mut ranks, *rank, count.count, count.first, count.last + RETRY_GRACE);
        }
        let adapters =
            adapters.into_iter().map(|(adapter, waiting)| AdapterDemand { adapter, waiting });
        ModelDemand {
            model: model.clone(),
            waiting: ranks.into_values().collect(),
            adapters: adapters.collect(),
            ..ModelDemand::default()
        }
    }
}

fn add_demand(
    ranks: &mut BTreeMap<RequestRank, RankDemand>,
    rank: RequestRank,
    count: u32,
    arrival: MonotonicTime,
    deadline: MonotonicTime,
) {
    let first = RankDemand { rank, count: 0, oldest_arrival: arrival, earliest_deadline: deadline };
    let demand = ranks.entry(rank).or_insert(first);
    demand.count += count;
    demand.oldest_arrival = demand.oldest_arrival.min(arrival);
    demand.earliest_deadline = demand.earliest_deadline.min(deadline);
}
