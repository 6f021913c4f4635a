//! Rates at which requests for models arrive.

use std::collections::{BTreeMap, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

use wheel_route::DemandKey;
use wheel_types::MonotonicTime;

/// Time constant of the rates: some loads from the weight store, so that a rare model's requests
/// before and during a load count together.
const RATE_TIME_S: f64 = 20.0;
/// Weight of the mean rate of all models against a model's own arrivals, in arrivals. Less than one,
/// since a few models get most requests.
const PRIOR_ARRIVALS: f64 = 0.3;
/// Minimum time that the counts are taken to cover, in seconds.
const MIN_AGE_S: f64 = 1.0;
/// Number of models kept before those without recent arrivals are dropped.
const MAX_FLOWS: usize = 2_048;
/// Decayed number of arrivals below which a model counts as not requested recently.
const MIN_ARRIVALS: f64 = 0.05;

/// A number of arrivals that decays.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedCount {
    count: f64,
    updated: MonotonicTime,
}

/// Estimates how often requests for a model arrive at one instance. One instance of many sees few
/// requests for a rare model, so its own count is weighed against the mean over all models.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalRates {
    flows: HashMap<DemandKey, BTreeMap<u8, DecayedCount>>,
    total: DecayedCount,
    /// When the first request arrived.
    began: Option<MonotonicTime>,
}

impl DecayedCount {
    fn at(&self, now: MonotonicTime) -> f64 {
        self.count * (-now.since(self.updated).as_secs_f64() / RATE_TIME_S).exp()
    }

    fn add(&mut self, now: MonotonicTime) {
        *self = Self { count: self.at(now) + 1.0, updated: now };
    }
}

impl ArrivalRates {
    /// Counts a request of `rank` for `target`.
    pub(crate) fn record(&mut self, now: MonotonicTime, target: &DemandKey, rank: u8) {
        self.began.get_or_insert(now);
        self.total.add(now);
        self.flows.entry(target.clone()).or_default().entry(rank).or_default().add(now);
        if self.flows.len() > MAX_FLOWS {
            let is_recent = |flow: &DecayedCount| flow.at(now) >= MIN_ARRIVALS;
            self.flows.retain(|_, flows| flows.values().any(is_recent));
        }
    }

    /// Whether requests of `ranks` for `target` have arrived recently, or may have arrived before this
    /// instance started.
    pub(crate) fn recent(
        &self,
        now: MonotonicTime,
        target: &DemandKey,
        ranks: RangeInclusive<u8>,
    ) -> bool {
        if self.began.is_none_or(|began| now.since(began).as_secs_f64() < RATE_TIME_S) {
            return true;
        }
        let flows = self.flows.get(target);
        let counts = flows.into_iter().flat_map(|flows| flows.range(ranks.clone()));
        counts.map(|(_, flow)| flow.at(now)).sum::<f64>() >= MIN_ARRIVALS
    }

    /// Requests of `ranks` for `target` that probably arrived at one other instance within `span`.
    pub(crate) fn expected(
        &self,
        now: MonotonicTime,
        target: &DemandKey,
        ranks: RangeInclusive<u8>,
        span: Duration,
    ) -> f64 {
        let Some(flows) = self.flows.get(target) else { return 0.0 };
        let own: f64 = flows.range(ranks).map(|(_, flow)| flow.at(now)).sum();
        let mean = self.total.at(now) / self.flows.len().max(1) as f64;
        if own <= 0.0 || mean <= 0.0 {
            return 0.0;
        }
        // Soon after the start, the counts cover less than the time constant.
        let age = self.began.map_or(0.0, |began| now.since(began).as_secs_f64()).max(MIN_AGE_S);
        let covered = RATE_TIME_S * (1.0 - (-age / RATE_TIME_S).exp());
        let rate = (own + PRIOR_ARRIVALS) / (covered * (1.0 + PRIOR_ARRIVALS / mean));
        rate * span.as_secs_f64()
    }
}
