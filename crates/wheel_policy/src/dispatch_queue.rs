//! Holds requests of an ingress instance until an engine with their model has room.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

use crate::arrival_rates::ArrivalRates;
use crate::moving_average::MovingAverage;
use crate::room_table::{RoomTable, active_limit, rank_class};
use crate::team_order::TeamOrder;
use crate::wait_estimate::WaitEstimate;
use crate::waiting_request::WaitingRequest;
use crate::{
    DispatchEntry, DispatchRequest, DispatchStep, DispatchTicket, DispatchView, EngineRoom,
    SeededRandom,
};

/// Maximum number of requests that wait in one queue. At the seventieth part of the refund desk's
/// worst burst, a minute's requests.
pub const MAX_WAITING: usize = 512;
/// Time within which a load is ordered and reported after a request arrives: two syncs and a
/// placement round.
pub const LOAD_REPORT_TIME: Duration = Duration::from_millis(800);
/// Sends that pass lower ranks by, after which one of these is sent: one in ten. Sends count, not
/// tokens: at one of many instances, a large request would wait for its tokens beyond its deadline.
const LOWER_RANK_PART: u32 = 9;
/// Sends that lower ranks may be owed.
const MAX_OWED_SENDS: u32 = 3;
/// Each how many sends a request whose objective has passed goes before those whose objective can
/// still be met, so that it is served at least a quarter as often.
const LATE_TURN: u64 = 3;
/// Time between two checks of waits without a new view.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Expected time of a request at its engine before the first measurement, in seconds: an explanation
/// of 68 tokens in a full batch.
const INITIAL_HOLD_S: f64 = 0.8;
/// Weight of one measurement of that time.
const HOLD_WEIGHT: f64 = 0.05;

/// Decides which of an instance's requests for one service are sent, wait or are refused.
///
/// Addresses requests that overflow an engine when their model becomes ready, urgent requests that
/// stand behind patient ones, teams that flood, and waits in vain. An engine's room is estimated from
/// slots and open requests, which are known late; see [`RoomTable`] for what one of many instances
/// may use of it.
#[derive(Clone, Debug)]
pub struct DispatchQueue {
    waiting: BTreeMap<DispatchTicket, WaitingRequest>,
    /// Requests whose send is decided and not counted at the engine yet.
    decided: HashMap<DispatchTicket, EngineId>,
    overflowed: Vec<DispatchTicket>,
    orders: BTreeMap<u8, TeamOrder>,
    /// Sends that passed lower ranks by, less those that these were owed for.
    passed_sends: u32,
    sends: u64,
    rates: ArrivalRates,
    /// Time of a request at its engine, in seconds.
    hold: MovingAverage,
    rooms: RoomTable,
    /// The generation of the view that waits were last checked for, and when.
    checked: Option<(u64, MonotonicTime)>,
    random: SeededRandom,
    last_ticket: u64,
}

impl DispatchQueue {
    /// Creates an empty queue; `seed` must differ between instances.
    pub fn open(seed: u64) -> Self {
        Self {
            waiting: BTreeMap::new(),
            decided: HashMap::new(),
            overflowed: Vec::new(),
            orders: BTreeMap::new(),
            passed_sends: 0,
            sends: 0,
            rates: ArrivalRates::default(),
            hold: MovingAverage::new(INITIAL_HOLD_S, HOLD_WEIGHT),
            rooms: RoomTable::default(),
            checked: None,
            random: SeededRandom::new(seed),
            last_ticket: 0,
        }
    }

