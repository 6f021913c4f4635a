//! Checks the observations of callers, upstreams and operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::call_record::{CallRecord, CallRun, CallTurn, CheckContext, SentCall};
use crate::change_tracker::ChangeTracker;
use crate::fault_history::FaultHistory;
use crate::key_tracker::KeyTracker;
use crate::order_tracker::OrderTracker;
use crate::process_tracker::ProcessTracker;
use crate::{
    CallEnd, FailedCall, GuaranteeBounds, GuaranteeViolation, Observation, SeenEvent,
    SystemGuarantee,
};

/// Interval at which all open requests are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of runs kept for a request whose caller is unknown.
const KEPT_RUNS: usize = 16;

/// Records the observations of open requests and finds violations of guarantees.
///
/// Uses memory for the requests of the last [`GuaranteeBounds::keep_time`], regardless of the length of
/// the run.
#[derive(Debug)]
pub struct GuaranteeChecker {
    bounds: GuaranteeBounds,
    now: Duration,
    last_check: Duration,
    calls: BTreeMap<Arc<str>, CallRecord>,
    failed: Vec<FailedCall>,
    faults: FaultHistory,
    processes: ProcessTracker,
    changes: ChangeTracker,
    orders: OrderTracker,
    keys: KeyTracker,
    /// Leaving upstreams, with the time of the announcement.
    leaving: BTreeMap<Arc<str>, Duration>,
    last_fault: Option<Duration>,
    recovered_calls: usize,
    recovered_served: usize,
}

impl GuaranteeChecker {
    /// Creates a checker without observations.
    pub fn open(bounds: GuaranteeBounds) -> Self {
        Self {
            bounds,
            now: Duration::ZERO,
            last_check: Duration::ZERO,
            calls: BTreeMap::new(),
            failed: Vec::new(),
            faults: FaultHistory::default(),
            processes: ProcessTracker::default(),
            changes: ChangeTracker::default(),
            orders: OrderTracker::default(),
            keys: KeyTracker::default(),
            leaving: BTreeMap::new(),
            last_fault: None,
            recovered_calls: 0,
            recovered_served: 0,
        }
    }

    /// Number of requests that are kept.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes the failed requests that were checked since the last call and whose process was able to
    /// log the cause: it was neither killed, nor cut off from its caller, nor closing the connection
    /// before reading the request.
    pub fn take_failed(&mut self) -> Vec<FailedCall> {
        std::mem::take(&mut self.failed)
    }

    /// Processes an observation and returns the violations that it reveals.
    pub fn observe(&mut self, observation: &Observation) -> Vec<GuaranteeViolation> {
        let mut violations = self.tick(observation.at);
        violations.extend(self.handle_event(observation.at, &observation.event));
        violations
    }

    /// Checks what is due by `now`, the time since the start of the run.
    pub fn tick(&mut self, now: Duration) -> Vec<GuaranteeViolation> {
        self.now = self.now.max(now);
        if self.now < self.last_check + CHECK_INTERVAL {
            return Vec::new();
        }
        self.last_check = self.now;
        let mut violations = self.check_calls(self.now, false);
        violations.extend(self.processes.tick(self.now, (&self.bounds, &self.faults)));
        let kept_from = self.now.saturating_sub(self.bounds.keep_time);
        self.calls.retain(|_, record| !record.is_checked || record.last_seen >= kept_from);
        // A request that was never sent and has no recorded end is dropped after ten times as long.
        let seen_from = self.now.saturating_sub(self.bounds.keep_time * 10);
        self.calls.retain(|_, record| record.sent.is_some() || record.last_seen >= seen_from);
        self.faults.remove_before(kept_from);
        self.keys.remove_before(kept_from);
        violations
    }

    /// Checks all remaining requests, and whether requests were served after the last fault.
    pub fn finish(&mut self) -> Vec<GuaranteeViolation> {
        // An exchange that may still be answered in time isn't checked.
        let until = (self.now + self.bounds.no_end_time).saturating_sub(self.bounds.answer_slack);
        let mut violations = self.check_calls(until, true);
        violations.extend(self.processes.tick(self.now, (&self.bounds, &self.faults)));
        let recovered_from = self.last_fault.map(|at| at + self.bounds.recovery_time);
        violations.extend(
            recovered_from.and_then(|from| self.keys.finish((from, self.now), &self.bounds)),
        );
        let share = self.recovered_served as f64 / self.recovered_calls.max(1) as f64;
        let (calls, served) = (self.recovered_calls, self.recovered_served);
        let line = match self.last_fault {
            None => return violations,
            Some(_) if calls < self.bounds.min_recovered_calls => {
                format!("only {calls} requests were sent after the recovery time")
            }
            Some(_) if calls > 0 && share < self.bounds.served_share => {
                format!("{served} of {calls} requests were served after the recovery time")
            }
            Some(_) => return violations,
        };
        violations.push(GuaranteeViolation::new(SystemGuarantee::ServedAgain, self.now, &[], line));
        violations
    }

