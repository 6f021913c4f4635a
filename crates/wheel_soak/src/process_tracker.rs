//! Checks that processes exit as requested and report their readiness correctly.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_history::FaultHistory;
use crate::{GuaranteeBounds, GuaranteeViolation, SystemGuarantee};

/// Number of readiness reports kept for each run of a process.
const MAX_REPORTS: usize = 256;
/// Number of runs kept for each process.
const MAX_RUNS: usize = 8;
/// Divisor of the grace period: requests that are still running in its last part may be cut off.
const GRACE_TAIL: u32 = 6;
/// Requests that were sent later than this after SIGTERM may not be cut off.
const LAST_SENT_AFTER: Duration = Duration::from_secs(3);

/// One run of a process, from start to exit.
#[derive(Debug, Default)]
struct ProcessRun {
    started: Option<Duration>,
    /// The time of the first SIGTERM, and its grace period.
    terminated: Option<(Duration, Duration)>,
    terminations: u32,
    ended: Option<Duration>,
    is_overdue: bool,
    reports: VecDeque<(Duration, Option<bool>)>,
    /// Consecutive calls without any answer while the process reported that it was ready.
    unanswered: usize,
}

/// The runs of all processes.
#[derive(Debug, Default)]
pub(crate) struct ProcessTracker {
    /// The last runs of each process, the newest last.
    runs: BTreeMap<Arc<str>, VecDeque<ProcessRun>>,
}

impl ProcessTracker {
    pub(crate) fn record_start(&mut self, at: Duration, process: &Arc<str>) {
        let runs = self.runs.entry(Arc::clone(process)).or_default();
        runs.push_back(ProcessRun { started: Some(at), ..ProcessRun::default() });
        if runs.len() > MAX_RUNS {
            runs.pop_front();
        }
    }

    /// The current run, or the last one.
    fn latest_run(&mut self, process: &Arc<str>) -> &mut ProcessRun {
        let runs = self.runs.entry(Arc::clone(process)).or_default();
        if runs.is_empty() {
            runs.push_back(ProcessRun::default());
        }
        let last = runs.len() - 1;
        &mut runs[last]
    }

    pub(crate) fn record_termination(&mut self, at: Duration, process: &Arc<str>, grace: Duration) {
        let run = self.latest_run(process);
        run.terminations += 1;
        run.terminated.get_or_insert((at, grace));
    }

    /// Whether a process that exits at `at` had used up its grace period.
    pub(crate) fn is_past_grace(&self, process: &str, at: Duration) -> bool {
        let run = self.runs.get(process).and_then(VecDeque::back);
        run.and_then(|run| run.terminated).is_some_and(|(from, grace)| at >= from + grace)
    }

    pub(crate) fn record_exit(
        &mut self,
        at: Duration,
        process: &Arc<str>,
        (code, was_killed): (Option<i32>, bool),
        (bounds, faults): (&GuaranteeBounds, &FaultHistory),
    ) -> Vec<GuaranteeViolation> {
        let run = self.latest_run(process);
        run.ended = Some(at);
        let from = run.terminated.map_or(at, |(from, _)| from);
        let is_affected_itself =
            faults.affects_itself(process, from.saturating_sub(bounds.fault_span), at);
        let allowed = run.terminated.map(|(from, grace)| from + grace + bounds.end_slack);
        let line = match allowed {
            _ if is_affected_itself => return Vec::new(),
            Some(allowed) if at > allowed => {
                let was_reported = std::mem::replace(&mut run.is_overdue, true);
                if was_reported {
                    return Vec::new();
                }
                format!("{process} didn't exit by itself within its grace period")
            }
            _ if was_killed => return Vec::new(),
            None => format!("{process} exited with {code:?} without a signal"),
            // A second signal may end a process immediately, with its own exit code.
            Some(_) if code == Some(0) || run.terminations > 1 && code.is_some() => {
                return Vec::new();
            }
            Some(_) => format!("{process} was terminated and exited with {code:?}"),
        };
        vec![GuaranteeViolation::new(SystemGuarantee::EndsInGrace, at, &[process], line)]
    }

