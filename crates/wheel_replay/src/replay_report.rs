//! Results of a replay.

use std::time::Duration;

use hdrhistogram::Histogram;
use wheel_types::MonotonicTime;

use crate::call_record::{CallOutcome, CallRecord};
use crate::replay_run::{ReplayRun, TRACE_START};
use crate::{ReplayPolicy, TraceHeader, WakeReport};

/// Current target for the time to the first byte.
const FIRST_BYTE_TARGET: Duration = Duration::from_millis(1_400);
/// Share of the wake-ups whose causes are reported.
const SLOW_SHARE: f64 = 0.05;
/// How late an answer or refusal may be without counting as late: the time of a hop.
const LATE_TOLERANCE: Duration = Duration::from_millis(50);

/// The measures of one trace under one policy.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// The policy.
    pub policy: ReplayPolicy,
    /// Waits for loads of requests that ended an idle period of their model, or came right after
    /// one that did.
    pub wake_wait: WaitQuantiles,
    /// Waits for loads of all requests.
    pub all_wait: WaitQuantiles,
    /// Accelerator hours in which models were loaded and no request ran.
    pub idle_hours: f64,
    /// Accelerator hours in which models were loaded.
    pub loaded_hours: f64,
    /// By rank, most urgent first.
    pub ranks: Vec<RankReport>,
    /// By rank, of requests that arrived during floods; empty without floods.
    pub flood_ranks: Vec<RankReport>,
    /// Retries of refused requests.
    pub retries: u64,
    /// Retries that were answered in time.
    pub retries_in_time: u64,
    /// Loads.
    pub loads: u64,
    /// Unloads.
    pub unloads: u64,
    /// Adapter loads.
    pub adapter_loads: u64,
    /// Loads that were aborted because their engine was lost.
    pub lost_loads: u64,
    /// Requests that were neither answered nor refused.
    pub unanswered: u64,
    /// Requests that were answered or refused after their deadline.
    pub late: u64,
    /// Violated limits: memory, replicas, models unloaded while in use.
    pub violations: Vec<String>,
    /// Causes of the longest waits of wake-ups.
    pub slow_wakes: WakeReport,
}

/// Quantiles of a wait, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitQuantiles {
    /// Number of requests.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// The measures of one rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankReport {
    /// The rank's name.
    pub name: String,
    /// Requests without retries.
    pub offered: u64,
    /// Requests answered with their first byte by their deadline.
    pub in_time: u64,
    /// Requests answered with their first byte within the current target as well.
    pub on_target: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests that ended with an unknown outcome.
    pub unknown: u64,
    /// Time to the first byte, in milliseconds.
    pub first_byte: WaitQuantiles,
}

impl ReplayReport {
    pub(crate) fn new(policy: ReplayPolicy, header: &TraceHeader, run: &ReplayRun<'_>) -> Self {
        let first: Vec<&CallRecord> =
            run.calls.iter().filter(|call| call.retry_of.is_none()).collect();
        let retries: Vec<&CallRecord> =
            run.calls.iter().filter(|call| call.retry_of.is_some()).collect();
        let waits = cold_waits(&run.calls);
        let wake_ups = waits.iter().zip(&run.calls).filter(|(_, call)| call.is_wake_up);
        let in_flood = |call: &&&CallRecord| is_in_flood(header, call.arrived_at);
        let flooded: Vec<&CallRecord> = first.iter().filter(in_flood).copied().collect();
        let ranks = |calls: &[&CallRecord]| -> Vec<RankReport> {
            let specs = run.site.manifest.ranks.iter().enumerate();
            specs.map(|(index, spec)| RankReport::new(&spec.name, index, calls)).collect()
        };
        Self {
            policy,
            wake_wait: WaitQuantiles::of(wake_ups.filter_map(|(wait, _)| *wait)),
            all_wait: WaitQuantiles::of(waits.iter().filter_map(|wait| *wait)),
            idle_hours: run.engines.iter().map(|engine| engine.idle_s).sum::<f64>() / 3_600.0,
            loaded_hours: run.engines.iter().map(|engine| engine.loaded_s).sum::<f64>() / 3_600.0,
            ranks: ranks(&first),
            flood_ranks: if flooded.is_empty() { Vec::new() } else { ranks(&flooded) },
            retries: retries.len() as u64,
            retries_in_time: retries.iter().filter(|call| call.in_time()).count() as u64,
            loads: run.counts.loads,
            unloads: run.counts.unloads,
            adapter_loads: run.counts.adapter_loads,
            lost_loads: run.counts.lost_loads,
            unanswered: run.calls.iter().filter(|call| call.outcome.is_none()).count() as u64,
            late: run.calls.iter().filter(|call| is_late(call)).count() as u64,
            violations: run.counts.violations.clone(),
            slow_wakes: WakeReport::new(run, &waits, SLOW_SHARE),
        }
    }

