//! What a replay showed.

use std::time::Duration;

use hdrhistogram::Histogram;
use wheel_types::MonotonicTime;

use crate::call_record::{CallEnding, CallRecord};
use crate::replay_run::{ReplayRun, TRACE_START};
use crate::{ReplayPolicy, TraceHeader};

/// First bytes after this time count as slow, as the target of today says.
const FIRST_BYTE_TARGET: Duration = Duration::from_millis(1_400);
/// How late an answer or refusal may be and still count as in time: a hop.
const FINAL_SLACK: Duration = Duration::from_millis(50);

/// The measures of one trace under one policy.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// The policy.
    pub policy: ReplayPolicy,
    /// Waits for loads of requests that ended a quiet spell, in milliseconds.
    pub wake_wait: WaitQuantiles,
    /// Waits for loads of all requests, in milliseconds.
    pub all_wait: WaitQuantiles,
    /// Accelerator hours in which models were held and nothing ran.
    pub idle_hours: f64,
    /// Accelerator hours in which models were held.
    pub held_hours: f64,
    /// By rank, most urgent first.
    pub ranks: Vec<RankReport>,
    /// By rank, of requests that came during floods; empty without floods.
    pub flood_ranks: Vec<RankReport>,
    /// Refused callers that came back when they were asked to.
    pub returns: u64,
    /// Those of them that were answered in time.
    pub returns_in_time: u64,
    /// Loads that were ordered.
    pub loads: u64,
    /// Unloads that were ordered.
    pub unloads: u64,
    /// Adapter loads.
    pub adapter_loads: u64,
    /// Loads that died with their engine.
    pub lost_loads: u64,
    /// Requests that were neither answered nor refused.
    pub silent: u64,
    /// Requests that were answered or refused after their deadline.
    pub late: u64,
    /// Bounds that were broken: memory, replicas, models unloaded in use.
    pub broken: Vec<String>,
}

/// Quantiles of a wait, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitQuantiles {
    /// Requests.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95 in 100 wait no longer.
    pub p95: f64,
    /// 99 in 100 wait no longer.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

/// The measures of one rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankReport {
    /// The rank's name.
    pub name: String,
    /// Requests, without returns.
    pub offered: u64,
    /// Answered with their first byte by their deadline.
    pub in_time: u64,
    /// Answered with their first byte by the target of today.
    pub on_target: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Ended with an unknown outcome.
    pub unknown: u64,
    /// Time to the first byte, in milliseconds.
    pub first_byte: WaitQuantiles,
}

impl ReplayReport {
    pub(crate) fn new(policy: ReplayPolicy, header: &TraceHeader, run: &ReplayRun<'_>) -> Self {
        let first: Vec<&CallRecord> =
            run.calls.iter().filter(|call| call.repeats.is_none()).collect();
        let returns: Vec<&CallRecord> =
            run.calls.iter().filter(|call| call.repeats.is_some()).collect();
        let waits = cold_waits(&run.calls);
        let wakes = waits.iter().zip(&run.calls).filter(|(_, call)| call.wakes);
        let in_flood = |call: &&&CallRecord| is_in_flood(header, call.came);
        let flooded: Vec<&CallRecord> = first.iter().filter(in_flood).copied().collect();
        let ranks = |calls: &[&CallRecord]| -> Vec<RankReport> {
            let specs = run.site.text.ranks.iter().enumerate();
            specs.map(|(index, spec)| RankReport::new(&spec.name, index, calls)).collect()
        };
        Self {
            policy,
            wake_wait: WaitQuantiles::of(wakes.filter_map(|(wait, _)| *wait)),
            all_wait: WaitQuantiles::of(waits.iter().filter_map(|wait| *wait)),
            idle_hours: run.engines.iter().map(|engine| engine.idle_s).sum::<f64>() / 3_600.0,
            held_hours: run.engines.iter().map(|engine| engine.held_s).sum::<f64>() / 3_600.0,
            ranks: ranks(&first),
            flood_ranks: if flooded.is_empty() { Vec::new() } else { ranks(&flooded) },
            returns: returns.len() as u64,
            returns_in_time: returns.iter().filter(|call| call.in_time()).count() as u64,
            loads: run.counts.loads,
            unloads: run.counts.unloads,
            adapter_loads: run.counts.adapter_loads,
            lost_loads: run.counts.lost_loads,
            silent: run.calls.iter().filter(|call| call.ending.is_none()).count() as u64,
            late: run.calls.iter().filter(|call| is_late(call)).count() as u64,
            broken: run.counts.broken.clone(),
        }
    }

