//! Computes the speeds of upstreams from what all instances measured.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{EngineId, EngineSpeed, RateReport, ServiceRates, SpeedReport};
use wheel_types::MonotonicTime;

/// Time after which a measurement of an upstream counts half. Upstreams turn slow for seconds.
const ENGINE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Time after which a measurement of a service's rates counts half.
const RATE_HALF_LIFE: Duration = Duration::from_secs(30);
/// Pauses between events that count as much as one late wait; about half a short stream.
const PAUSES_PER_SAMPLE: f64 = 8.0;
/// Weight of the assumption that an upstream has the usual speed, in samples. One late wait alone
/// counts half.
const PRIOR_SAMPLES: f64 = 1.0;
/// Pauses from which on the mean pause of an upstream counts among those of its peers.
const MIN_PAUSES: f64 = 4.0;
/// How many times one late wait halves the weight of earlier good measurements, and one that isn't
/// late that of earlier late ones.
const CONTRADICTION: f64 = 1.0;
/// Upstreams below which there is no usual pause.
const MIN_PEERS: usize = 2;
/// Ratio to the usual speed beyond which an upstream is listed.
const LISTED_RATIO: f64 = 1.2;
/// Listed speeds are multiples of this, in percent, so that they don't change at each report.
const PERCENT_STEP: f64 = 5.0;
/// Bounds of listed speeds, in percent.
const PERCENT_BOUNDS: [f64; 2] = [5.0, 300.0];
/// Remaining samples below which an upstream is forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// First events from which on the rates of a service are known.
const MIN_FIRSTS: f32 = 8.0;
/// Variance of prompts, in thousands of tokens squared, below which the time to read them can't be
/// told from the rest.
const MIN_VARIANCE: f32 = 0.002;
/// Share of the time to the first event that reading the prompt is taken to need then.
const READING_SHARE: f32 = 0.5;

/// Decayed sums of one upstream.
#[derive(Clone, Debug)]
struct EngineSums {
    service: Arc<str>,
    waits: f64,
    late_waits: f64,
    late_log: f64,
    pauses: f64,
    pause_ms: f64,
    updated: MonotonicTime,
}

/// Decayed sums of one service, and the last rates that followed from enough of them.
#[derive(Clone, Debug, Default)]
struct ServiceSums {
    sums: RateReport,
    updated: MonotonicTime,
}

/// Sums of all upstreams of a service, with which each one is compared.
#[derive(Clone, Debug, Default)]
struct PeerSums {
    waits: f64,
    late_log: f64,
    mean_pauses: Vec<f64>,
}

/// Sums up the measurements of instances, so that later ones count more.
///
/// The load that it answers: an upstream turns slow or silent, and each instance has sent it at most
/// one of the requests that wait there.
///
/// Holds the upstreams that were measured in the last half minute.
#[derive(Clone, Debug, Default)]
pub struct SpeedLedger {
    engines: HashMap<EngineId, EngineSums>,
    services: BTreeMap<Arc<str>, ServiceSums>,
    /// What was recorded since the last [`take_reports`](Self::take_reports).
    unforwarded: (BTreeMap<EngineId, SpeedReport>, BTreeMap<Arc<str>, RateReport>),
}

impl EngineSums {
    fn decay(&mut self, now: MonotonicTime) {
        let factor = decay_factor(now, self.updated, ENGINE_HALF_LIFE);
        self.updated = now;
        for sum in [
            &mut self.waits,
            &mut self.late_waits,
            &mut self.late_log,
            &mut self.pauses,
            &mut self.pause_ms,
        ] {
            *sum *= factor;
        }
    }

    /// Weakens what contradicts a report. An upstream that answered hundreds of requests well a
    /// moment ago and is silent now must be known after two or three; one that answers again, too.
    fn weaken(&mut self, report: &SpeedReport) {
        let on_time = report.waits.saturating_sub(report.late_waits);
        let remaining = |count: u32| (-f64::from(count) * CONTRADICTION).exp2();
        for sum in [&mut self.waits, &mut self.pauses, &mut self.pause_ms] {
            *sum *= remaining(report.late_waits);
        }
        for sum in [&mut self.late_waits, &mut self.late_log] {
            *sum *= remaining(on_time);
        }
        self.waits = self.waits.max(self.late_waits);
    }

    fn mean_pause(&self) -> Option<f64> {
        (self.pauses > 0.0).then(|| self.pause_ms / self.pauses)
    }

    /// Speed relative to that of its peers. Lateness that all of them share isn't this upstream's.
    fn speed(&self, peers: &PeerSums) -> f64 {
        let other_waits = peers.waits - self.waits;
        let others_log = (peers.late_log - self.late_log).max(0.0);
        let shared_log = if other_waits > 0.5 { others_log / other_waits } else { 0.0 };
        let late_log = (self.late_log - shared_log * self.late_waits).max(0.0);
        let usual_pause = peers.usual_pause();
        let pause_log = self.mean_pause().zip(usual_pause).map(|(own, usual)| (own / usual).ln());
        let pause_samples = pause_log.map_or(0.0, |_| self.pauses / PAUSES_PER_SAMPLE);
        let log = pause_samples * pause_log.unwrap_or_default() + late_log;
        (-log / (pause_samples + self.late_waits + PRIOR_SAMPLES)).exp()
    }
}

impl PeerSums {
    /// The median of the upstreams' mean pauses, the lower one of two.
    fn usual_pause(&self) -> Option<f64> {
        let count = self.mean_pauses.len();
        let median = self.mean_pauses.get(count.saturating_sub(1) / 2).copied();
        median.filter(|pause| count >= MIN_PEERS && *pause > 0.0)
    }
}