    /// A measure by its name: `broken`, `silent`, `late`, `idle_hours`, `loads`, `lost_loads`,
    /// `return_share`, `wake_p95_ms`, `wake_p99_ms`, and for each rank `NAME.in_time`,
    /// `NAME.on_target`, `NAME.p95_ms`, with the prefix `flood.` for requests in floods.
    pub fn measure(&self, name: &str) -> Option<f64> {
        match name {
            "broken" => Some(self.violations.len() as f64),
            "silent" => Some(self.unanswered as f64),
            "late" => Some(self.late as f64),
            "idle_hours" => Some(self.idle_hours),
            "loads" => Some(self.loads as f64),
            "lost_loads" => Some(self.lost_loads as f64),
            "return_share" => Some(self.retry_share()),
            "wake_p95_ms" => Some(self.wake_wait.p95),
            "wake_p99_ms" => Some(self.wake_wait.p99),
            name => match name.strip_prefix("flood.") {
                Some(name) => rank_measure(&self.flood_ranks, name),
                None => rank_measure(&self.ranks, name),
            },
        }
    }

    /// Share of retries that were answered in time; 1 without retries.
    pub fn retry_share(&self) -> f64 {
        share(self.retries_in_time, self.retries)
    }
}

impl WaitQuantiles {
    fn of(waits: impl Iterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Self::default() };
        for wait in waits {
            let _ = histogram.record(wait.as_micros() as u64);
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self { count: histogram.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99), max: at(1.0) }
    }
}

impl RankReport {
    fn new(name: &str, index: usize, calls: &[&CallRecord]) -> Self {
        let own: Vec<&&CallRecord> =
            calls.iter().filter(|call| call.rank.index() == index).collect();
        let count = |test: &dyn Fn(&CallRecord) -> bool| {
            own.iter().filter(|call| test(call)).count() as u64
        };
        let first_bytes = own.iter().filter(|call| call.outcome == Some(CallOutcome::Served));
        let waits =
            first_bytes.filter_map(|call| call.first_byte.map(|at| at.since(call.arrived_at)));
        let on_target = |call: &CallRecord| {
            call.in_time()
                && call.first_byte.is_some_and(|at| at.since(call.arrived_at) <= FIRST_BYTE_TARGET)
        };
        Self {
            name: name.to_owned(),
            offered: own.len() as u64,
            in_time: count(&CallRecord::in_time),
            on_target: count(&on_target),
            refused: count(&|call| matches!(call.outcome, Some(CallOutcome::Refused { .. }))),
            unknown: count(&|call| call.outcome == Some(CallOutcome::Unknown)),
            first_byte: WaitQuantiles::of(waits),
        }
    }

    /// Share of requests that were answered in time; 1 without requests.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time, self.offered)
    }
}

/// The time that each request waited for loads from its caller's view: if it was refused, it lasts
/// until its retry is accepted or refused as well. `None` for retries.
fn cold_waits(calls: &[CallRecord]) -> Vec<Option<Duration>> {
    let mut waits: Vec<Option<Duration>> =
        calls.iter().map(|call| call.retry_of.is_none().then_some(call.cold_wait)).collect();
    for retry in calls {
        let Some(first) = retry.retry_of else { continue };
        if calls[first].cold_refused {
            let until_retry = retry.arrived_at.since(calls[first].arrived_at);
            waits[first] = Some(until_retry + retry.cold_wait);
        }
    }
    waits
}

fn is_late(call: &CallRecord) -> bool {
    let limit = call.deadline + LATE_TOLERANCE;
    match call.outcome {
        Some(CallOutcome::Served) => call.first_byte.is_some_and(|at| at > limit),
        Some(CallOutcome::Refused { at, .. }) => at > limit,
        Some(CallOutcome::Unknown) | None => false,
    }
}

fn is_in_flood(header: &TraceHeader, arrived_at: MonotonicTime) -> bool {
    let floods = header.generator.iter().flat_map(|plan| &plan.floods);
    let arrived_s = arrived_at.since(TRACE_START).as_secs();
    floods.into_iter().any(|flood| (flood.from_s..flood.from_s + flood.for_s).contains(&arrived_s))
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}

fn rank_measure(ranks: &[RankReport], name: &str) -> Option<f64> {
    let (rank, measure) = name.split_once('.')?;
    let report = ranks.iter().find(|report| report.name == rank)?;
    match measure {
        "in_time" => Some(report.in_time_share()),
        "on_target" => Some(share(report.on_target, report.offered)),
        "p95_ms" => Some(report.first_byte.p95),
        _ => None,
    }
}