    /// A measure by its name: `broken`, `silent`, `late`, `idle_hours`, `loads`, `lost_loads`,
    /// `return_share`, `wake_p95_ms`, `wake_p99_ms`, and for each rank `NAME.in_time`,
    /// `NAME.on_target`, `NAME.p95_ms`, of those in floods with `flood.` before the name.
    pub fn measure(&self, name: &str) -> Option<f64> {
        match name {
            "broken" => Some(self.broken.len() as f64),
            "silent" => Some(self.silent as f64),
            "late" => Some(self.late as f64),
            "idle_hours" => Some(self.idle_hours),
            "loads" => Some(self.loads as f64),
            "lost_loads" => Some(self.lost_loads as f64),
            "return_share" => Some(self.return_share()),
            "wake_p95_ms" => Some(self.wake_wait.p95),
            "wake_p99_ms" => Some(self.wake_wait.p99),
            name => match name.strip_prefix("flood.") {
                Some(name) => rank_measure(&self.flood_ranks, name),
                None => rank_measure(&self.ranks, name),
            },
        }
    }

    /// Share of returns that were answered in time; 1 without returns.
    pub fn return_share(&self) -> f64 {
        share(self.returns_in_time, self.returns)
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
        let first_bytes = own.iter().filter(|call| call.ending == Some(CallEnding::Served));
        let waits = first_bytes.filter_map(|call| call.first_byte.map(|at| at.since(call.came)));
        let on_target = |call: &CallRecord| {
            call.in_time()
                && call.first_byte.is_some_and(|at| at.since(call.came) <= FIRST_BYTE_TARGET)
        };
        Self {
            name: name.to_owned(),
            offered: own.len() as u64,
            in_time: count(&CallRecord::in_time),
            on_target: count(&on_target),
            refused: count(&|call| matches!(call.ending, Some(CallEnding::Refused { .. }))),
            unknown: count(&|call| call.ending == Some(CallEnding::Unknown)),
            first_byte: WaitQuantiles::of(waits),
        }
    }

    /// Share that was answered in time; 1 if nothing was offered.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time, self.offered)
    }
}

/// The time that each first request waited for loads, as its caller felt it: a refused one waits
/// until its return is taken, or is refused again. `None` for returns.
fn cold_waits(calls: &[CallRecord]) -> Vec<Option<Duration>> {
    let mut waits: Vec<Option<Duration>> =
        calls.iter().map(|call| call.repeats.is_none().then_some(call.cold_wait)).collect();
    for again in calls {
        let Some(first) = again.repeats else { continue };
        if calls[first].cold_refused {
            let away = again.came.since(calls[first].came);
            waits[first] = Some(away + again.cold_wait);
        }
    }
    waits
}

fn is_late(call: &CallRecord) -> bool {
    let limit = call.deadline + FINAL_SLACK;
    match call.ending {
        Some(CallEnding::Served) => call.first_byte.is_some_and(|at| at > limit),
        Some(CallEnding::Refused { at, .. }) => at > limit,
        Some(CallEnding::Unknown) | None => false,
    }
}

fn is_in_flood(header: &TraceHeader, came: MonotonicTime) -> bool {
    let floods = header.generator.iter().flat_map(|plan| &plan.floods);
    let came_s = came.since(TRACE_START).as_secs();
    floods.into_iter().any(|flood| (flood.from_s..flood.from_s + flood.for_s).contains(&came_s))
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
