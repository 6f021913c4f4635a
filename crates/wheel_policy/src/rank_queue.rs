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
    /// Weights of the callers that wait.
    active_weight: u64,
    /// Weights of the callers that wait or were asked to come back.
    claim_weight: u64,
    waiting: usize,
    work: Duration,
    /// All bookings, earliest first.
    returns: BTreeMap<(MonotonicTime, u64), CallerName>,
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
    /// When requests of the caller were asked to come back.
    bookings: BTreeSet<(MonotonicTime, u64)>,
    /// The caller's part of `claim_weight`.
    claimed: u64,
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
        let booked = self.returns.len();
        let (own_booked, booked) = if returns { (0, 0) } else { (own_booked, booked) };
        let own = own + cost * own_booked as u32;
        let active = flow.filter(|flow| !flow.requests.is_empty());
        let others = self.active_weight - active.map_or(0, |flow| u64::from(flow.weight));
        let turns = (own + cost).mul_f64(others as f64 / weight as f64);
        (own + turns).min(self.work + cost * booked as u32)
    }

    /// Whether `caller` was asked to come back about now; one such return is used up.
    pub(crate) fn take_booking(&mut self, now: MonotonicTime, caller: &CallerName) -> bool {
        self.forget_returns(now);
        let Some(flow) = self.flows.get_mut(caller) else { return false };
        let due = flow.bookings.first().copied().filter(|(time, _)| *time <= now);
        let Some(booking) = due else { return false };
        flow.bookings.remove(&booking);
        self.returns.remove(&booking);
        self.settle_claim(caller);
        true
    }

    /// Remembers that `caller` was asked to come back at `time`.
    pub(crate) fn add_booking(&mut self, caller: &CallerName, time: MonotonicTime) {
        self.sequence += 1;
        let booking = (time, self.sequence);
        let Some(flow) = self.flows.get_mut(caller) else { return };
        if flow.bookings.len() < MAX_BOOKINGS {
            flow.bookings.insert(booking);
            self.returns.insert(booking, caller.clone());
            self.settle_claim(caller);
        }
    }

    /// Share of the rank's service that `caller` gets while all go on who wait now or were asked to
    /// come back.
    pub(crate) fn caller_share(&self, caller: &CallerName, weight: u32) -> f64 {
        let weight = u64::from(weight.max(1));
        let own = self.flows.get(caller).map_or(0, |flow| flow.claimed);
        weight as f64 / (weight + self.claim_weight - own) as f64
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
            self.order.insert((flow.tag_us, caller.clone()));
        }
        flow.work += request.cost;
        flow.requests.insert(key, request);
        self.settle_claim(&caller);
        self.forget_idle();
    }

    /// Where the request that goes next waits.
    pub(crate) fn next_key(&self) -> Option<(CallerName, FlowKey)> {
        let (_, caller) = self.order.first()?;
        let key = *self.flows.get(caller)?.requests.keys().next()?;
        Some((caller.clone(), key))
    }

    /// A request that waits.
    pub(crate) fn get(&self, caller: &CallerName, key: FlowKey) -> Option<&QueuedRequest> {
        self.flows.get(caller)?.requests.get(&key)
    }

    /// Takes a request to serve it now, and charges its caller for it.
    pub(crate) fn take(&mut self, caller: &CallerName, key: FlowKey) -> Option<QueuedRequest> {
        let (first_us, _) = self.order.first()?;
        self.virtual_us = self.virtual_us.max(*first_us);
        let request = self.remove(caller, key)?;
        self.charge(caller, request.cost);
        Some(request)
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
        self.settle_claim(caller);
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

    /// Forgets the returns whose time has passed: their callers didn't come.
    fn forget_returns(&mut self, now: MonotonicTime) {
        while let Some(entry) = self.returns.first_entry() {
            let booking = *entry.key();
            if booking.0 + BOOKING_GRACE >= now {
                return;
            }
            let caller = entry.remove();
            if let Some(flow) = self.flows.get_mut(&caller) {
                flow.bookings.remove(&booking);
            }
            self.settle_claim(&caller);
        }
    }

    /// Counts a caller's weight among the claims while it waits or was asked to come back.
    fn settle_claim(&mut self, caller: &CallerName) {
        let Some(flow) = self.flows.get_mut(caller) else { return };
        let claims = !(flow.requests.is_empty() && flow.bookings.is_empty());
        let claimed = if claims { u64::from(flow.weight.max(1)) } else { 0 };
        self.claim_weight = self.claim_weight - flow.claimed + claimed;
        flow.claimed = claimed;
    }

    /// Bounds the callers that are remembered.
    fn forget_idle(&mut self) {
        if self.flows.len() <= 2 * (self.order.len() + IDLE_FLOWS) {
            return;
        }
        let virtual_us = self.virtual_us;
        self.flows.retain(|_, flow| flow.claimed > 0 || flow.tag_us > virtual_us);
        if self.flows.len() > self.order.len() + IDLE_FLOWS {
            self.flows.retain(|_, flow| !flow.requests.is_empty());
            self.returns.clear();
            self.flows.values_mut().for_each(|flow| flow.bookings.clear());
            self.claim_weight = self.active_weight;
        }
    }
}