    /// Decides on a request that arrives or that an engine refused. `rooms` are the engines that can
    /// serve it, once they have room.
    pub fn enter(
        &mut self,
        now: MonotonicTime,
        request: DispatchRequest,
        rooms: &[EngineRoom],
        view: DispatchView,
    ) -> DispatchEntry {
        let rank = request.rank;
        self.rates.record(now, &request.target, rank);
        let estimate = self.estimate(now, rooms, view);
        let (unseen, coming) = (estimate.unseen_sends(&request), estimate.coming_sends(&request));
        let has_rivals = estimate.has_rivals(&request);
        let has_room = |room: &&EngineRoom| {
            let reserved = self.decided.values().filter(|engine| **engine == room.engine).count();
            let active = f64::from(room.active) + reserved as f64 + unseen + coming;
            active + 1.0 <= f64::from(active_limit(rank_class(rank), room.slots, has_rivals))
        };
        let free: Vec<EngineId> =
            rooms.iter().filter(has_room).map(|room| room.engine.clone()).collect();
        let is_first = !self.waiting.values().any(|other| {
            let goes_first = other.request.rank <= rank || self.is_owed(&other.request);
            goes_first && other.shares_engine(&free)
        });
        if !free.is_empty() && is_first {
            self.count_send(&request, &free, false);
            return DispatchEntry::Send(free);
        }
        let engines = rooms.iter().map(|room| room.engine.clone()).collect();
        self.hold_request(now, WaitingRequest { request, engines, load: None }, rooms, view)
    }