    fn handle_event(&mut self, at: Duration, event: &SeenEvent) -> Vec<GuaranteeViolation> {
        let context = (&self.bounds, &self.faults);
        match event {
            SeenEvent::CallBegan { id, process } => {
                let record = self.record(at, id);
                record.began = Some(at);
                record.process = Some(Arc::clone(process));
            }
            SeenEvent::CallSent { id, kind, process, deadline, is_kept, max_engines } => {
                let record = self.record(at, id);
                record.process = Some(Arc::clone(process));
                let (kind, deadline) = (*kind, *deadline);
                let (is_kept, max_engines) = (*is_kept, *max_engines);
                record.sent = Some(SentCall { at, kind, deadline, is_kept, max_engines });
            }
            SeenEvent::CallQueued { id } => {
                self.record(at, id).turn.get_or_insert(CallTurn::Waiting);
            }
            SeenEvent::CallTurn { id } => self.record(at, id).turn = Some(CallTurn::Came(at)),
            SeenEvent::CallSlowed { id, by } => self.record(at, id).slowed_by = Some(*by),
            SeenEvent::CallEnded { id, end } => return self.end_call(at, id, end),
            SeenEvent::RunBegan { id, upstream, resumed_after } => {
                return self.begin_run(at, id, upstream, *resumed_after);
            }
            SeenEvent::RunEnded { id, upstream, body } => {
                let record = self.record(at, id);
                let is_same = |run: &&mut CallRun| run.upstream == *upstream && run.ended.is_none();
                if let Some(run) = record.runs.iter_mut().find(is_same) {
                    run.ended = Some(at);
                    run.body.clone_from(body);
                }
            }
            SeenEvent::KeySent { id, key } => self.keys.record_key(at, id, key),
            SeenEvent::KeyAnswered { id, process, status } => {
                return self.keys.check_answer(at, (id, process), *status, &self.bounds);
            }
            SeenEvent::IdentitySeen { id, team, has_key } => {
                return self.keys.check_run(at, id, (team.as_ref(), *has_key), &self.bounds);
            }
            SeenEvent::UpstreamLeaves { upstream } => {
                self.leaving.entry(Arc::clone(upstream)).or_insert(at);
            }
            SeenEvent::Ordered(order) => return self.orders.record_order(at, order, context),
            SeenEvent::ChangeSent { version, .. } => {
                self.changes.record_sent(*version);
                self.keys.record_sent(*version);
            }
            SeenEvent::ChangeAcknowledged { version } => {
                self.changes.record_ack(at, *version);
                self.keys.record_ack(at, *version);
            }
            SeenEvent::ChangeRead { asked, process, version: Some(version) } => {
                return self.changes.check_read((*asked, at), process, *version, &self.bounds);
            }
            SeenEvent::ChangeRead { version: None, .. } => {}
            SeenEvent::InvalidAccepted { version, process } => {
                let line = format!("{process} accepted version {version}, which is invalid");
                let guarantee = SystemGuarantee::ChangeKept;
                return vec![GuaranteeViolation::new(guarantee, at, &[process], line)];
            }
            SeenEvent::ChangeObserved { sent, process, version } => {
                return self.changes.observe((*sent, at), process, *version, context);
            }
            SeenEvent::Readiness { process, is_ready } => {
                return self.processes.record_readiness(at, process, *is_ready, context);
            }
            SeenEvent::MemoryUsed { process, mb } if *mb > self.bounds.memory_mb => {
                let line = format!("{process} uses {mb} MB of memory");
                let guarantee = SystemGuarantee::MemoryBounded;
                return vec![GuaranteeViolation::new(guarantee, at, &[process], line)];
            }
            SeenEvent::MemoryUsed { .. } => {}
            SeenEvent::ProcessStarted { process } => {
                self.processes.record_start(at, process);
                self.changes.reset(process);
                self.leaving.remove(process);
            }
            SeenEvent::ProcessTerminated { process, grace } => {
                self.processes.record_termination(at, process, *grace);
            }
            SeenEvent::ProcessEnded { process, code, was_killed } => {
                // A kill after the grace period excuses nothing.
                if *was_killed && !self.processes.is_past_grace(process, at) {
                    self.faults.add_instant(at, "kill", process);
                }
                let context = (&self.bounds, &self.faults);
                return self.processes.record_exit(at, process, (*code, *was_killed), context);
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
        record.last_seen = record.last_seen.max(at);
        record
    }

    fn end_call(&mut self, at: Duration, id: &Arc<str>, end: &CallEnd) -> Vec<GuaranteeViolation> {
        let record = self.record(at, id);
        if record.end.is_some() {
            let line = "ended a second time";
            return vec![GuaranteeViolation::new(SystemGuarantee::Answered, at, &[id], line)];
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
    ) -> Vec<GuaranteeViolation> {
        let leaves = self.leaving.get(upstream).copied();
        let record = self.record(at, id);
        let (upstream, ended) = (Arc::clone(upstream), None);
        record.runs.push(CallRun { upstream, began: at, ended, resumed_after, body: None });
        // A request that has been checked is checked again for this run only.
        let late = record.check_runs().filter(|_| record.is_checked);
        let violation =
            |(guarantee, line): (_, String)| GuaranteeViolation::new(guarantee, at, &[id], line);
        let mut violations: Vec<_> = late.into_iter().map(violation).collect();
        let Some(process) = record.process.clone() else {
            // The operators' probes have no caller and share one id, so their runs aren't checked.
            let old = record.runs.len().saturating_sub(KEPT_RUNS);
            record.runs.drain(..old);
            return violations;
        };
        let from = at.saturating_sub(self.bounds.leave_time);
        let is_affected = |name: &Arc<str>| self.faults.affects(name, from, at);
        let is_late = leaves.is_some_and(|leaves| at > leaves + self.bounds.leave_time);
        let is_list_affected = self.faults.affects_itself(&self.bounds.list, from, at);
        let mut others = self.bounds.control.iter().chain([&process]);
        if is_late && !is_list_affected && !others.any(is_affected) {
            let line = "ran at an upstream that had left long before".to_owned();
            violations.push(violation((SystemGuarantee::LeavingUnused, line)));
        }
        violations
    }

    /// Checks the requests that are due, in order; if `is_last`, all that have ended.
    fn check_calls(&mut self, until: Duration, is_last: bool) -> Vec<GuaranteeViolation> {
        let bounds = &self.bounds;
        let open = self.calls.iter_mut().filter(|(_, record)| !record.is_checked);
        let mut due: Vec<_> = open
            .filter_map(|(id, record)| Some((record.due(bounds)?, id, record)))
            .filter(|(due, _, record)| *due <= until || is_last && record.end.is_some())
            .collect();
        due.sort_by_key(|(due, ..)| *due);
        let (faults, recovered_from) =
            (&self.faults, self.last_fault.map(|at| at + bounds.recovery_time));
        let mut violations = Vec::new();
        for (_, id, record) in due {
            let context = CheckContext { bounds, faults, processes: &self.processes };
            violations.extend(record.check(id, context));
            record.is_checked = true;
            let at = record.end.as_ref().map_or(record.last_seen, |(at, _)| *at);
            if record.needs_explanation(context) {
                self.failed.push(FailedCall { id: Arc::clone(id), at });
            }
            let has_answer = matches!(record.end, Some((_, CallEnd::Answered { .. })));
            let has_left = matches!(record.end, Some((_, CallEnd::Left)));
            let began = record.began.or(record.sent.as_ref().map(|sent| sent.at));
            let is_waiting = record.turn == Some(CallTurn::Waiting);
            if let Some(process) = record.process.as_ref().filter(|_| !has_left && !is_waiting) {
                let found = self.processes.record_call(
                    (began.unwrap_or(at), at),
                    process,
                    has_answer,
                    (bounds, faults),
                );
                violations.extend(found);
            }
            let is_recovered =
                recovered_from.is_some_and(|from| began.is_some_and(|began| began >= from));
            if is_recovered && !has_left {
                self.recovered_calls += 1;
                let is_served = record.whole_status().is_some_and(|status| status < 300);
                self.recovered_served += usize::from(is_served);
            }
            // From here on only its end and the number of its runs are needed.
            record.runs.iter_mut().for_each(|run| run.body = None);
            if let Some((_, CallEnd::Answered { body, .. })) = &mut record.end {
                *body = Vec::new();
            }
        }
        violations
    }
}
