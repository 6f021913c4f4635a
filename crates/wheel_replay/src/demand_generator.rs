//! Demand that follows the local clock.

use std::f64::consts::TAU;

use jiff::Timestamp;
use jiff::tz::{TimeZone, TimeZoneDatabase};
use wheel_manifest::{AdapterSpec, ServiceSpec};
use wheel_policy::SeededRandom;
use wheel_types::{CallerName, ModelName, ServiceName};

use crate::{FloodPlan, GeneratorPlan, SitePlan, TraceArrival, TraceHeader};

/// Steps in which sessions are drawn, in seconds.
const STEP_S: i64 = 300;
/// How fast popularity falls from one model to the next (Zipf).
const POPULARITY: f64 = 0.9;
/// Share of a model's sessions that come around its own hour of the day.
const OWN_SHARE: f64 = 0.7;
/// Spread around that hour, in hours.
const OWN_SPREAD_H: f64 = 1.2;
/// Share of sessions that begin with several requests at once.
const BURST_SHARE: f64 = 0.3;
/// Most requests of such a burst.
const BURST_SIZE: usize = 5;
/// Mean of the requests that follow in a session, and of the time between two, in seconds.
const FOLLOWING: f64 = 4.0;
const THINK_S: f64 = 30.0;
/// Share of requests that ask for an adapter where the model has one.
const ADAPTER_SHARE: f64 = 0.5;

/// Generates the arrivals of a [`GeneratorPlan`].
///
/// A model's sessions follow its service's day, part of them around an hour and on weekdays of its
/// own; each session is a burst or a first request, and a few more after pauses.
#[derive(Clone, Debug)]
pub struct DemandGenerator<'a> {
    plan: &'a GeneratorPlan,
    callers: Vec<CallerName>,
    habits: Vec<ModelHabit>,
    start: Timestamp,
    span_s: i64,
    centres: usize,
}

/// When one model is asked for, and by what kind of request.
#[derive(Clone, Debug)]
struct ModelHabit {
    service: ServiceName,
    rank: usize,
    model: ModelName,
    adapters: Vec<AdapterSpec>,
    zone: TimeZone,
    sessions: f64,
    hour: f64,
    every_day: bool,
    weekday: usize,
}

impl<'a> DemandGenerator<'a> {
    /// Makes the generator of a trace.
    pub fn new(site: &SitePlan, header: &TraceHeader, plan: &'a GeneratorPlan) -> Self {
        let mut random = SeededRandom::new(plan.seed ^ 0x5eed);
        let mut habits = Vec::new();
        for (index, model) in site.text.models.iter().enumerate() {
            let owner = site.text.services.iter().find(|one| one.models.contains(&model.name));
            if let Some(service) = owner {
                let popularity = 1.0 / ((index + 1) as f64).powf(POPULARITY);
                let sessions = site.top_sessions * popularity * plan.scale;
                habits.push(ModelHabit::draw(site, service, &model.name, sessions, &mut random));
            }
        }
        Self {
            plan,
            callers: site.text.callers.iter().map(|caller| caller.name.clone()).collect(),
            habits,
            start: header.start,
            span_s: (header.hours * 3_600.0) as i64,
            centres: site.text.centres.len(),
        }
    }

