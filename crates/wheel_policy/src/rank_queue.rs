//! Fair queue of the requests of one rank that wait for one engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wheel_types::{CallerName, MonotonicTime};

use crate::QueuedRequest;

/// Number of idle callers kept before those whose tag isn't ahead of the virtual time are dropped.
const MAX_IDLE_FLOWS: usize = 1_024;

/// Maximum number of expected retries kept for one caller; further ones count as new requests.
const MAX_EXPECTED_RETRIES: usize = 512;
/// How long a retry is still expected after its time.
const RETRY_GRACE: Duration = Duration::from_secs(2);

/// Order of a request in its caller's flow: earliest deadline first, then first come.
pub(crate) type FlowKey = (MonotonicTime, u64);

/// Start-time fair queueing among callers by weight; earliest deadline first within a caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankQueue {
    flows: BTreeMap<CallerName, CallerFlow>,
    /// Tags of the callers with waiting requests; the lowest goes first.
    tags: BTreeSet<(u64, CallerName)>,
    virtual_us: u64,
    /// Sum of the weights of callers with waiting requests.
    active_weight: u64,
    /// Sum of the weights of callers with waiting requests or expected retries.
    sharing_weight: u64,
    waiting: usize,
    work: Duration,
    /// Expected retries of all callers, earliest first.
    expected_retries: BTreeMap<(MonotonicTime, u64), CallerName>,
    sequence: u64,
}

/// Waiting requests and expected retries of one caller in one rank.
#[derive(Clone, Debug, Default)]
struct CallerFlow {
    /// Virtual time at which its next request starts.
    tag_us: u64,
    weight: u32,
    requests: BTreeMap<FlowKey, QueuedRequest>,
    work: Duration,
    next_retry: MonotonicTime,
    /// Expected retries of the caller's refused requests.
    retries: BTreeSet<(MonotonicTime, u64)>,
    /// The caller's part of `sharing_weight`.
    counted_weight: u64,
}

impl RankQueue {
    /// Number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Expected slot time of all waiting requests.
    pub(crate) fn work(&self) -> Duration {
        self.work
    }

    /// Number of requests of `caller` that wait.
    pub(crate) fn caller_len(&self, caller: &CallerName) -> usize {
        self.flows.get(caller).map_or(0, |flow| flow.requests.len())
    }

    /// Expected slot time of the requests of this rank that go before a new request of `caller`:
    /// those that wait and, unless the request is itself an expected retry, the expected retries.
    pub(crate) fn work_ahead(
        &self,
        caller: &CallerName,
        weight: u32,
        cost: Duration,
        is_retry: bool,
    ) -> Duration {
        let weight = u64::from(weight.max(1));
        let flow = self.flows.get(caller);
        let own = flow.map_or(Duration::ZERO, |flow| flow.work);
        let own_retries = flow.map_or(0, |flow| flow.retries.len());
        let all_retries = self.expected_retries.len();
        let (own_retries, all_retries) = if is_retry { (0, 0) } else { (own_retries, all_retries) };
        let own = own + cost * own_retries as u32;
        let active = flow.filter(|flow| !flow.requests.is_empty());
        let others = self.active_weight - active.map_or(0, |flow| u64::from(flow.weight));
        let turns = (own + cost).mul_f64(others as f64 / weight as f64);
        (own + turns).min(self.work + cost * all_retries as u32)
    }

    /// Whether a retry of `caller` is expected by now; removes it from the expected ones.
    pub(crate) fn take_expected_retry(&mut self, now: MonotonicTime, caller: &CallerName) -> bool {
        self.drop_missed_retries(now);
        let Some(flow) = self.flows.get_mut(caller) else { return false };
        let due = flow.retries.first().copied().filter(|(time, _)| *time <= now);
        let Some(retry) = due else { return false };
        flow.retries.remove(&retry);
        self.expected_retries.remove(&retry);
        self.update_sharing_weight(caller);
        true
    }

    /// Records that `caller` was asked to retry at `time`.
    pub(crate) fn add_expected_retry(&mut self, caller: &CallerName, time: MonotonicTime) {
        self.sequence += 1;
        let retry = (time, self.sequence);
        let Some(flow) = self.flows.get_mut(caller) else { return };
        if flow.retries.len() < MAX_EXPECTED_RETRIES {
            flow.retries.insert(retry);
            self.expected_retries.insert(retry, caller.clone());
            self.update_sharing_weight(caller);
        }
    }