    /// Finds processes that should have exited.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        (bounds, faults): (&GuaranteeBounds, &FaultHistory),
    ) -> Vec<GuaranteeViolation> {
        let mut violations = Vec::new();
        for (process, runs) in &mut self.runs {
            let Some(run) = runs.back_mut() else { continue };
            let Some((from, grace)) = run.terminated else { continue };
            let is_due = now > from + grace + bounds.end_slack;
            let is_affected_itself = faults.affects_itself(process, from, now);
            if run.ended.is_some() || run.is_overdue || !is_due || is_affected_itself {
                continue;
            }
            run.is_overdue = true;
            let line = format!("{process} is still running after its grace period of {grace:.1?}");
            let guarantee = SystemGuarantee::EndsInGrace;
            violations.push(GuaranteeViolation::new(guarantee, now, &[process], line));
        }
        violations
    }

    pub(crate) fn record_readiness(
        &mut self,
        at: Duration,
        process: &Arc<str>,
        is_ready: Option<bool>,
        (bounds, faults): (&GuaranteeBounds, &FaultHistory),
    ) -> Vec<GuaranteeViolation> {
        let run = self.latest_run(process);
        run.reports.push_back((at, is_ready));
        if run.reports.len() > MAX_REPORTS {
            run.reports.pop_front();
        }
        let Some((from, _)) = run.terminated else { return Vec::new() };
        let is_due = at > from + bounds.drain_report_time && is_ready == Some(true);
        if !is_due || run.ended.is_some() || faults.affects(process, from, at) {
            return Vec::new();
        }
        let line = format!("{process} drains since {from:.1?} and reports that it is ready");
        vec![GuaranteeViolation::new(SystemGuarantee::ReadinessTrue, at, &[process], line)]
    }

    /// Records whether a call to a process, which lasted from `began` to `at`, got any answer.
    pub(crate) fn record_call(
        &mut self,
        (began, at): (Duration, Duration),
        process: &Arc<str>,
        has_answer: bool,
        (bounds, faults): (&GuaranteeBounds, &FaultHistory),
    ) -> Vec<GuaranteeViolation> {
        let run = self.latest_run(process);
        let (from, to) = (began.saturating_sub(bounds.fault_span), at + bounds.fault_span);
        let is_ending = run.terminated.is_some() || run.ended.is_some();
        let is_new = run.started.is_some_and(|started| started > from);
        let is_affected = faults.affects(process, from, to);
        // Considers all reports around the call; a single negative one is enough.
        let is_close = |reported_at: &Duration| {
            *reported_at + bounds.ready_age >= at && *reported_at <= at + bounds.ready_age
        };
        let mut reports =
            run.reports.iter().filter(|(reported_at, _)| is_close(reported_at)).peekable();
        let is_reported_ready =
            reports.peek().is_some() && reports.all(|(_, report)| *report == Some(true));
        match () {
            () if has_answer => run.unanswered = 0,
            () if is_ending || is_new || is_affected || !is_reported_ready => {}
            () => run.unanswered += 1,
        }
        if run.unanswered < bounds.unanswered_limit {
            return Vec::new();
        }
        run.unanswered = 0;
        let line = format!("{process} reports that it is ready, and answers none of its calls");
        vec![GuaranteeViolation::new(SystemGuarantee::ReadinessTrue, at, &[process], line)]
    }

    /// Whether `process` drained, started or ended between `from` and `to`.
    pub(crate) fn is_ending(&self, process: &str, from: Duration, to: Duration) -> bool {
        let is_between = |at: &Duration| *at >= from && *at <= to;
        let is_ending = |run: &ProcessRun| {
            let was_terminated = run.terminated.is_some_and(|(at, _)| at <= to);
            let is_draining = was_terminated && run.ended.is_none_or(|ended| ended >= from);
            is_draining || run.started.iter().chain(&run.ended).any(is_between)
        };
        self.runs.get(process).is_some_and(|runs| runs.iter().any(is_ending))
    }

    /// The time from which a request sent at `sent` may be cut off because the grace period of its
    /// process is nearly over.
    pub(crate) fn cut_allowed_from(&self, process: &str, sent: Duration) -> Option<Duration> {
        let is_before = |run: &&ProcessRun| run.started.is_none_or(|started| started <= sent);
        let run = self.runs.get(process)?.iter().rfind(is_before)?;
        let (from, grace) = run.terminated?;
        (sent <= from + LAST_SENT_AFTER).then_some(from + grace - grace / GRACE_TAIL)
    }
}
