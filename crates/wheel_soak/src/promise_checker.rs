//! Judges what callers, upstreams and operators saw.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::call_record::{CallRecord, CallRun, JudgeView, SentCall};
use crate::change_watch::ChangeWatch;
use crate::fault_history::FaultHistory;
use crate::order_watch::OrderWatch;
use crate::process_watch::ProcessWatch;
use crate::{
    CallEnd, FailedCall, Observation, PromiseBounds, PromiseViolation, SeenEvent, SoakPromise,
};

/// Time between two looks at all open requests.
const LOOK_STEP: Duration = Duration::from_millis(250);

/// Runs of a request whose caller is unknown that are kept.
const KEPT_RUNS: usize = 16;

/// Keeps what was seen of open requests, and finds broken promises.
///
/// Needs memory for the requests of the last [`PromiseBounds::keep_time`], whatever the length of the run.
#[derive(Debug)]
pub struct PromiseChecker {
    bounds: PromiseBounds,
    now: Duration,
    last_look: Duration,
    calls: BTreeMap<Arc<str>, CallRecord>,
    failed: Vec<FailedCall>,
    faults: FaultHistory,
    processes: ProcessWatch,
    changes: ChangeWatch,
    orders: OrderWatch,
    /// Upstreams that leave, and since when.
    leaving: BTreeMap<Arc<str>, Duration>,
    last_fault: Option<Duration>,
    calm_calls: usize,
    calm_served: usize,
}

impl PromiseChecker {
    /// Opens a checker that has seen nothing.
    pub fn open(bounds: PromiseBounds) -> Self {
        Self {
            bounds,
            now: Duration::ZERO,
            last_look: Duration::ZERO,
            calls: BTreeMap::new(),
            failed: Vec::new(),
            faults: FaultHistory::default(),
            processes: ProcessWatch::default(),
            changes: ChangeWatch::default(),
            orders: OrderWatch::default(),
            leaving: BTreeMap::new(),
            last_fault: None,
            calm_calls: 0,
            calm_served: 0,
        }
    }

    /// Requests that are remembered.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Hands out the requests judged since the last call of this that failed at a process which could
    /// tell why: it was neither killed, nor cut off from its caller, nor closing unread.
    pub fn take_failed(&mut self) -> Vec<FailedCall> {
        std::mem::take(&mut self.failed)
    }

    /// Takes in what happened; returns the promises that it breaks.
    pub fn observe(&mut self, observation: &Observation) -> Vec<PromiseViolation> {
        let mut violations = self.tick(observation.at);
        violations.extend(self.take_in(observation.at, &observation.event));
        violations
    }

    /// Judges what is due by `now`, the time since the run began.
    pub fn tick(&mut self, now: Duration) -> Vec<PromiseViolation> {
        self.now = self.now.max(now);
        if self.now < self.last_look + LOOK_STEP {
            return Vec::new();
        }
        self.last_look = self.now;
        let mut violations = self.judge_calls(self.now, false);
        violations.extend(self.processes.tick(self.now, (&self.bounds, &self.faults)));
        let kept_from = self.now.saturating_sub(self.bounds.keep_time);
        self.calls.retain(|_, record| !record.is_judged || record.last_heard >= kept_from);
        // A request that was never sent and has no end told is dropped, after ten times as long.
        let heard_from = self.now.saturating_sub(self.bounds.keep_time * 10);
        self.calls.retain(|_, record| record.sent.is_some() || record.last_heard >= heard_from);
        self.faults.forget(kept_from);
        violations
    }

    /// Judges all that is left, and whether requests were served after the last fault.
    pub fn finish(&mut self) -> Vec<PromiseViolation> {
        // An exchange that may still be answered in time isn't judged.
        let until = (self.now + self.bounds.give_up_time).saturating_sub(self.bounds.answer_slack);
        let mut violations = self.judge_calls(until, true);
        violations.extend(self.processes.tick(self.now, (&self.bounds, &self.faults)));
        let share = self.calm_served as f64 / self.calm_calls.max(1) as f64;
        let (calls, served) = (self.calm_calls, self.calm_served);
        let line = match self.last_fault {
            None => return violations,
            Some(_) if calls < self.bounds.min_calm_calls => {
                format!("only {calls} requests were sent after the recovery time")
            }
            Some(_) if calls > 0 && share < self.bounds.served_share => {
                format!("{served} of {calls} requests were served after the recovery time")
            }
            Some(_) => return violations,
        };
        violations.push(PromiseViolation::new(SoakPromise::ServedAgain, self.now, &[], line));
        violations
    }

