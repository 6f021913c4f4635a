//! Generation of demand that follows local time.

use std::f64::consts::TAU;

use jiff::Timestamp;
use jiff::tz::{TimeZone, TimeZoneDatabase};
use wheel_manifest::{AdapterSpec, ServiceSpec};
use wheel_policy::SeededRandom;
use wheel_types::{CallerName, ModelName, ServiceName};

use crate::{FloodPlan, GeneratorPlan, SitePlan, TraceArrival, TraceHeader};

/// Length of the steps in which sessions are sampled, in seconds.
const STEP_S: i64 = 300;
/// Exponent of the Zipf distribution of the models' popularity.
const ZIPF_EXPONENT: f64 = 0.9;
/// Share of a model's sessions that begin around its peak hour.
const PEAK_SHARE: f64 = 0.7;
/// Standard deviation of their start from that hour, in hours.
const PEAK_SPREAD_H: f64 = 1.2;
/// Share of sessions that begin with a burst of requests.
const BURST_SHARE: f64 = 0.3;
/// Maximum number of requests in such a burst.
const MAX_BURST_SIZE: usize = 5;
/// Mean number of follow-up requests in a session, and mean time between two, in seconds.
const MEAN_FOLLOW_UPS: f64 = 4.0;
const MEAN_THINK_TIME_S: f64 = 30.0;
/// Share of requests that use an adapter if their model has one.
const ADAPTER_SHARE: f64 = 0.5;

/// Generates the arrivals of a [`GeneratorPlan`].
///
/// A model's sessions follow the daily profile of its service, and a part of them a peak hour and
/// weekday of the model. Each session is a burst or a single request, and follow-ups after pauses.
#[derive(Clone, Debug)]
pub struct DemandGenerator<'a> {
    plan: &'a GeneratorPlan,
    callers: Vec<CallerName>,
    patterns: Vec<RequestPattern>,
    start: Timestamp,
    span_s: i64,
    centres: usize,
}

/// When one model is requested, and the kind of its requests.
#[derive(Clone, Debug)]
struct RequestPattern {
    service: ServiceName,
    rank: usize,
    model: ModelName,
    adapters: Vec<AdapterSpec>,
    zone: TimeZone,
    /// Mean number of sessions per day.
    sessions: f64,
    peak_hour: f64,
    every_day: bool,
    peak_weekday: usize,
}

impl<'a> DemandGenerator<'a> {
    /// Creates the generator of a trace's arrivals.
    pub fn new(site: &SitePlan, header: &TraceHeader, plan: &'a GeneratorPlan) -> Self {
        let mut random = SeededRandom::new(plan.seed ^ 0x5eed);
        let mut patterns = Vec::new();
        for (index, model) in site.manifest.models.iter().enumerate() {
            let owner = site.manifest.services.iter().find(|one| one.models.contains(&model.name));
            if let Some(service) = owner {
                let popularity = 1.0 / ((index + 1) as f64).powf(ZIPF_EXPONENT);
                let sessions = site.top_sessions * popularity * plan.scale;
                patterns.push(RequestPattern::sample(
                    site,
                    service,
                    &model.name,
                    sessions,
                    &mut random,
                ));
            }
        }
        Self {
            plan,
            callers: site.manifest.callers.iter().map(|caller| caller.name.clone()).collect(),
            patterns,
            start: header.start,
            span_s: (header.hours * 3_600.0) as i64,
            centres: site.manifest.centres.len(),
        }
    }

