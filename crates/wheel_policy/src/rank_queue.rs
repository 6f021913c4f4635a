//! The requests of one rank that wait at one engine, fair among their callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wheel_types::{CallerName, MonotonicTime};

use crate::QueuedRequest;

/// Idle callers that are remembered before those without a debt are forgotten.
const IDLE_FLOWS: usize = 1_024;

/// Returns that are remembered for one caller; later ones count as new requests.
const MAX_BOOKINGS: usize = 512;
/// How long after its time a return is expected still.
const BOOKING_GRACE: Duration = Duration::from_secs(2);

/// Where a request waits in its caller's flow: earliest deadline first, then first come.
pub(crate) type FlowKey = (MonotonicTime, u64);

/// Start-time fair queueing among callers by weight; earliest deadline first within a caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankQueue {
    flows: BTreeMap<CallerName, CallerFlow>,
    order: BTreeSet<(u64, CallerName)>,
    virtual_us: u64,
    active_weight: u64,
    waiting: usize,
    work: Duration,
    booked: usize,
    sequence: u64,
}

/// What one caller has waiting in one rank.
#[derive(Clone, Debug, Default)]
struct CallerFlow {
    tag_us: u64,
    weight: u32,
    requests: BTreeMap<FlowKey, QueuedRequest>,
    work: Duration,
    next_return: MonotonicTime,
    bookings: BTreeSet<(MonotonicTime, u64)>,
}

impl RankQueue {
    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Expected slot time of all that waits.
    pub(crate) fn work(&self) -> Duration {
        self.work
    }

    /// Requests of `caller` that wait.
    pub(crate) fn caller_len(&self, caller: &CallerName) -> usize {
        self.flows.get(caller).map_or(0, |flow| flow.requests.len())
    }

    /// Expected slot time of what goes before a new request of `caller` within this rank: what
    /// waits, and those who were asked to come back, unless the request is one of them.
    pub(crate) fn work_ahead(
        &self,
        caller: &CallerName,
        weight: u32,
        cost: Duration,
        returns: bool,
    ) -> Duration {
        let weight = u64::from(weight.max(1));
        let flow = self.flows.get(caller);
        let own = flow.map_or(Duration::ZERO, |flow| flow.work);
        let own_booked = flow.map_or(0, |flow| flow.bookings.len());
        let (own_booked, booked) = if returns { (0, 0) } else { (own_booked, self.booked) };
        let own = own + cost * own_booked as u32;
        let active = flow.filter(|flow| !flow.requests.is_empty());
        let others = self.active_weight - active.map_or(0, |flow| u64::from(flow.weight));
        let turns = (own + cost).mul_f64(others as f64 / weight as f64);
        (own + turns).min(self.work + cost * booked as u32)
    }

    /// Whether `caller` was asked to come back about now; one such return is used up.
    pub(crate) fn take_booking(&mut self, now: MonotonicTime, caller: &CallerName) -> bool {
        let Some(flow) = self.flows.get_mut(caller) else { return false };
        while let Some((time, _)) = flow.bookings.first().copied() {
            if time > now {
                return false;
            }
            flow.bookings.pop_first();
            self.booked -= 1;
            if time + BOOKING_GRACE >= now {
                return true;
            }
        }
        false
    }

    /// Remembers that `caller` was asked to come back at `time`.
    pub(crate) fn add_booking(&mut self, caller: &CallerName, time: MonotonicTime) {
        self.sequence += 1;
        let sequence = self.sequence;
        let Some(flow) = self.flows.get_mut(caller) else { return };
        if flow.bookings.len() < MAX_BOOKINGS {
            flow.bookings.insert((time, sequence));
            self.booked += 1;
        }
    }

    /// Share of the rank's service that `caller` gets while all who wait go on waiting.
    pub(crate) fn caller_share(&self, caller: &CallerName, weight: u32) -> f64 {
        let weight = u64::from(weight.max(1));
        let flow = self.flows.get(caller).filter(|flow| !flow.requests.is_empty());
        let others = self.active_weight - flow.map_or(0, |flow| u64::from(flow.weight));
        weight as f64 / (weight + others) as f64
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
            self.order.insert((flow.tag_us, caller));
        }
        flow.work += request.cost;
        flow.requests.insert(key, request);
        self.forget_idle();
    }

    /// The request that goes next.
    pub(crate) fn peek(&self) -> Option<&QueuedRequest> {
        let (_, caller) = self.order.first()?;
        self.flows.get(caller)?.requests.values().next()
    }

    /// Takes the request that goes next and charges its caller for it.
    pub(crate) fn pop(&mut self) -> Option<(FlowKey, QueuedRequest)> {
        let (tag_us, caller) = self.order.first()?.clone();
        let key = *self.flows.get(&caller)?.requests.keys().next()?;
        self.virtual_us = self.virtual_us.max(tag_us);
        let request = self.remove(&caller, key)?;
        self.charge(&caller, request.cost);
        Some((key, request))
    }

    /// Takes out one request without charging for it.
    pub(crate) fn remove(&mut self, caller: &CallerName, key: FlowKey) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(caller)?;
        let request = flow.requests.remove(&key)?;
        flow.work = flow.work.saturating_sub(request.cost);
        self.work = self.work.saturating_sub(request.cost);
        self.waiting -= 1;
        if flow.requests.is_empty() {
            self.active_weight -= u64::from(flow.weight);
            self.order.remove(&(flow.tag_us, caller.clone()));
        }
        Some(request)
    }

    /// Books the next moment at which a refused request of `caller` may come back, and returns it.
    pub(crate) fn book_return(
        &mut self,
        caller: &CallerName,
        earliest: MonotonicTime,
        spacing: Duration,
    ) -> MonotonicTime {
        let flow = self.flows.entry(caller.clone()).or_default();
        let booked = flow.next_return.max(earliest);
        flow.next_return = booked + spacing;
        self.forget_idle();
        booked
    }

    fn charge(&mut self, caller: &CallerName, cost: Duration) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        let active = !flow.requests.is_empty();
        if active {
            self.order.remove(&(flow.tag_us, caller.clone()));
        }
        flow.tag_us += cost.as_micros() as u64 / u64::from(flow.weight.max(1));
        if active {
            self.order.insert((flow.tag_us, caller.clone()));
        }
    }

    fn forget_idle(&mut self) {
        if self.flows.len() <= 2 * (self.order.len() + IDLE_FLOWS) {
            return;
        }
        let virtual_us = self.virtual_us;
        self.flows.retain(|_, flow| !flow.requests.is_empty() || flow.tag_us > virtual_us);
        if self.flows.len() > self.order.len() + IDLE_FLOWS {
            self.flows.retain(|_, flow| !flow.requests.is_empty());
        }
        self.booked = self.flows.values().map(|flow| flow.bookings.len()).sum();
    }
}