    fn take_in(&mut self, at: Duration, event: &SeenEvent) -> Vec<PromiseViolation> {
        let view = (&self.bounds, &self.faults);
        match event {
            SeenEvent::CallBegan { id, process } => {
                let record = self.record(at, id);
                record.began = Some(at);
                record.process = Some(Arc::clone(process));
            }
            SeenEvent::CallSent { id, kind, process, deadline, is_kept } => {
                let record = self.record(at, id);
                record.process = Some(Arc::clone(process));
                let (kind, deadline, is_kept) = (*kind, *deadline, *is_kept);
                record.sent = Some(SentCall { at, kind, deadline, is_kept });
            }
            SeenEvent::CallEnded { id, end } => return self.end_call(at, id, end),
            SeenEvent::RunBegan { id, upstream, resumed_after } => {
                return self.begin_run(at, id, upstream, *resumed_after);
            }
            SeenEvent::RunEnded { id, upstream, body } => {
                let record = self.record(at, id);
                let is_meant =
                    |run: &&mut CallRun| run.upstream == *upstream && run.ended.is_none();
                if let Some(run) = record.runs.iter_mut().find(is_meant) {
                    run.ended = Some(at);
                    run.body.clone_from(body);
                }
            }
            SeenEvent::UpstreamLeaves { upstream } => {
                self.leaving.entry(Arc::clone(upstream)).or_insert(at);
            }
            SeenEvent::Ordered(order) => return self.orders.order(at, order, view),
            SeenEvent::ChangeSent { version, .. } => self.changes.send(*version),
            SeenEvent::ChangeAcknowledged { version } => self.changes.acknowledge(at, *version),
            SeenEvent::ChangeRead { asked, process, version: Some(version) } => {
                return self.changes.read((*asked, at), process, *version, &self.bounds);
            }
            SeenEvent::ChangeRead { version: None, .. } => {}
            SeenEvent::InvalidAccepted { version, process } => {
                let line = format!("{process} took version {version}, which is invalid");
                let promise = SoakPromise::ChangeKept;
                return vec![PromiseViolation::new(promise, at, &[process], line)];
            }
            SeenEvent::ChangeObserved { sent, process, version } => {
                return self.changes.show((*sent, at), process, *version, view);
            }
            SeenEvent::Readiness { process, is_ready } => {
                return self.processes.say(at, process, *is_ready, view);
            }
            SeenEvent::ProcessStarted { process } => {
                self.processes.start(at, process);
                self.changes.start(process);
                self.leaving.remove(process);
            }
            SeenEvent::ProcessTerminated { process, grace } => {
                self.processes.terminate(at, process, *grace);
            }
            SeenEvent::ProcessEnded { process, code, was_killed } => {
                // A kill when the grace is over excuses nothing.
                if *was_killed && !self.processes.is_past_grace(process, at) {
                    self.faults.strike(at, "kill", process);
                }
                let view = (&self.bounds, &self.faults);
                return self.processes.end(at, process, (*code, *was_killed), view);
            }
            SeenEvent::FaultBegan { kind, target } if !self.bounds.planned_kinds.contains(kind) => {
                self.faults.begin(at, kind, target);
            }
            SeenEvent::FaultBegan { .. } => {}
            SeenEvent::FaultEnded { kind, target } => self.faults.end(at, kind, target),
            SeenEvent::LastFaultEnded => {
                self.faults.end_all(at);
                self.last_fault = Some(at);
            }
        }
        Vec::new()
    }

    fn record(&mut self, at: Duration, id: &Arc<str>) -> &mut CallRecord {
        let record = self.calls.entry(Arc::clone(id)).or_default();
        record.last_heard = record.last_heard.max(at);
        record
    }