    /// Generates the arrivals, in order of time.
    pub fn arrivals(&self) -> Vec<TraceArrival> {
        let mut random = SeededRandom::new(self.plan.seed);
        let mut arrivals = Vec::new();
        for step in 0..self.span_s / STEP_S {
            let from_s = step * STEP_S;
            for pattern in &self.patterns {
                let count = sample_poisson(pattern.expected_sessions(self.at(from_s)), &mut random);
                for _ in 0..count {
                    let at_s = from_s as f64 + STEP_S as f64 * random.next_unit();
                    self.add_session(pattern, at_s, &mut random, &mut arrivals);
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

    /// Calls `record` with the number of requests of each model in each step of the weeks before
    /// the trace's start.
    pub fn history(&self, mut record: impl FnMut(Timestamp, &ServiceName, &ModelName, u32)) {
        let mut random = SeededRandom::new(self.plan.seed ^ 0x0b5e_55ed);
        let span_s = i64::from(self.plan.history_weeks) * 7 * 24 * 3_600;
        for step in (0..span_s / STEP_S).rev() {
            let at = self.at(-(step + 1) * STEP_S);
            for pattern in &self.patterns {
                let sessions = sample_poisson(pattern.expected_sessions(at), &mut random);
                let requests = f64::from(sessions) * mean_requests();
                if requests > 0.0 {
                    record(at, &pattern.service, &pattern.model, requests.round() as u32);
                }
            }
        }
    }

    fn at(&self, offset_s: i64) -> Timestamp {
        Timestamp::from_second(self.start.as_second() + offset_s).unwrap_or(self.start)
    }

    fn add_session(
        &self,
        pattern: &RequestPattern,
        at_s: f64,
        random: &mut SeededRandom,
        arrivals: &mut Vec<TraceArrival>,
    ) {
        let burst = random.next_unit() < BURST_SHARE;
        let first = if burst { 2 + random.next_below(MAX_BURST_SIZE - 1) } else { 1 };
        for _ in 0..first {
            let spread_s = 0.1 * random.next_unit();
            arrivals.push(self.arrival(pattern, at_s + spread_s, None, random));
        }
        let following = sample_poisson(MEAN_FOLLOW_UPS, random);
        let mut next_s = at_s;
        for _ in 0..following {
            next_s += -MEAN_THINK_TIME_S * (1.0 - random.next_unit()).ln();
            arrivals.push(self.arrival(pattern, next_s, None, random));
        }
    }

    fn add_flood(
        &self,
        flood: &FloodPlan,
        random: &mut SeededRandom,
        arrivals: &mut Vec<TraceArrival>,
    ) {
        let in_service =
            self.patterns.iter().filter(|pattern| pattern.service.as_str() == flood.service);
        let patterns: Vec<&RequestPattern> = in_service.take(flood.models).collect();
        let count = (flood.rate * flood.for_s as f64) as usize;
        for _ in 0..count {
            let at_s = flood.from_s as f64 + flood.for_s as f64 * random.next_unit();
            let pattern = patterns[random.next_below(patterns.len())];
            let caller = self.callers[random.next_below(flood.callers)].clone();
            arrivals.push(self.arrival(pattern, at_s, Some(caller), random));
        }
    }

    fn arrival(
        &self,
        pattern: &RequestPattern,
        at_s: f64,
        caller: Option<CallerName>,
        random: &mut SeededRandom,
    ) -> TraceArrival {
        let (tokens_in, tokens_out) = sample_tokens(pattern.rank, random);
        let wants_adapter = !pattern.adapters.is_empty() && random.next_unit() < ADAPTER_SHARE;
        let adapter = wants_adapter
            .then(|| pattern.adapters[random.next_below(pattern.adapters.len())].name.clone());
        let any = self.callers[random.next_below(self.callers.len())].clone();
        TraceArrival {
            at_ms: (at_s * 1_000.0) as u64,
            caller: caller.unwrap_or(any),
            service: pattern.service.clone(),
            model: pattern.model.clone(),
            adapter,
            centre: random.next_below(self.centres),
            tokens_in,
            tokens_out,
        }
    }
}

impl RequestPattern {
    fn sample(
        site: &SitePlan,
        service: &ServiceSpec,
        model: &ModelName,
        sessions: f64,
        random: &mut SeededRandom,
    ) -> Self {
        let rank = site.manifest.ranks.iter().position(|rank| rank.name == service.rank);
        let zone = TimeZoneDatabase::bundled().get(&service.time_zone).unwrap_or(TimeZone::UTC);
        let adapters = site.manifest.adapters.iter().filter(|adapter| &adapter.model == model);
        Self {
            service: service.name.clone(),
            rank: rank.unwrap_or(0),
            model: model.clone(),
            adapters: adapters.cloned().collect(),
            zone,
            sessions,
            peak_hour: 7.0 + 13.0 * random.next_unit(),
            every_day: random.next_unit() < 0.6,
            peak_weekday: random.next_below(5),
        }
    }

    /// Mean number of sessions that begin in the step at `at`.
    fn expected_sessions(&self, at: Timestamp) -> f64 {
        let local = self.zone.to_datetime(at);
        let hour = f64::from(local.hour()) + f64::from(local.minute()) / 60.0;
        let weekday = usize::from(local.weekday().to_monday_zero_offset().unsigned_abs());
        let distance = (hour - self.peak_hour) / PEAK_SPREAD_H;
        let peak_day = if self.every_day || weekday == self.peak_weekday { 1.0 } else { 0.0 };
        let days = if self.every_day { 1.0 } else { 7.0 };
        let peak =
            peak_day * days * (-0.5 * distance * distance).exp() / (PEAK_SPREAD_H * TAU.sqrt());
        let hourly =
            PEAK_SHARE * peak + (1.0 - PEAK_SHARE) * daily_profile(self.rank, hour, weekday);
        self.sessions * hourly * STEP_S as f64 / 3_600.0
    }
}

/// Share of a service's daily sessions that begin in an hour; the shares of a workday sum to about
/// 1.
fn daily_profile(rank: usize, hour: f64, weekday: usize) -> f64 {
    let weekend_factor = if weekday >= 5 { 0.6 } else { 1.0 };
    let open = (7.0..22.0).contains(&hour);
    let gaussian = |centre: f64, spread: f64| {
        let distance = (hour - centre) / spread;
        (-0.5 * distance * distance).exp() / (spread * TAU.sqrt())
    };
    let day = match rank {
        0 => {
            0.45 * gaussian(8.5, 1.0)
                + 0.35 * gaussian(19.0, 1.5)
                + 0.2 / 15.0 * f64::from(u8::from(open))
        }
        1 => 0.6 * gaussian(10.0, 1.5) + 0.4 * gaussian(16.0, 1.5),
        _ => 0.5 * gaussian(14.0, 3.0) + 0.5 / 24.0,
    };
    weekend_factor * day
}

fn sample_tokens(rank: usize, random: &mut SeededRandom) -> (u32, u32) {
    let factor = 0.5 + random.next_unit();
    let (tokens_in, tokens_out) = match rank {
        0 => (600.0, 150.0),
        1 => (300.0, 50.0),
        _ => (4_000.0, 600.0),
    };
    ((tokens_in * factor) as u32, (tokens_out * factor) as u32)
}

/// Mean number of requests in a session.
fn mean_requests() -> f64 {
    let burst = 2.0 + (MAX_BURST_SIZE - 2) as f64 / 2.0;
    1.0 - BURST_SHARE + BURST_SHARE * burst + MEAN_FOLLOW_UPS
}

fn sample_poisson(mean: f64, random: &mut SeededRandom) -> u32 {
    let limit = (-mean).exp();
    let mut product = random.next_unit();
    let mut count = 0;
    while product > limit && count < 1_000 {
        product *= random.next_unit();
        count += 1;
    }
    count
}