    /// The arrivals, in order of time.
    pub fn arrivals(&self) -> Vec<TraceArrival> {
        let mut random = SeededRandom::new(self.plan.seed);
        let mut arrivals = Vec::new();
        for step in 0..self.span_s / STEP_S {
            let from_s = step * STEP_S;
            for habit in &self.habits {
                let count = draw_poisson(habit.expected(self.at(from_s)), &mut random);
                for _ in 0..count {
                    let at_s = from_s as f64 + STEP_S as f64 * random.next_unit();
                    self.add_session(habit, at_s, &mut random, &mut arrivals);
                }
            }
        }
        for flood in &self.plan.floods {
            self.add_flood(flood, &mut random, &mut arrivals);
        }
        arrivals.retain(|arrival| arrival.at_ms < self.span_s as u64 * 1_000);
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    /// Calls `record` with the requests of each model in each step of the weeks before the start.
    pub fn history(&self, mut record: impl FnMut(Timestamp, &ServiceName, &ModelName, u32)) {
        let mut random = SeededRandom::new(self.plan.seed ^ 0x0b5e_55ed);
        let span_s = i64::from(self.plan.history_weeks) * 7 * 24 * 3_600;
        for step in (0..span_s / STEP_S).rev() {
            let at = self.at(-(step + 1) * STEP_S);
            for habit in &self.habits {
                let sessions = draw_poisson(habit.expected(at), &mut random);
                let requests = f64::from(sessions) * mean_requests();
                if requests > 0.0 {
                    record(at, &habit.service, &habit.model, requests.round() as u32);
                }
            }
        }
    }

    fn at(&self, offset_s: i64) -> Timestamp {
        Timestamp::from_second(self.start.as_second() + offset_s).unwrap_or(self.start)
    }

    fn add_session(
        &self,
        habit: &ModelHabit,
        at_s: f64,
        random: &mut SeededRandom,
        arrivals: &mut Vec<TraceArrival>,
    ) {
        let burst = random.next_unit() < BURST_SHARE;
        let first = if burst { 2 + random.next_below(BURST_SIZE - 1) } else { 1 };
        for _ in 0..first {
            let spread_s = 0.1 * random.next_unit();
            arrivals.push(self.arrival(habit, at_s + spread_s, None, random));
        }
        let following = draw_poisson(FOLLOWING, random);
        let mut next_s = at_s;
        for _ in 0..following {
            next_s += -THINK_S * (1.0 - random.next_unit()).ln();
            arrivals.push(self.arrival(habit, next_s, None, random));
        }
    }

    fn add_flood(
        &self,
        flood: &FloodPlan,
        random: &mut SeededRandom,
        arrivals: &mut Vec<TraceArrival>,
    ) {
        let of_service = self.habits.iter().filter(|habit| habit.service.as_str() == flood.service);
        let habits: Vec<&ModelHabit> = of_service.take(flood.models).collect();
        let count = (flood.rate * flood.for_s as f64) as usize;
        for _ in 0..count {
            let at_s = flood.from_s as f64 + flood.for_s as f64 * random.next_unit();
            let habit = habits[random.next_below(habits.len())];
            let caller = self.callers[random.next_below(flood.callers)].clone();
            arrivals.push(self.arrival(habit, at_s, Some(caller), random));
        }
    }

    fn arrival(
        &self,
        habit: &ModelHabit,
        at_s: f64,
        caller: Option<CallerName>,
        random: &mut SeededRandom,
    ) -> TraceArrival {
        let (tokens_in, tokens_out) = draw_tokens(habit.rank, random);
        let wants_adapter = !habit.adapters.is_empty() && random.next_unit() < ADAPTER_SHARE;
        let adapter = wants_adapter
            .then(|| habit.adapters[random.next_below(habit.adapters.len())].name.clone());
        let any = self.callers[random.next_below(self.callers.len())].clone();
        TraceArrival {
            at_ms: (at_s * 1_000.0) as u64,
            caller: caller.unwrap_or(any),
            service: habit.service.clone(),
            model: habit.model.clone(),
            adapter,
            centre: random.next_below(self.centres),
            tokens_in,
            tokens_out,
        }
    }
}

impl ModelHabit {
    fn draw(
        site: &SitePlan,
        service: &ServiceSpec,
        model: &ModelName,
        sessions: f64,
        random: &mut SeededRandom,
    ) -> Self {
        let rank = site.text.ranks.iter().position(|rank| rank.name == service.rank);
        let zone = TimeZoneDatabase::bundled().get(&service.time_zone).unwrap_or(TimeZone::UTC);
        let adapters = site.text.adapters.iter().filter(|adapter| &adapter.model == model);
        Self {
            service: service.name.clone(),
            rank: rank.unwrap_or(0),
            model: model.clone(),
            adapters: adapters.cloned().collect(),
            zone,
            sessions,
            hour: 7.0 + 13.0 * random.next_unit(),
            every_day: random.next_unit() < 0.6,
            weekday: random.next_below(5),
        }
    }

    /// Sessions that begin within the step at `at`, on average.
    fn expected(&self, at: Timestamp) -> f64 {
        let local = self.zone.to_datetime(at);
        let hour = f64::from(local.hour()) + f64::from(local.minute()) / 60.0;
        let weekday = usize::from(local.weekday().to_monday_zero_offset().unsigned_abs());
        let away = (hour - self.hour) / OWN_SPREAD_H;
        let own_day = if self.every_day || weekday == self.weekday { 1.0 } else { 0.0 };
        let days = if self.every_day { 1.0 } else { 7.0 };
        let own = own_day * days * (-0.5 * away * away).exp() / (OWN_SPREAD_H * TAU.sqrt());
        let hourly = OWN_SHARE * own + (1.0 - OWN_SHARE) * service_day(self.rank, hour, weekday);
        self.sessions * hourly * STEP_S as f64 / 3_600.0
    }
}

/// How a service's sessions spread over the hours of a day; sums to about 1 on a workday.
fn service_day(rank: usize, hour: f64, weekday: usize) -> f64 {
    let weekend = if weekday >= 5 { 0.6 } else { 1.0 };
    let open = (7.0..22.0).contains(&hour);
    let bump = |centre: f64, spread: f64| {
        let away = (hour - centre) / spread;
        (-0.5 * away * away).exp() / (spread * TAU.sqrt())
    };
    let day = match rank {
        0 => {
            0.45 * bump(8.5, 1.0) + 0.35 * bump(19.0, 1.5) + 0.2 / 15.0 * f64::from(u8::from(open))
        }
        1 => 0.6 * bump(10.0, 1.5) + 0.4 * bump(16.0, 1.5),
        _ => 0.5 * bump(14.0, 3.0) + 0.5 / 24.0,
    };
    weekend * day
}

fn draw_tokens(rank: usize, random: &mut SeededRandom) -> (u32, u32) {
    let vary = 0.5 + random.next_unit();
    let (tokens_in, tokens_out) = match rank {
        0 => (600.0, 150.0),
        1 => (300.0, 50.0),
        _ => (4_000.0, 600.0),
    };
    ((tokens_in * vary) as u32, (tokens_out * vary) as u32)
}

/// Mean number of requests of a session.
fn mean_requests() -> f64 {
    let burst = 2.0 + (BURST_SIZE - 2) as f64 / 2.0;
    1.0 - BURST_SHARE + BURST_SHARE * burst + FOLLOWING
}

fn draw_poisson(mean: f64, random: &mut SeededRandom) -> u32 {
    let limit = (-mean).exp();
    let mut product = random.next_unit();
    let mut count = 0;
    while product > limit && count < 1_000 {
        product *= random.next_unit();
        count += 1;
    }
    count
}