impl SpeedLedger {
    /// Adds measurements.
    pub fn record(&mut self, now: MonotonicTime, speeds: &[SpeedReport], rates: &[RateReport]) {
        for report in speeds {
            let sums = self.engines.entry(report.engine.clone()).or_insert_with(|| EngineSums {
                service: Arc::clone(&report.service),
                waits: 0.0,
                late_waits: 0.0,
                late_log: 0.0,
                pauses: 0.0,
                pause_ms: 0.0,
                updated: now,
            });
            sums.decay(now);
            sums.weaken(report);
            sums.waits += f64::from(report.waits);
            sums.late_waits += f64::from(report.late_waits);
            sums.late_log += f64::from(report.late_log);
            sums.pauses += f64::from(report.pauses);
            sums.pause_ms += f64::from(report.pause_ms);
            let unforwarded = self.unforwarded.0.entry(report.engine.clone());
            unforwarded.and_modify(|sum| sum.merge(report)).or_insert_with(|| report.clone());
        }
        for report in rates {
            let sums = self.services.entry(Arc::clone(&report.service)).or_default();
            sums.sums.service = Arc::clone(&report.service);
            sums.sums.scale(decay_factor(now, sums.updated, RATE_HALF_LIFE) as f32);
            sums.updated = now;
            sums.sums.merge(report);
            let unforwarded = self.unforwarded.1.entry(Arc::clone(&report.service));
            unforwarded.and_modify(|sum| sum.merge(report)).or_insert_with(|| report.clone());
        }
    }

    /// What was recorded since the last call, for another ledger. Sums that get lost on the way are
    /// replaced by later ones.
    pub fn take_reports(&mut self) -> (Vec<SpeedReport>, Vec<RateReport>) {
        let (speeds, rates) = std::mem::take(&mut self.unforwarded);
        (speeds.into_values().collect(), rates.into_values().collect())
    }

    /// Forgets upstreams that aren't listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|engine, _| is_listed(engine));
        self.unforwarded.0.retain(|engine, _| is_listed(engine));
    }

    /// Discards what was recorded for another ledger, while there is none.
    pub fn discard_reports(&mut self) {
        self.unforwarded = Default::default();
    }

    /// The upstreams whose speed differs from that of their peers by more than a fifth, in the order
    /// of their ids, and the rates of all services that are known.
    pub fn publish(&mut self, now: MonotonicTime) -> (Vec<EngineSpeed>, Vec<ServiceRates>) {
        self.engines.values_mut().for_each(|sums| sums.decay(now));
        self.engines.retain(|_, sums| {
            sums.waits + sums.late_waits + sums.pauses / PAUSES_PER_SAMPLE > MIN_WEIGHT
        });
        let peers = self.peers();
        let mut speeds: Vec<EngineSpeed> = self
            .engines
            .iter()
            .filter_map(|(engine, sums)| {
                let percent = listed_percent(sums.speed(peers.get(&sums.service)?))?;
                Some(EngineSpeed { engine: engine.clone(), percent })
            })
            .collect();
        speeds.sort_by(|left, right| left.engine.cmp(&right.engine));
        let rates = self.services.values().filter_map(|service| {
            let pause = peers.get(&service.sums.service).and_then(PeerSums::usual_pause);
            rates_from(&service.sums, pause)
        });
        (speeds, rates.collect())
    }

    fn peers(&self) -> HashMap<Arc<str>, PeerSums> {
        let mut peers: HashMap<Arc<str>, PeerSums> = HashMap::new();
        for sums in self.engines.values() {
            let service = peers.entry(Arc::clone(&sums.service)).or_default();
            service.waits += sums.waits;
            service.late_log += sums.late_log;
            let mean_pause = sums.mean_pause().filter(|_| sums.pauses >= MIN_PAUSES);
            service.mean_pauses.extend(mean_pause);
        }
        for service in peers.values_mut() {
            service.mean_pauses.sort_by(f64::total_cmp);
        }
        peers
    }
}

/// The speed in percent as listed; `None` if it counts as the usual one.
fn listed_percent(speed: f64) -> Option<u16> {
    let is_listed = !(1.0 / LISTED_RATIO..=LISTED_RATIO).contains(&speed);
    let percent = (speed * 100.0 / PERCENT_STEP).round() * PERCENT_STEP;
    is_listed.then(|| percent.clamp(PERCENT_BOUNDS[0], PERCENT_BOUNDS[1]) as u16)
}

/// The rates by a linear regression of the time to the first event over the prompt's tokens.
fn rates_from(sums: &RateReport, pause: Option<f64>) -> Option<ServiceRates> {
    if sums.firsts < MIN_FIRSTS {
        return None;
    }
    let (mean_ms, mean_tokens) = (sums.first_ms / sums.firsts, sums.kilotokens / sums.firsts);
    let variance = sums.kilotokens_squared / sums.firsts - mean_tokens * mean_tokens;
    let covariance = sums.kilotokens_ms / sums.firsts - mean_tokens * mean_ms;
    let most = if mean_tokens > 0.0 { mean_ms / mean_tokens } else { 0.0 };
    let kilotoken_ms = match variance > MIN_VARIANCE {
        true => (covariance / variance).clamp(0.0, most),
        false => most * READING_SHARE,
    };
    Some(ServiceRates {
        service: Arc::clone(&sums.service),
        first_ms: (mean_ms - kilotoken_ms * mean_tokens).max(1.0),
        token_ms: kilotoken_ms / 1_000.0,
        pause_ms: pause.unwrap_or_default() as f32,
        serve_ms: if sums.serves > 0.0 { sums.serve_ms / sums.serves } else { mean_ms },
    })
}

fn decay_factor(now: MonotonicTime, since: MonotonicTime, half_life: Duration) -> f64 {
    (-(now.since(since).as_secs_f64() / half_life.as_secs_f64())).exp2()
}
