//! Expected times of requests that wait.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use wheel_route::{DemandKey, EngineId};
use wheel_types::MonotonicTime;

use crate::arrival_rates::ArrivalRates;
use crate::dispatch_queue::LOAD_REPORT_TIME;
use crate::room_table::{EngineDemand, active_limit, rank_class};
use crate::waiting_request::WaitingRequest;
use crate::{DispatchRequest, DispatchTicket, DispatchView, EngineRoom};

/// Time between two views of the fleet, in which all instances decide on the same numbers.
const VIEW_TIME: Duration = Duration::from_millis(200);

/// Weight of a request in the draw for room whose objective can't be met any more.
const LATE_WEIGHT: f64 = 0.5;
/// Weight of a request in the draw for room that has waited for more than half of its time.
const URGED_WEIGHT: f64 = 3.0;

/// Part of what probably waits elsewhere that is certain enough for a refusal. A request that is
/// refused wrongly loses all its worth, one that waits in vain some of its caller's time.
const CERTAIN_PART: f64 = 0.5;

/// What the estimates are computed from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitEstimate<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) waiting: &'a BTreeMap<DispatchTicket, WaitingRequest>,
    pub(crate) rates: &'a ArrivalRates,
    /// Time of a request at its engine, in seconds.
    pub(crate) hold_s: f64,
    pub(crate) rooms: &'a [EngineRoom],
    pub(crate) view: DispatchView,
}

impl<'a> WaitEstimate<'a> {
    /// Requests that other instances probably sent to each of a request's engines and that the view
    /// doesn't count, less those that ended since.
    pub(crate) fn unseen_sends(&self, request: &DispatchRequest) -> f64 {
        let arrived = self.arrived_elsewhere(&request.target, 0..=u8::MAX, self.view.age);
        let engines = self.rooms.len().max(1) as f64;
        let active: u32 = self.rooms.iter().map(|room| room.active.min(room.slots)).sum();
        let ended = f64::from(active) * self.view.age.as_secs_f64() / self.hold_s;
        ((arrived - ended) / engines).max(0.0)
    }

    /// Requests that probably arrive at other instances for each of a request's engines before all
    /// instances have the next view, and go before it or beside it.
    pub(crate) fn coming_sends(&self, request: &DispatchRequest) -> f64 {
        let engines = self.rooms.len().max(1) as f64;
        self.arrived_elsewhere(&request.target, 0..=request.rank, VIEW_TIME) / engines
    }

