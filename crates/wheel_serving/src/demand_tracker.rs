//! Demand at this instance, for the lease holder.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;
use wheel_types::{AdapterName, DemandEntry, DemandReport, ModelName, RequestRank};

/// Limit of counted combinations of model, adapter and rank; beyond it demand isn't reported, but
/// the requests still wait.
const MAX_ENTRIES: usize = 8_192;

/// Counts arrivals and requests that wait for a replica, by model, adapter and rank.
#[derive(Debug, Default)]
pub struct DemandTracker {
    counts: Mutex<HashMap<DemandKey, DemandCount>>,
    urgent: Notify,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct DemandKey {
    model: ModelName,
    adapter: Option<AdapterName>,
    rank: RequestRank,
}

#[derive(Clone, Debug, Default)]
struct DemandCount {
    arrivals: u32,
    waiting: u32,
    /// The earliest deadline of the waiting requests.
    due: Option<Instant>,
    /// When callers that were told to retry later are expected.
    returning: Vec<Instant>,
}

/// Limit of remembered callers per key that were told to retry later.
const MAX_RETURNING: usize = 64;

impl DemandTracker {
    /// Counts an arrival.
    pub fn count_arrival(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        rank: RequestRank,
    ) {
        self.update(model, adapter, rank, |count| count.arrivals += 1);
    }

    /// Counts a request as waiting until the guard is dropped. The first one of a model triggers a
    /// report at once.
    pub fn count_waiting(
        self: &Arc<Self>,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        rank: RequestRank,
        due: Instant,
    ) -> DemandGuard {
        let first = self.update(model, adapter, rank, |count| {
            count.waiting += 1;
            count.due = Some(count.due.map_or(due, |earlier| earlier.min(due)));
            count.waiting == 1
        });
        if first == Some(true) {
            self.urgent.notify_one();
        }
        let key = DemandKey { model: model.clone(), adapter: adapter.cloned(), rank };
        DemandGuard { tracker: Arc::clone(self), key }
    }

    /// Counts a caller that was told to retry after `wait`; the model is needed by then.
    pub fn expect_return(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        rank: RequestRank,
        wait: Duration,
    ) {
        let retry_at = Instant::now() + wait;
        self.update(model, adapter, rank, |count| {
            if count.returning.len() < MAX_RETURNING {
                count.returning.push(retry_at);
            }
        });
        self.urgent.notify_one();
    }

    /// Completes when a model is requested that wasn't before.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Returns the report of the time since the last one.
    pub fn take_report(&self) -> DemandReport {
        let now = Instant::now();
        let mut counts = self.counts.lock();
        let mut entries = Vec::new();
        for (key, count) in counts.iter_mut() {
            count.returning.retain(|retry_at| *retry_at > now);
            if count.is_idle() {
                continue;
            }
            entries.push(count.entry(key, now));
            count.arrivals = 0;
        }
        counts.retain(|_, count| !count.is_idle());
        DemandReport { entries }
    }

    fn update<T>(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        rank: RequestRank,
        change: impl FnOnce(&mut DemandCount) -> T,
    ) -> Option<T> {
        let key = DemandKey { model: model.clone(), adapter: adapter.cloned(), rank };
        let mut counts = self.counts.lock();
        if counts.len() >= MAX_ENTRIES && !counts.contains_key(&key) {
            return None;
        }
        Some(change(counts.entry(key).or_default()))
    }

    fn end_wait(&self, key: &DemandKey) {
        if let Some(count) = self.counts.lock().get_mut(key) {
            count.waiting = count.waiting.saturating_sub(1);
            if count.waiting == 0 {
                count.due = None;
            }
        }
    }
}

impl DemandCount {
    fn is_idle(&self) -> bool {
        self.arrivals == 0 && self.waiting == 0 && self.returning.is_empty()
    }

    fn entry(&self, key: &DemandKey, now: Instant) -> DemandEntry {
        let due = self.due.or_else(|| self.returning.iter().max().copied());
        let due_in = due.map_or(Duration::ZERO, |due| due.saturating_duration_since(now));
        DemandEntry {
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            rank: key.rank,
            arrivals: self.arrivals,
            waiting: self.waiting + self.returning.len() as u32,
            due_in_ms: due_in.as_millis() as u64,
        }
    }
}

/// Counts one request as waiting.
#[derive(Debug)]
pub struct DemandGuard {
    tracker: Arc<DemandTracker>,
    key: DemandKey,
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        self.tracker.end_wait(&self.key);
    }
}