    fn end_call(&mut self, at: Duration, id: &Arc<str>, end: &CallEnd) -> Vec<PromiseViolation> {
        let record = self.record(at, id);
        if record.end.is_some() {
            let line = "ended a second time";
            return vec![PromiseViolation::new(SoakPromise::Answered, at, &[id], line)];
        }
        record.end = Some((at, end.clone()));
        Vec::new()
    }

    fn begin_run(
        &mut self,
        at: Duration,
        id: &Arc<str>,
        upstream: &Arc<str>,
        resumed_after: Option<u64>,
    ) -> Vec<PromiseViolation> {
        let leaves = self.leaving.get(upstream).copied();
        let record = self.record(at, id);
        let (upstream, ended) = (Arc::clone(upstream), None);
        record.runs.push(CallRun { upstream, ended, resumed_after, body: None });
        // What has been judged is judged again by this run alone.
        let late = record.judge_runs().filter(|_| record.is_judged);
        let violation =
            |(promise, line): (_, String)| PromiseViolation::new(promise, at, &[id], line);
        let mut violations: Vec<_> = late.into_iter().map(violation).collect();
        let Some(process) = record.process.clone() else {
            // The operators' probes have no caller and one id: of their runs nothing is asked.
            let old = record.runs.len().saturating_sub(KEPT_RUNS);
            record.runs.drain(..old);
            return violations;
        };
        let from = at.saturating_sub(self.bounds.leave_time);
        let is_harmed = |name: &Arc<str>| self.faults.harms(name, from, at);
        let is_late = leaves.is_some_and(|leaves| at > leaves + self.bounds.leave_time);
        let is_unheard = self.faults.strikes(&self.bounds.list, from, at);
        let mut others = self.bounds.control.iter().chain([&process]);
        if is_late && !is_unheard && !others.any(is_harmed) {
            let line = "ran at an upstream that had left long before".to_owned();
            violations.push(violation((SoakPromise::LeavingUnused, line)));
        }
        violations
    }

    /// Judges the requests that are due, in the order of their ends; at last all that have one.
    fn judge_calls(&mut self, until: Duration, is_last: bool) -> Vec<PromiseViolation> {
        let bounds = &self.bounds;
        let open = self.calls.iter_mut().filter(|(_, record)| !record.is_judged);
        let mut due: Vec<_> = open
            .filter_map(|(id, record)| Some((record.due(bounds)?, id, record)))
            .filter(|(due, _, record)| *due <= until || is_last && record.end.is_some())
            .collect();
        due.sort_by_key(|(due, ..)| *due);
        let (faults, calm_from) =
            (&self.faults, self.last_fault.map(|at| at + bounds.recovery_time));
        let mut violations = Vec::new();
        for (_, id, record) in due {
            let view = JudgeView { bounds, faults, processes: &self.processes };
            violations.extend(record.judge(id, view));
            record.is_judged = true;
            let at = record.end.as_ref().map_or(record.last_heard, |(at, _)| *at);
            if record.needs_cause(view) {
                self.failed.push(FailedCall { id: Arc::clone(id), at });
            }
            let has_answer = matches!(record.end, Some((_, CallEnd::Answered { .. })));
            let has_left = matches!(record.end, Some((_, CallEnd::Left)));
            let began = record.began.or(record.sent.as_ref().map(|sent| sent.at));
            if let Some(process) = record.process.as_ref().filter(|_| !has_left) {
                let tried = self.processes.try_call(
                    (began.unwrap_or(at), at),
                    process,
                    has_answer,
                    (bounds, faults),
                );
                violations.extend(tried);
            }
            let is_calm = calm_from.is_some_and(|from| began.is_some_and(|began| began >= from));
            if is_calm && !has_left {
                self.calm_calls += 1;
                let is_served = record.whole_status().is_some_and(|status| status < 300);
                self.calm_served += usize::from(is_served);
            }
            // From here on only its end and the number of its runs count.
            record.runs.iter_mut().for_each(|run| run.body = None);
            if let Some((_, CallEnd::Answered { body, .. })) = &mut record.end {
                *body = Vec::new();
            }
        }
        violations
    }
}
