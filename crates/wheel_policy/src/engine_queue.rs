//! The queue that an owner keeps for one engine.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wheel_types::{CallerName, MonotonicTime, RequestId, RequestRank};

use crate::moving_average::MovingAverage;
use crate::rank_credit::RankCredit;
use crate::rank_queue::FlowKey;
use crate::rank_state::{ARRIVAL_SPAN, RankState};
use crate::{
    AdmissionResult, QueueSettings, QueuedRequest, RefusalReason, RefusedRequest, SeededRandom,
    SlotSample,
};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Share of `retry_after` that jitter may add.
const JITTER_SHARE: f64 = 0.2;
/// Bounds of `retry_after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Share of the maximum `retry_after` over which retries are spread that can't be scheduled within
/// it.
const SPREAD_SHARE: f64 = 0.5;
/// Time before its latest start from which a request may go before its caller's turn, as a share of
/// the average slot time: within that time a slot almost certainly becomes free.
const URGENT_START_SHARE: f64 = 0.5;
/// Maximum number of requests of any rank, earliest latest start first, scanned for one that must
/// start now.
const MAX_URGENT_SCAN: usize = 64;
/// Minimum share of the slots that a wait estimate assumes for a rank.
const MIN_SHARE: f64 = 0.01;

/// Decides which request an engine serves next, and which requests are refused.
///
/// More urgent ranks go first, except that each rank gets its guaranteed share (floor); within a
/// rank callers share by weight, and within a caller the earliest deadline goes first. The cost of
/// an operation grows with the number of ranks and the logarithm of the number of waiting requests.
/// All tables are bounded by [`QueueSettings::rank_capacity`] and the number of slots; what doesn't
/// fit is refused.
#[derive(Clone, Debug)]
pub struct EngineQueue {
    settings: QueueSettings,
    ranks: Vec<RankState>,
    positions: HashMap<RequestId, QueuePosition>,
    latest_starts: BTreeMap<FlowKey, RequestId>,
    running: HashMap<RequestId, RunningRequest>,
    external_running: u32,
    kv_used: u64,
    expired: Vec<RefusedRequest>,
    sequence: u64,
    updated: MonotonicTime,
    slot_time_s: MovingAverage,
    random: SeededRandom,
}

/// Where a request waits.
#[derive(Clone, Debug)]
struct QueuePosition {
    rank: RequestRank,
    caller: CallerName,
    flow_key: FlowKey,
    start_key: FlowKey,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct RunningRequest {
    rank: RequestRank,
    kv_tokens: u64,
    cost: Duration,
}

impl EngineQueue {
    /// Creates an empty queue.
    pub fn open(settings: QueueSettings) -> Self {
        let mut queue = Self {
            ranks: Vec::new(),
            positions: HashMap::new(),
            latest_starts: BTreeMap::new(),
            running: HashMap::new(),
            external_running: 0,
            kv_used: 0,
            expired: Vec::new(),
            sequence: 0,
            updated: MonotonicTime::default(),
            slot_time_s: MovingAverage::new(
                settings.initial_slot_time.as_secs_f64(),
                SAMPLE_WEIGHT,
            ),
            random: SeededRandom::new(settings.seed),
            settings,
        };
        queue.ranks = queue
            .settings
            .ranks
            .iter()
            .map(|_| RankState::new(queue.settings.initial_first_byte))
            .collect();
        queue.reset_credit();
        queue
    }

