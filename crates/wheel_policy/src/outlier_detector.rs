//! Detects upstreams that fail or are much slower than the others.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_types::{MonotonicTime, UpstreamName};

use crate::moving_average::MovingAverage;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Samples before an upstream's averages can eject it.
const MIN_SAMPLES: u32 = 10;
/// Each further ejection lasts longer than the one before, up to this many times the first.
const MAX_BACKOFF: u32 = 16;

/// Settings of an [`OutlierDetector`].
#[derive(Clone, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Number of consecutive failures that ejects an upstream.
    pub consecutive_failures: u32,
    /// Share of failures that ejects an upstream.
    pub failure_share: f64,
    /// An upstream this many times slower than the average of the others is ejected.
    pub slow_factor: f64,
    /// Largest share of the upstreams that may be ejected at once.
    pub max_ejected_share: f64,
    /// How long the first ejection lasts before a probe.
    pub base_ejection_time: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            failure_share: 0.5,
            slow_factor: 5.0,
            max_ejected_share: 0.3,
            base_ejection_time: Duration::from_secs(5),
        }
    }
}

/// Ejects upstreams by errors and latency, never more than a share of them, and readmits them after
/// a successful probe.
///
/// Its table grows with the upstreams that were used; [`Self::remove_upstream`] shrinks it.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    records: BTreeMap<UpstreamName, UpstreamRecord>,
    ejected: usize,
    /// Sum of the upstreams' average latencies.
    latency_sum_s: f64,
}

/// Measurements and ejection state of one upstream.
#[derive(Clone, Debug)]
struct UpstreamRecord {
    consecutive_failures: u32,
    /// Consecutive failures before the last success.
    failures_before_success: u32,
    failure_share: MovingAverage,
    latency_s: MovingAverage,
    ejections: u32,
    probe_at: Option<MonotonicTime>,
    probing: bool,
}

impl OutlierDetector {
    /// Creates a detector without measurements.
    pub fn open(settings: OutlierSettings) -> Self {
        Self { settings, records: BTreeMap::new(), ejected: 0, latency_sum_s: 0.0 }
    }

    /// Counts the end of a call to an upstream, and how long its first byte took.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        upstream: &UpstreamName,
        latency: Duration,
        succeeded: bool,
    ) {
        if succeeded {
            self.observe_latency(upstream, latency);
        }
        self.observe_end(now, upstream, succeeded);
    }

    /// Counts how long the first byte of a call took; [`Self::observe_end`] evaluates it.
    pub fn observe_latency(&mut self, upstream: &UpstreamName, latency: Duration) {
        let record = self.records.entry(upstream.clone()).or_default();
        let before_s = record.latency_s.value();
        record.latency_s.add(latency.as_secs_f64());
        self.latency_sum_s += record.latency_s.value() - before_s;
    }

    /// Counts the end of a call to an upstream.
    pub fn observe_end(&mut self, now: MonotonicTime, upstream: &UpstreamName, succeeded: bool) {
        let record = self.records.entry(upstream.clone()).or_default();
        record.failures_before_success = if succeeded { record.consecutive_failures } else { 0 };
        record.consecutive_failures = if succeeded { 0 } else { record.consecutive_failures + 1 };
        record.failure_share.add(if succeeded { 0.0 } else { 1.0 });
        let (ejected, probing) = (record.probe_at.is_some(), record.probing);
        match ejected {
            true if probing && succeeded => self.readmit(upstream),
            true if probing => self.eject(now, upstream),
            true => {}
            false if self.is_outlier(upstream) && self.may_eject() => self.eject(now, upstream),
            false => {}
        }
    }

    /// Counts an answer as a failure whose head was counted as a success.
    pub fn observe_false_answer(&mut self, now: MonotonicTime, upstream: &UpstreamName) {
        let record = self.records.entry(upstream.clone()).or_default();
        record.consecutive_failures += record.failures_before_success;
        self.observe_end(now, upstream, false);
    }

    /// Whether an upstream is ejected and gets only probes.
    pub fn is_ejected(&self, _now: MonotonicTime, upstream: &UpstreamName) -> bool {
        self.records.get(upstream).is_some_and(|record| record.probe_at.is_some())
    }

    /// Whether an ejected upstream should get one request as a probe.
    pub fn wants_probe(&self, now: MonotonicTime, upstream: &UpstreamName) -> bool {
        let record = self.records.get(upstream);
        record.is_some_and(|record| record.probe_at.is_some_and(|probe_at| probe_at <= now))
    }

    /// Counts a probe that is sent; another one follows only if this one never ends.
    pub fn begin_probe(&mut self, now: MonotonicTime, upstream: &UpstreamName) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.probing = true;
            record.probe_at = Some(now + self.settings.base_ejection_time);
        }
    }

    /// Number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Removes an upstream's measurements and ejection state.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        let Some(record) = self.records.remove(upstream) else { return };
        self.ejected -= usize::from(record.probe_at.is_some());
        self.latency_sum_s -= record.latency_s.value();
    }

    fn is_outlier(&self, upstream: &UpstreamName) -> bool {
        let Some(record) = self.records.get(upstream) else { return false };
        let settings = &self.settings;
        match record {
            record if record.consecutive_failures >= settings.consecutive_failures => true,
            record if record.failure_share.samples() < MIN_SAMPLES => false,
            record if record.failure_share.value() >= settings.failure_share => true,
            record => self.is_slow(record.latency_s.value()),
        }
    }

    /// Whether an average latency exceeds that of the other upstreams by `slow_factor`.
    fn is_slow(&self, latency_s: f64) -> bool {
        let others = self.records.len().saturating_sub(1) as f64;
        let others_sum_s = self.latency_sum_s - latency_s;
        others > 0.0 && latency_s * others > self.settings.slow_factor * others_sum_s
    }

    fn may_eject(&self) -> bool {
        let share = (self.ejected + 1) as f64 / self.records.len() as f64;
        share <= self.settings.max_ejected_share
    }

    fn eject(&mut self, now: MonotonicTime, upstream: &UpstreamName) {
        let Some(record) = self.records.get_mut(upstream) else { return };
        self.ejected += usize::from(record.probe_at.is_none());
        let backoff = (1 << record.ejections.min(8)).min(MAX_BACKOFF);
        record.ejections += 1;
        record.probing = false;
        record.probe_at = Some(now + self.settings.base_ejection_time * backoff);
    }

    fn readmit(&mut self, upstream: &UpstreamName) {
        let Some(record) = self.records.get_mut(upstream) else { return };
        let ejections = record.ejections.saturating_sub(1);
        self.latency_sum_s -= record.latency_s.value();
        *record = UpstreamRecord { ejections, ..UpstreamRecord::default() };
        self.ejected -= 1;
    }
}

impl Default for UpstreamRecord {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            failures_before_success: 0,
            failure_share: new_average(),
            latency_s: new_average(),
            ejections: 0,
            probe_at: None,
            probing: false,
        }
    }
}

fn new_average() -> MovingAverage {
    MovingAverage::new(0.0, SAMPLE_WEIGHT)
}