    /// Share of the rank's slots that `caller` gets among all callers with waiting requests or
    /// expected retries.
    pub(crate) fn caller_share(&self, caller: &CallerName, weight: u32) -> f64 {
        let weight = u64::from(weight.max(1));
        let own = self.flows.get(caller).map_or(0, |flow| flow.counted_weight);
        weight as f64 / (weight + self.sharing_weight - own) as f64
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, key: FlowKey, request: QueuedRequest) {
        self.waiting += 1;
        self.work += request.cost;
        let caller = request.caller.clone();
        let virtual_us = self.virtual_us;
        let flow = self.flows.entry(caller.clone()).or_default();
        if flow.requests.is_empty() {
            flow.weight = request.weight.max(1);
            flow.tag_us = flow.tag_us.max(virtual_us);
            self.active_weight += u64::from(flow.weight);
            self.tags.insert((flow.tag_us, caller.clone()));
        }
        flow.work += request.cost;
        flow.requests.insert(key, request);
        self.update_sharing_weight(&caller);
        self.drop_idle_flows();
    }

    /// Caller and key of the request that goes next.
    pub(crate) fn next_key(&self) -> Option<(CallerName, FlowKey)> {
        let (_, caller) = self.tags.first()?;
        let key = *self.flows.get(caller)?.requests.keys().next()?;
        Some((caller.clone(), key))
    }

    /// A waiting request.
    pub(crate) fn get(&self, caller: &CallerName, key: FlowKey) -> Option<&QueuedRequest> {
        self.flows.get(caller)?.requests.get(&key)
    }

    /// Takes a request to serve it now, and advances its caller's tag by its cost.
    pub(crate) fn take(&mut self, caller: &CallerName, key: FlowKey) -> Option<QueuedRequest> {
        let (first_us, _) = self.tags.first()?;
        self.virtual_us = self.virtual_us.max(*first_us);
        let request = self.remove(caller, key)?;
        self.advance_tag(caller, request.cost);
        Some(request)
    }

    /// Takes out one request; its caller's tag stays.
    pub(crate) fn remove(&mut self, caller: &CallerName, key: FlowKey) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(caller)?;
        let request = flow.requests.remove(&key)?;
        flow.work = flow.work.saturating_sub(request.cost);
        self.work = self.work.saturating_sub(request.cost);
        self.waiting -= 1;
        if flow.requests.is_empty() {
            self.active_weight -= u64::from(flow.weight);
            self.tags.remove(&(flow.tag_us, caller.clone()));
        }
        self.update_sharing_weight(caller);
        Some(request)
    }

    /// The next free retry time of `caller`, not before `earliest`; the one after it is `spacing`
    /// later.
    pub(crate) fn schedule_retry(
        &mut self,
        caller: &CallerName,
        earliest: MonotonicTime,
        spacing: Duration,
    ) -> MonotonicTime {
        let flow = self.flows.entry(caller.clone()).or_default();
        let retry_at = flow.next_retry.max(earliest);
        flow.next_retry = retry_at + spacing;
        self.drop_idle_flows();
        retry_at
    }

    fn advance_tag(&mut self, caller: &CallerName, cost: Duration) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        let active = !flow.requests.is_empty();
        if active {
            self.tags.remove(&(flow.tag_us, caller.clone()));
        }
        flow.tag_us += cost.as_micros() as u64 / u64::from(flow.weight.max(1));
        if active {
            self.tags.insert((flow.tag_us, caller.clone()));
        }
    }

    /// Drops expected retries that didn't come in time.
    fn drop_missed_retries(&mut self, now: MonotonicTime) {
        while let Some(entry) = self.expected_retries.first_entry() {
            let retry = *entry.key();
            if retry.0 + RETRY_GRACE >= now {
                return;
            }
            let caller = entry.remove();
            if let Some(flow) = self.flows.get_mut(&caller) {
                flow.retries.remove(&retry);
            }
            self.update_sharing_weight(&caller);
        }
    }

    /// Counts a caller's weight in `sharing_weight` while it has waiting requests or expected
    /// retries.
    fn update_sharing_weight(&mut self, caller: &CallerName) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        let counts = !(flow.requests.is_empty() && flow.retries.is_empty());
        let counted_weight = if counts { u64::from(flow.weight.max(1)) } else { 0 };
        self.sharing_weight = self.sharing_weight - flow.counted_weight + counted_weight;
        flow.counted_weight = counted_weight;
    }

    /// Bounds the number of callers kept.
    fn drop_idle_flows(&mut self) {
        if self.flows.len() <= 2 * (self.tags.len() + MAX_IDLE_FLOWS) {
            return;
        }
        let virtual_us = self.virtual_us;
        self.flows.retain(|_, flow| flow.counted_weight > 0 || flow.tag_us > virtual_us);
        if self.flows.len() > self.tags.len() + MAX_IDLE_FLOWS {
            self.flows.retain(|_, flow| !flow.requests.is_empty());
            self.expected_retries.clear();
            self.flows.values_mut().for_each(|flow| flow.retries.clear());
            self.sharing_weight = self.active_weight;
        }
    }
}