    /// Changes the number of slots, for example after a change of the manifest.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.settings.slots {
            self.settings.slots = slots;
            self.reset_credit();
        }
    }

    /// Sets the number of slots that the engine uses for requests of another owner.
    pub fn set_external_running(&mut self, running: u32) {
        self.external_running = running;
    }

    /// Number of requests that wait, of all ranks.
    pub fn waiting(&self) -> usize {
        self.positions.len()
    }

    /// Number of requests of `rank` that wait.
    pub fn waiting_of(&self, rank: RequestRank) -> usize {
        self.ranks.get(rank.index()).map_or(0, |state| state.queue.len())
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether a request waits or runs here.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.positions.contains_key(id) || self.running.contains_key(id)
    }

    /// Queues a request or refuses it at once.
    pub fn offer(&mut self, now: MonotonicTime, request: QueuedRequest) -> AdmissionResult {
        self.advance(now);
        if let Some(reason) = self.invalid_reason(&request) {
            return self.refuse(now, &request, reason, Duration::ZERO);
        }
        let queue = &mut self.ranks[request.rank.index()].queue;
        let is_retry = queue.take_expected_retry(now, &request.caller);
        let wait = self.expected_wait(&request, is_retry);
        let ready = now + wait + self.ranks[request.rank.index()].first_byte();
        match self.capacity_reason(&request) {
            Some(reason) => self.refuse(now, &request, reason, wait / 2),
            None if ready > request.deadline => {
                let excess = ready.since(request.deadline);
                self.refuse(now, &request, RefusalReason::TooLate, excess)
            }
            None => {
                let ahead = self.ahead(request.rank);
                self.push(request);
                AdmissionResult::Queued { wait, ahead }
            }
        }
    }

    /// Takes the request that the engine serves next, if a slot is free. Call [`Self::expire`]
    /// afterwards: requests that can no longer be answered in time are collected here, not
    /// returned.
    pub fn take_next(&mut self, now: MonotonicTime) -> Option<QueuedRequest> {
        self.advance(now);
        self.collect_expired(now);
        let index = self.next_rank()?;
        let queue = &self.ranks[index].queue;
        let urgent = self.urgent(now, index);
        let (caller, key) = urgent.or_else(|| queue.next_key())?;
        if !self.kv_fits(queue.get(&caller, key)?.kv_tokens) {
            return None;
        }
        let request = self.ranks[index].queue.take(&caller, key)?;
        self.start(&request);
        Some(request)
    }

    /// Frees the slot of a request, however it ended.
    pub fn finish(&mut self, now: MonotonicTime, id: &RequestId, sample: SlotSample) {
        self.advance(now);
        let Some(running) = self.running.remove(id) else { return };
        self.kv_used = self.kv_used.saturating_sub(running.kv_tokens);
        self.ranks[running.rank.index()].running -= 1;
        self.record_sample(&running, sample);
    }

    /// Takes out a waiting request; false if it doesn't wait here, for example because it runs. It
    /// may be reported as not run only if the result is true.
    pub fn remove(&mut self, id: &RequestId) -> bool {
        let Some(position) = self.remove_position(id) else { return false };
        let queue = &mut self.ranks[position.rank.index()].queue;
        queue.remove(&position.caller, position.flow_key).is_some()
    }

    /// Takes out all requests that can no longer be answered in time, to be refused.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<RefusedRequest> {
        self.advance(now);
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// When [`Self::expire`] next has a request to refuse.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        match self.expired.first() {
            Some(_) => Some(self.updated),
            None => self.latest_starts.keys().next().map(|(latest, _)| *latest),
        }
    }

    /// Takes out all waiting requests in order of their latest starts, for example because the
    /// engine was lost.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let ids: Vec<RequestId> = self.latest_starts.values().cloned().collect();
        ids.iter().filter_map(|id| self.take_out(id)).collect()
    }

    /// Expected time until a request would get a slot if it arrived now.
    pub fn estimate_wait(&self, request: &QueuedRequest) -> Duration {
        self.expected_wait(request, false)
    }

    fn expected_wait(&self, request: &QueuedRequest, is_retry: bool) -> Duration {
        let Some(state) = self.ranks.get(request.rank.index()) else { return Duration::ZERO };
        let own = state.queue.work_ahead(&request.caller, request.weight, request.cost, is_retry);
        let above_s = self.more_urgent_work_s(request.rank);
        if self.free_slots(request.rank) > 0 && own == Duration::ZERO && above_s == 0.0 {
            return Duration::ZERO;
        }
        let own_s = state.slot_seconds(own) + self.slot_time_s.value();
        let by_order = (own_s + above_s) / self.slots_left(request.rank);
        let by_floor = match state.credit.floor_slots() {
            floor if floor > 0.0 => own_s / floor,
            _ => f64::INFINITY,
        };
        Duration::from_secs_f64(by_order.min(by_floor).min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    fn reset_credit(&mut self) {
        let slots = f64::from(self.settings.slots);
        for (state, rank) in self.ranks.iter_mut().zip(&self.settings.ranks) {
            state.credit = RankCredit::new(slots * f64::from(rank.floor_percent.min(100)) / 100.0);
        }
    }

    fn advance(&mut self, now: MonotonicTime) {
        let span = now.since(self.updated);
        self.updated = self.updated.max(now);
        let waiting_ranks = self.ranks.iter().filter(|state| !state.queue.is_empty()).count();
        let decay = (-span.as_secs_f64() / ARRIVAL_SPAN.as_secs_f64()).exp();
        for state in &mut self.ranks {
            let waits = !state.queue.is_empty();
            let others = waiting_ranks > usize::from(waits);
            state.credit.advance(span, state.running, others);
            state.arriving_s *= decay;
        }
    }

    fn invalid_reason(&self, request: &QueuedRequest) -> Option<RefusalReason> {
        match request {
            request if request.rank.index() >= self.ranks.len() => Some(RefusalReason::UnknownRank),
            request if self.contains(&request.id) => Some(RefusalReason::Duplicate),
            request if self.settings.kv_tokens == 0 || request.kv_tokens == 0 => None,
            request if request.kv_tokens > self.settings.kv_tokens => Some(RefusalReason::TooLarge),
            _ => None,
        }
    }

    fn capacity_reason(&self, request: &QueuedRequest) -> Option<RefusalReason> {
        let queue = &self.ranks[request.rank.index()].queue;
        match queue {
            queue if queue.caller_len(&request.caller) >= self.settings.caller_capacity => {
                Some(RefusalReason::CallerFull)
            }
            queue if queue.len() >= self.settings.rank_capacity => Some(RefusalReason::QueueFull),
            _ => None,
        }
    }

    fn refuse(
        &mut self,
        now: MonotonicTime,
        request: &QueuedRequest,
        reason: RefusalReason,
        excess: Duration,
    ) -> AdmissionResult {
        let retry_after = self.retry_after(now, request, excess);
        AdmissionResult::Refused { reason, retry_after }
    }

    /// When a refused request should be retried. Spaces the retries of a caller by the rate at
    /// which the engine can serve it.
    fn retry_after(
        &mut self,
        now: MonotonicTime,
        request: &QueuedRequest,
        excess: Duration,
    ) -> Duration {
        let jitter = 1.0 + JITTER_SHARE * self.random.next_unit();
        let share = self.slots_left(request.rank);
        let Some(state) = self.ranks.get_mut(request.rank.index()) else { return MAX_RETRY_AFTER };
        let cost_s = state.slot_seconds(request.cost);
        let rate = share.max(state.credit.floor_slots())
            * state.queue.caller_share(&request.caller, request.weight);
        let spacing = Duration::from_secs_f64((cost_s / rate).min(MAX_RETRY_AFTER.as_secs_f64()));
        let retry_at = state.queue.schedule_retry(&request.caller, now + excess, spacing);
        let after = match retry_at.since(now) {
            delay if delay < MAX_RETRY_AFTER => delay.mul_f64(jitter).max(MIN_RETRY_AFTER),
            _ => MAX_RETRY_AFTER.mul_f64(1.0 - SPREAD_SHARE * self.random.next_unit()),
        };
        state.queue.add_expected_retry(&request.caller, now + after);
        after
    }

    fn push(&mut self, request: QueuedRequest) {
        self.sequence += 1;
        let latest = request
            .deadline
            .as_micros()
            .saturating_sub(self.ranks[request.rank.index()].first_byte().as_micros() as u64);
        let flow_key = (request.deadline, self.sequence);
        let start_key = (MonotonicTime::from_micros(latest), self.sequence);
        let position = QueuePosition {
            rank: request.rank,
            caller: request.caller.clone(),
            flow_key,
            start_key,
        };
        self.latest_starts.insert(start_key, request.id.clone());
        self.positions.insert(request.id.clone(), position);
        let state = &mut self.ranks[request.rank.index()];
        state.arriving_s += request.cost.as_secs_f64();
        state.queue.push(flow_key, request);
    }

    fn start(&mut self, request: &QueuedRequest) {
        self.remove_position(&request.id);
        self.kv_used += request.kv_tokens;
        self.ranks[request.rank.index()].running += 1;
        let running =
            RunningRequest { rank: request.rank, kv_tokens: request.kv_tokens, cost: request.cost };
        self.running.insert(request.id.clone(), running);
    }

    fn remove_position(&mut self, id: &RequestId) -> Option<QueuePosition> {
        let position = self.positions.remove(id)?;
        self.latest_starts.remove(&position.start_key);
        Some(position)
    }

    fn take_out(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        let position = self.remove_position(id)?;
        self.ranks[position.rank.index()].queue.remove(&position.caller, position.flow_key)
    }

    fn collect_expired(&mut self, now: MonotonicTime) {
        while let Some((_, id)) =
            self.latest_starts.first_key_value().filter(|(key, _)| key.0 < now)
        {
            let id = id.clone();
            let Some(request) = self.take_out(&id) else { return };
            let wait = self.estimate_wait(&request);
            let retry_after = self.retry_after(now, &request, wait);
            self.expired.push(RefusedRequest {
                request,
                reason: RefusalReason::Expired,
                retry_after,
            });
        }
    }

    /// The rank that goes next: one that is below its floor, else the most urgent one that waits. A
    /// rank that is below its floor may also take the slots reserved for the most urgent rank.
    fn next_rank(&self) -> Option<usize> {
        let most_urgent = RequestRank::default();
        if self.free_slots(most_urgent) == 0 {
            return None;
        }
        let waits = |index: &usize| !self.ranks[*index].queue.is_empty();
        let mut waiting = (0..self.ranks.len()).filter(waits);
        let first = waiting.next()?;
        let is_below_floor = |index: &usize| {
            let state = &self.ranks[*index];
            state.credit.is_below_floor(state.running)
        };
        let below_floor =
            if is_below_floor(&first) { Some(first) } else { waiting.find(is_below_floor) };
        let may_start = self.free_slots(RequestRank(first as u8)) > 0;
        below_floor.or(may_start.then_some(first))
    }

    /// The request of a rank with the earliest latest start, if it or one behind it would be too
    /// late unless requests start in this order from now on.
    ///
    /// This matters for an engine near its limit to which new callers keep coming: fair sharing
    /// puts a caller's second request behind each of them, so a request that was accepted because
    /// it could be served in time would expire in favour of callers that came later.
    fn urgent(&self, now: MonotonicTime, index: usize) -> Option<(CallerName, FlowKey)> {
        let slot_s = self.slot_time_s.value();
        let slots = f64::from(self.settings.slots.max(1));
        let mut first = None;
        let mut ahead = 0.0;
        for (latest, id) in self.latest_starts.iter().take(MAX_URGENT_SCAN) {
            let Some(position) = self.positions.get(id).filter(|one| one.rank.index() == index)
            else {
                continue;
            };
            let first = *first.get_or_insert(position);
            let turn_s = slot_s * (URGENT_START_SHARE + ahead / slots);
            if latest.0 <= now + Duration::from_secs_f64(turn_s) {
                return Some((first.caller.clone(), first.flow_key));
            }
            ahead += 1.0;
        }
        None
    }

    fn free_slots(&self, rank: RequestRank) -> u32 {
        let used = self.running.len() as u32 + self.external_running;
        let reserved = if rank.index() == 0 { 0 } else { self.settings.urgent_slots };
        self.settings.slots.saturating_sub(used + reserved)
    }

    fn kv_fits(&self, kv_tokens: u64) -> bool {
        self.settings.kv_tokens == 0 || self.kv_used + kv_tokens <= self.settings.kv_tokens
    }

    fn ahead(&self, rank: RequestRank) -> usize {
        self.ranks.iter().take(rank.index() + 1).map(|state| state.queue.len()).sum()
    }

    fn more_urgent_work_s(&self, rank: RequestRank) -> f64 {
        let above = self.ranks.iter().take(rank.index());
        above.map(|state| state.slot_seconds(state.queue.work())).sum()
    }

    /// Slots that `rank` can count on: all but those taken by arrivals of more urgent ranks and by
    /// the floors of waiting less urgent ones.
    fn slots_left(&self, rank: RequestRank) -> f64 {
        let slots = f64::from(self.settings.slots);
        let above = self.ranks.iter().take(rank.index());
        let arriving: f64 = above.map(RankState::arriving_slots).sum();
        let below = self.ranks.iter().skip(rank.index() + 1);
        let waiting = below.filter(|state| !state.queue.is_empty());
        let floors: f64 = waiting.map(|state| state.credit.floor_slots()).sum();
        (slots - arriving - floors).max(slots * MIN_SHARE)
    }

    fn record_sample(&mut self, running: &RunningRequest, sample: SlotSample) {
        let slot_time_s = sample.slot_time.as_secs_f64();
        self.slot_time_s.add(slot_time_s);
        if running.cost > Duration::ZERO {
            let ratio = slot_time_s / running.cost.as_secs_f64();
            self.ranks[running.rank.index()].cost_factor.add(ratio.clamp(0.1, 10.0));
        }
        if let Some(first_byte) = sample.first_byte {
            self.ranks[running.rank.index()].record_first_byte(first_byte.as_secs_f64());
        }
    }
}