    /// Requests that wait for each engine.
    pub(crate) fn demand(&self) -> HashMap<&'a EngineId, EngineDemand> {
        let mut demand: HashMap<&EngineId, EngineDemand> = HashMap::new();
        let mut targets: BTreeMap<(&DemandKey, u8), (&WaitingRequest, u32)> = BTreeMap::new();
        for waiting in self.waiting.values().filter(|waiting| !waiting.engines.is_empty()) {
            let DispatchRequest { target, rank, arrival, .. } = &waiting.request;
            let (class, has_rivals) = (rank_class(*rank), self.has_rivals(&waiting.request));
            for engine in &waiting.engines {
                let demand = demand.entry(engine).or_default();
                demand.has_rivals[class] |= has_rivals;
                demand.own[class] += self.draw_weight(waiting);
            }
            let (first, count) = targets.entry((target, *rank)).or_insert((waiting, 0));
            *count += 1;
            if *arrival < first.request.arrival {
                *first = waiting;
            }
        }
        for ((target, rank), (first, count)) in targets {
            let span = self.now.since(first.request.arrival).max(VIEW_TIME);
            let others = self.waiting_elsewhere(target, rank..=rank, span, f64::from(count));
            for engine in &first.engines {
                let others = others / first.engines.len() as f64;
                demand.entry(engine).or_default().others[rank_class(rank)] += others;
            }
        }
        demand
    }

    /// Whether more urgent requests for the same model have arrived recently.
    pub(crate) fn has_rivals(&self, request: &DispatchRequest) -> bool {
        let above = request.rank.checked_sub(1);
        above.is_some_and(|above| self.rates.recent(self.now, &request.target, 0..=above))
    }

    /// How much a request counts in the draw for room: more once half of the time for its objective is
    /// over, less once that can't be met, and more again once half of the time for its deadline is.
    fn draw_weight(&self, waiting: &WaitingRequest) -> f64 {
        let DispatchRequest { arrival, objective_end, deadline, .. } = &waiting.request;
        match self.now {
            now if now.since(*arrival) * 2 > deadline.since(*arrival) => URGED_WEIGHT,
            now if now > *objective_end => LATE_WEIGHT,
            now if now.since(*arrival) * 2 > objective_end.since(*arrival) => URGED_WEIGHT,
            _ => 1.0,
        }
    }

    /// The expected time until a request is sent; `None` if nothing that could serve it is known.
    pub(crate) fn expected(&self, waiting: &WaitingRequest) -> Option<Duration> {
        self.expected_counting(waiting, 1.0)
    }

    /// The expected time if `part` of what probably waits elsewhere does.
    fn expected_counting(&self, waiting: &WaitingRequest, part: f64) -> Option<Duration> {
        let DispatchRequest { target, rank, team, .. } = &waiting.request;
        let (class, has_rivals) = (rank_class(*rank), self.has_rivals(&waiting.request));
        let mut first = waiting.request.arrival;
        let (mut urgent, mut equal, mut own) = (0.0, 0.0, 0.0);
        let mut teams = BTreeSet::from([team]);
        for other in self.waiting.values().filter(|other| waiting.goes_after(other)) {
            first = first.min(other.request.arrival);
            match other.request.rank == *rank {
                false => urgent += 1.0,
                true => {
                    equal += 1.0;
                    own += f64::from(u8::from(other.request.team == *team));
                    teams.insert(&other.request.team);
                }
            }
        }
        // Teams take turns.
        let turns = (own + 1.0) * teams.len() as f64 - 1.0;
        let ahead = urgent + f64::min(equal, turns);
        let span = self.now.since(first);
        let ahead = ahead + part * self.waiting_elsewhere(target, 0..=*rank, span, ahead);
        let at_engines = self.expected_at_engines(&waiting.engines, class, has_rivals, ahead);
        let after_load = waiting.load.map(|(end, slots)| {
            let limit = active_limit(class, slots, has_rivals);
            let turns = (ahead - f64::from(limit)).max(0.0);
            end.since(self.now) + self.time_for(turns, slots)
        });
        at_engines.into_iter().chain(after_load).min()
    }

    /// The expected time of a request that waits in vain: it can't be answered in the time left, nor
    /// can a load that makes room still be ordered and reported.
    pub(crate) fn vain_wait(&self, waiting: &WaitingRequest) -> Option<Duration> {
        let DispatchRequest { arrival, deadline, .. } = waiting.request;
        let reported = arrival + LOAD_REPORT_TIME;
        let can_be_loaded = self.now < reported && reported < deadline;
        let certain = self.expected_counting(waiting, CERTAIN_PART)?;
        let is_vain = !can_be_loaded && self.now + certain > deadline;
        self.expected(waiting).filter(|_| is_vain)
    }

    fn expected_at_engines(
        &self,
        engines: &[EngineId],
        class: usize,
        has_rivals: bool,
        ahead: f64,
    ) -> Option<Duration> {
        let rooms: Vec<&EngineRoom> =
            self.rooms.iter().filter(|room| engines.contains(&room.engine)).collect();
        let slots = rooms.iter().fold(0_u32, |sum, room| sum.saturating_add(room.slots));
        let balance = rooms.iter().map(|room| {
            f64::from(room.active) - f64::from(active_limit(class, room.slots, has_rivals))
        });
        let turns = (ahead + 1.0 + balance.sum::<f64>()).max(0.0);
        (!rooms.is_empty()).then(|| self.time_for(turns, slots))
    }

    /// The time in which `turns` requests end at engines with `slots` in sum.
    fn time_for(&self, turns: f64, slots: u32) -> Duration {
        Duration::from_secs_f64(turns * self.hold_s / f64::from(slots.max(1)))
    }

    /// Requests for a model that probably wait at all other instances, if `own` requests here have
    /// waited for `span` at most: no more than arrived there meanwhile, and as many as here.
    fn waiting_elsewhere(
        &self,
        target: &DemandKey,
        ranks: RangeInclusive<u8>,
        span: Duration,
        own: f64,
    ) -> f64 {
        let others = f64::from(self.view.ingress_count.saturating_sub(1));
        self.arrived_elsewhere(target, ranks, span).min(others * own)
    }

    /// Requests for a model that probably arrived at all other instances within `span`.
    fn arrived_elsewhere(
        &self,
        target: &DemandKey,
        ranks: RangeInclusive<u8>,
        span: Duration,
    ) -> f64 {
        let others = f64::from(self.view.ingress_count.saturating_sub(1));
        others * self.rates.expected(self.now, target, ranks, span)
    }
}