    /// Changes what can serve a waiting request: the engines, and the load of its model that ends
    /// first, with the slots of the engine.
    pub fn update(
        &mut self,
        ticket: DispatchTicket,
        engines: Vec<EngineId>,
        load: Option<(MonotonicTime, u32)>,
    ) {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            waiting.engines = engines;
            waiting.load = load;
        }
    }

    /// Takes out a request that is counted at its engine now, or whose caller left.
    pub fn remove(&mut self, ticket: DispatchTicket) {
        self.waiting.remove(&ticket);
        self.decided.remove(&ticket);
    }

    /// Records how long a request was at its engine.
    pub fn record_end(&mut self, hold: Duration) {
        self.hold.add(hold.as_secs_f64());
    }

    /// The engines whose room the next decision needs.
    pub fn engines(&self) -> Vec<EngineId> {
        let engines = self.waiting.values().flat_map(|waiting| waiting.engines.iter().cloned());
        let mut engines: Vec<EngineId> = engines.collect();
        engines.sort_unstable();
        engines.dedup();
        engines
    }

    /// Decides which of the waiting requests are sent or refused now. `rooms` are those of
    /// [`Self::engines`].
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        rooms: &[EngineRoom],
        view: DispatchView,
    ) -> Vec<DispatchStep> {
        self.refresh_rooms(now, rooms, view);
        let mut steps = Vec::new();
        loop {
            let owed = self.pick_owed();
            let is_owed = owed.is_some();
            let Some((ticket, engines)) = owed.or_else(|| self.pick(now)) else { break };
            let Some(waiting) = self.waiting.remove(&ticket) else { break };
            self.rooms.take(&engines[0]);
            self.decided.insert(ticket, engines[0].clone());
            self.count_send(&waiting.request, &engines[..1], true);
            if is_owed {
                self.passed_sends -= LOWER_RANK_PART;
            }
            steps.push(DispatchStep::Send(ticket, engines));
        }
        let overflowed = std::mem::take(&mut self.overflowed);
        steps.extend(overflowed.into_iter().map(|ticket| {
            DispatchStep::Refuse(ticket, Duration::from_secs_f64(self.hold.value()))
        }));
        if !self.begin_check(now, view) {
            return steps;
        }
        let estimate = self.estimate(now, rooms, view);
        let vain = self.waiting.iter().filter_map(|(ticket, waiting)| {
            estimate.vain_wait(waiting).map(|expected| (*ticket, expected))
        });
        let vain: Vec<(DispatchTicket, Duration)> = vain.collect();
        for (ticket, expected) in vain {
            self.waiting.remove(&ticket);
            steps.push(DispatchStep::Refuse(ticket, expected));
        }
        steps
    }

    /// When to decide again if nothing changes before.
    pub fn next_decision(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let with_engines = self.waiting.values().filter(|waiting| !waiting.engines.is_empty());
        let reports =
            with_engines.clone().map(|waiting| waiting.request.arrival + LOAD_REPORT_TIME);
        let draw = with_engines.clone().next().and_then(|_| self.rooms.next_draw());
        // A report that was due since the last check is taken up by the next one.
        let next_time = |report: MonotonicTime| match self.checked {
            Some((_, checked)) if checked < report && report <= now => checked + CHECK_INTERVAL,
            _ => report,
        };
        let reports = reports.map(next_time);
        reports.chain(draw).filter(|time| *time > now).min()
    }

    /// The expected time until a waiting request is sent; `None` if nothing that could serve it is
    /// known.
    pub fn expected_wait(
        &self,
        now: MonotonicTime,
        ticket: DispatchTicket,
        rooms: &[EngineRoom],
        view: DispatchView,
    ) -> Option<Duration> {
        self.estimate(now, rooms, view).expected(self.waiting.get(&ticket)?)
    }

    /// Number of waiting requests of each rank.
    pub fn waiting_by_rank(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for waiting in self.waiting.values() {
            *counts.entry(waiting.request.rank).or_default() += 1;
        }
        counts
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.overflowed.is_empty()
    }

    /// Holds a request. At the bound, the least urgent latest one is refused.
    fn hold_request(
        &mut self,
        now: MonotonicTime,
        waiting: WaitingRequest,
        rooms: &[EngineRoom],
        view: DispatchView,
    ) -> DispatchEntry {
        if let Some(expected) = self.estimate(now, rooms, view).vain_wait(&waiting) {
            return DispatchEntry::Refuse(expected);
        }
        if self.waiting.len() >= MAX_WAITING {
            let order = |waiting: &WaitingRequest| (waiting.request.rank, waiting.request.arrival);
            let last = self.waiting.iter().max_by_key(|(ticket, other)| (order(other), **ticket));
            let last = last.map(|(ticket, other)| (*ticket, order(other)));
            match last {
                Some((ticket, last)) if order(&waiting) < last => {
                    self.waiting.remove(&ticket);
                    self.overflowed.push(ticket);
                }
                _ => return DispatchEntry::Refuse(Duration::from_secs_f64(self.hold.value())),
            }
        }
        let request = &waiting.request;
        let same_flow = |other: &WaitingRequest| {
            other.request.rank == request.rank && other.request.team == request.team
        };
        if !self.waiting.values().any(same_flow) {
            self.orders.entry(request.rank).or_default().begin_waiting(&request.team);
        }
        self.last_ticket += 1;
        let ticket = DispatchTicket(self.last_ticket);
        self.waiting.insert(ticket, waiting);
        DispatchEntry::Wait(ticket)
    }

    /// Whether waits are checked now, which takes a comparison of all with all: with each view, and
    /// otherwise at intervals.
    fn begin_check(&mut self, now: MonotonicTime, view: DispatchView) -> bool {
        let is_checked = |(generation, checked): (u64, MonotonicTime)| {
            generation == view.generation && now.since(checked) < CHECK_INTERVAL
        };
        let is_due = !self.checked.is_some_and(is_checked);
        if is_due {
            self.checked = Some((view.generation, now));
        }
        is_due
    }

    fn estimate<'a>(
        &'a self,
        now: MonotonicTime,
        rooms: &'a [EngineRoom],
        view: DispatchView,
    ) -> WaitEstimate<'a> {
        let (waiting, rates, hold_s) = (&self.waiting, &self.rates, self.hold.value());
        WaitEstimate { now, waiting, rates, hold_s, rooms, view }
    }

    fn refresh_rooms(&mut self, now: MonotonicTime, rooms: &[EngineRoom], view: DispatchView) {
        let mut reserved: HashMap<&EngineId, u32> = HashMap::new();
        for engine in self.decided.values() {
            *reserved.entry(engine).or_default() += 1;
        }
        let (waiting, rates, hold_s) = (&self.waiting, &self.rates, self.hold.value());
        let demand = WaitEstimate { now, waiting, rates, hold_s, rooms, view }.demand();
        self.rooms.refresh(now, rooms, view, &reserved, &demand, &mut self.random);
    }

    /// The request that goes next, with the engines that have room for it.
    fn pick(&self, now: MonotonicTime) -> Option<(DispatchTicket, Vec<EngineId>)> {
        let prefers_late = self.sends % LATE_TURN == LATE_TURN - 1;
        let has_room = |waiting: &&WaitingRequest| {
            let class = rank_class(waiting.request.rank);
            waiting.engines.iter().any(|engine| self.rooms.allows(engine, class))
        };
        let ready = self.waiting.iter().filter(|(_, waiting)| has_room(waiting));
        let (ticket, waiting) = ready.min_by_key(|(ticket, waiting)| {
            let DispatchRequest { rank, objective_end, .. } = &waiting.request;
            let is_last = (*objective_end < now) != prefers_late;
            (*rank, self.tag(&waiting.request), is_last, *objective_end, **ticket)
        })?;
        let class = rank_class(waiting.request.rank);
        let allowed = |engine: &&EngineId| self.rooms.allows(engine, class);
        Some((*ticket, self.by_room(waiting.engines.iter().filter(allowed), class)))
    }

    /// The lower-ranked request whose turn it is, since more urgent ones got their part. It may use
    /// the room of the most urgent rank.
    fn pick_owed(&self) -> Option<(DispatchTicket, Vec<EngineId>)> {
        let free = |engine: &&EngineId| self.rooms.free(engine, 0) > 0;
        let owed = self.waiting.iter().filter(|(_, waiting)| {
            self.is_owed(&waiting.request) && waiting.engines.iter().any(|engine| free(&engine))
        });
        let (_, first) = owed.clone().min_by_key(|(_, waiting)| waiting.request.arrival)?;
        let rank = first.request.rank;
        let same_rank = owed.filter(|(_, waiting)| waiting.request.rank == rank);
        let (ticket, waiting) = same_rank.min_by_key(|(ticket, waiting)| {
            (self.tag(&waiting.request), waiting.request.arrival, **ticket)
        })?;
        Some((*ticket, self.by_room(waiting.engines.iter().filter(free), 0)))
    }

    /// Whether a lower-ranked request goes before more urgent ones.
    fn is_owed(&self, request: &DispatchRequest) -> bool {
        request.rank > 0 && self.passed_sends >= LOWER_RANK_PART
    }

    /// The virtual time at which a waiting request's team goes on.
    fn tag(&self, request: &DispatchRequest) -> u64 {
        self.orders.get(&request.rank).map_or(0, |order| order.waiting_tag(&request.team))
    }

    /// The engines, those with the most room first.
    fn by_room<'a>(
        &self,
        engines: impl Iterator<Item = &'a EngineId>,
        class: usize,
    ) -> Vec<EngineId> {
        let mut engines: Vec<EngineId> = engines.cloned().collect();
        engines.sort_by_key(|engine| Reverse(self.rooms.free(engine, class)));
        engines
    }

    /// Counts a send for the order of teams, and for what lower ranks that wait for one of `engines`
    /// are owed.
    fn count_send(&mut self, request: &DispatchRequest, engines: &[EngineId], was_waiting: bool) {
        let DispatchRequest { rank, team, cost, .. } = request;
        self.sends += 1;
        self.orders.entry(*rank).or_default().charge(team, *cost, was_waiting);
        let is_passed = |waiting: &WaitingRequest| {
            waiting.request.rank > *rank && waiting.shares_engine(engines)
        };
        if self.waiting.values().any(is_passed) {
            self.passed_sends = (self.passed_sends + 1).min(MAX_OWED_SENDS * LOWER_RANK_PART);
        }
    }
}
