//! The observations of one request, and the guarantees that it violates.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::event_sequence::EventSequence;
use crate::fault_history::FaultHistory;
use crate::process_tracker::ProcessTracker;
use crate::{CallEnd, CallKind, GuaranteeBounds, GuaranteeViolation, SystemGuarantee};

/// Statuses that state that the request didn't run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What a record is checked against.
#[derive(Clone, Copy)]
pub(crate) struct CheckContext<'a> {
    pub(crate) bounds: &'a GuaranteeBounds,
    pub(crate) faults: &'a FaultHistory,
    pub(crate) processes: &'a ProcessTracker,
}

/// The sending of a request, as its caller saw it.
#[derive(Debug)]
pub(crate) struct SentCall {
    pub(crate) at: Duration,
    pub(crate) kind: CallKind,
    pub(crate) deadline: Duration,
    pub(crate) is_kept: bool,
    pub(crate) max_engines: usize,
}

/// The place of a request that was sent behind others on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallTurn {
    /// Another answer comes first.
    Waiting,
    /// All answers before its own had arrived completely at this time.
    Came(Duration),
}

/// A run of a request at an upstream.
#[derive(Debug)]
pub(crate) struct CallRun {
    pub(crate) upstream: Arc<str>,
    pub(crate) began: Duration,
    pub(crate) ended: Option<Duration>,
    pub(crate) resumed_after: Option<u64>,
    pub(crate) body: Option<Vec<u8>>,
}

/// Observations of callers and upstreams of one request.
#[derive(Debug, Default)]
pub(crate) struct CallRecord {
    pub(crate) began: Option<Duration>,
    pub(crate) process: Option<Arc<str>>,
    pub(crate) sent: Option<SentCall>,
    /// `None` unless it was sent behind others.
    pub(crate) turn: Option<CallTurn>,
    /// Time for which its caller reads nothing; `None` unless it takes the answer slowly.
    pub(crate) slowed_by: Option<Duration>,
    pub(crate) end: Option<(Duration, CallEnd)>,
    pub(crate) runs: Vec<CallRun>,
    pub(crate) last_seen: Duration,
    pub(crate) is_checked: bool,
}

impl CallRecord {
    /// The time by which all observations of the request have arrived.
    pub(crate) fn due(&self, bounds: &GuaranteeBounds) -> Option<Duration> {
        let end = self.end.as_ref().map(|(at, _)| *at + bounds.check_delay);
        let sent = self.sent.as_ref();
        end.or_else(|| sent.map(|sent| sent.at + sent.deadline + bounds.no_end_time))
    }

    /// The status of a complete answer.
    pub(crate) fn whole_status(&self) -> Option<u16> {
        match self.end {
            Some((_, CallEnd::Answered { status, is_whole: true, .. })) => Some(status),
            _ => None,
        }
    }

    /// Whether it ended without success and its caller neither disconnected nor failed to connect.
    pub(crate) fn has_failed(&self) -> bool {
        let has_left = matches!(self.end, None | Some((_, CallEnd::Left | CallEnd::NotConnected)));
        !has_left && self.whole_status().is_none_or(|status| status >= 300)
    }

    /// Whether a log must explain its failure, because its process had received it and was able to
    /// log.
    pub(crate) fn needs_explanation(&self, context: CheckContext<'_>) -> bool {
        let (Some(sent), Some(process), Some((at, end))) = (&self.sent, &self.process, &self.end)
        else {
            return false;
        };
        let is_affected = self.is_affected(sent, process, *at, context);
        let may_be_unread = *end == CallEnd::Closed && self.may_cross_close(sent, *at, context);
        let has_turn = self.turn != Some(CallTurn::Waiting);
        has_turn
            && self.has_failed()
            && (self.whole_status().is_some() || !is_affected && !may_be_unread)
    }

    pub(crate) fn check(
        &self,
        id: &Arc<str>,
        context: CheckContext<'_>,
    ) -> Vec<GuaranteeViolation> {
        let mut found = Vec::new();
        found.extend(self.check_end(context));
        found.extend(self.check_answer(id));
        found.extend(self.check_runs());
        found.extend(self.check_engines(context));
        found.extend(self.check_overlap(context));
        let at = self.end.as_ref().map_or(self.last_seen, |(at, _)| *at);
        let violation = |(guarantee, line): (SystemGuarantee, String)| {
            let process = self.process.iter();
            let ids: Vec<&Arc<str>> = [id].into_iter().chain(process).collect();
            GuaranteeViolation::new(guarantee, at, &ids, line)
        };
        found.into_iter().map(violation).collect()
    }

    /// Checks that there is one complete answer or a refusal, in time.
    fn check_end(&self, context: CheckContext<'_>) -> Option<(SystemGuarantee, String)> {
        let (sent, process) = (self.sent.as_ref()?, self.process.as_ref()?);
        let until = self.end.as_ref().map_or(sent.at + sent.deadline, |(at, _)| *at);
        let is_affected = self.is_affected(sent, process, until, context);
        // The system counts the deadline from the head, which may arrive long before the body's end, and
        // which it reads when its turn has come.
        let (counted_from, began) = match self.turn {
            Some(CallTurn::Came(turn)) => (sent.at.max(turn), sent.at.max(turn)),
            _ => (sent.at, self.began.unwrap_or(sent.at)),
        };
        let allowed = sent.deadline + self.slowed_by.unwrap_or_default();
        let latest = counted_from + allowed + context.bounds.answer_slack;
        let took = until.saturating_sub(sent.at);
        let line = match self.end.as_ref().map(|(_, end)| end) {
            Some(CallEnd::Left | CallEnd::NotConnected) => return None,
            _ if is_affected => return None,
            // The connection ended with the answer before, which is checked by itself.
            _ if self.turn == Some(CallTurn::Waiting) => return None,
            None => format!("has no end long after its deadline of {:.1?}", sent.deadline),
            Some(CallEnd::TimedOut) => format!("had no end after {took:.1?}"),
            Some(_) if until > latest => format!("took {took:.1?} of {:.1?}", sent.deadline),
            Some(CallEnd::Closed) if !self.may_be_cut(sent, until, context) => {
                format!(
                    "was closed without an answer after {took:.2?}{}",
                    self.signal(until, context)
                )
            }
            Some(CallEnd::Answered { is_whole: false, .. })
                if until + context.bounds.answer_slack < began + sent.deadline
                    && !self.may_be_cut(sent, until, context) =>
            {
                format!("was answered partially after {took:.2?}{}", self.signal(until, context))
            }
            Some(CallEnd::Answered { status, signed_by: None, .. })
                if (300..500).contains(status) && !NOT_RUN.contains(status) =>
            {
                format!("was valid and was rejected with {status}")
            }
            Some(_) => return None,
        };
        Some((SystemGuarantee::Answered, line))
    }

    /// Whether a fault affected its process, or the link to it, around its time.
    fn is_affected(
        &self,
        sent: &SentCall,
        process: &str,
        until: Duration,
        context: CheckContext<'_>,
    ) -> bool {
        let GuaranteeBounds { fault_span, idle_span, .. } = context.bounds;
        // Only the next request reveals that an idle connection has died.
        let may_be_unread = sent.is_kept && self.runs.is_empty();
        let span = if may_be_unread { idle_span } else { fault_span };
        context.faults.affects(process, sent.at.saturating_sub(*span), until + *fault_span)
    }

    /// Text to add if its process was draining after SIGTERM.
    fn signal(&self, at: Duration, context: CheckContext<'_>) -> &'static str {
        let process = self.process.as_deref().unwrap_or_default();
        match context.processes.is_ending(process, at, at) {
            true => ", while its process drained and no fault affected it",
            false => "",
        }
    }

    /// Whether the connection may end early although no fault affected its process.
    fn may_be_cut(&self, sent: &SentCall, at: Duration, context: CheckContext<'_>) -> bool {
        let process = self.process.as_deref().unwrap_or_default();
        let span = context.bounds.fault_span;
        let from = sent.at.saturating_sub(span);
        let mut upstreams = self.runs.iter().map(|run| &run.upstream);
        let is_broken =
            upstreams.any(|upstream| context.faults.affects_alone(upstream, from, at + span));
        let cut_from = context.processes.cut_allowed_from(process, sent.at);
        let is_at_work = |cut_from: Duration| {
            self.runs.iter().any(|run| run.ended.is_none_or(|ended| ended >= cut_from))
        };
        is_broken
            || self.may_cross_close(sent, at, context)
            || cut_from.is_some_and(|cut_from| at >= cut_from && is_at_work(cut_from))
    }

    /// Whether its process may have closed the connection before reading the request.
    fn may_cross_close(&self, sent: &SentCall, at: Duration, context: CheckContext<'_>) -> bool {
        let process = self.process.as_deref().unwrap_or_default();
        let span = context.bounds.fault_span;
        let from = sent.at.saturating_sub(span);
        let is_soon = at.saturating_sub(sent.at) <= context.bounds.close_slack;
        let is_ending = context.processes.is_ending(process, from, at + span);
        self.runs.is_empty() && is_soon && (sent.is_kept || is_ending)
    }

    /// Checks that the answer belongs to this request and is what its upstream sent.
    fn check_answer(&self, id: &Arc<str>) -> Option<(SystemGuarantee, String)> {
        let (_, CallEnd::Answered { status, is_whole, answered_id, signed_by, body, .. }) =
            self.end.as_ref()?
        else {
            return None;
        };
        let is_success = (200..300).contains(status);
        let violation = |line: String| Some((SystemGuarantee::AnswerBelongs, line));
        let kind = self.sent.as_ref().map(|sent| sent.kind);
        let is_stream = matches!(kind, Some(CallKind::ResumableStream | CallKind::ClosedStream));
        let signer = signed_by.as_ref().filter(|name| self.has_run_at(name));
        let first = self.runs.first().and_then(|run| run.resumed_after).unwrap_or_default() + 1;
        let order_error = EventSequence::read(body).order_error(first);
        match () {
            () if answered_id.as_ref().is_some_and(|answered| answered != id) => {
                violation(format!("got the answer of {answered_id:?}"))
            }
            () if !is_success => None,
            () if answered_id.is_none() => violation("got a success without its id".into()),
            () if signer.is_none() => {
                violation(format!("got a success signed by {signed_by:?}, which didn't run it"))
            }
            () if is_stream && order_error.is_some() => violation(order_error.unwrap_or_default()),
            () if !is_whole || self.runs.iter().any(|run| matches_body(run, body, first)) => None,
            () if self.runs.iter().any(|run| run.body.is_some()) => {
                violation(format!("got {} bytes that no upstream sent", body.len()))
            }
            () => {
                let line =
                    format!("got {} bytes as complete; no upstream completed it", body.len());
                Some((SystemGuarantee::PartNeverWhole, line))
            }
        }
    }

    fn has_run_at(&self, upstream: &Arc<str>) -> bool {
        self.runs.iter().any(|run| run.upstream == *upstream)
    }

    /// Checks that the request ran at no more upstreams than its route allows, besides those that
    /// ended or were cut off meanwhile.
    fn check_engines(&self, context: CheckContext<'_>) -> Option<(SystemGuarantee, String)> {
        let sent = self.sent.as_ref()?;
        let (from, to) = (sent.at.saturating_sub(context.bounds.fault_span), self.last_seen);
        let upstreams: BTreeSet<&Arc<str>> = self.runs.iter().map(|run| &run.upstream).collect();
        let counted = upstreams.iter().filter(|name| !context.faults.cuts_off(name, from, to));
        let counted: Vec<&str> = counted.map(|name| &***name).collect();
        (counted.len() > sent.max_engines).then(|| {
            let (names, limit) = (counted.join(", "), sent.max_engines);
            (SystemGuarantee::AttemptsKept, format!("ran at {names}, allowed {limit}"))
        })
    }

    /// Checks that a stream doesn't run at an upstream while another one, which can be reached, still
    /// works on it.
    fn check_overlap(&self, context: CheckContext<'_>) -> Option<(SystemGuarantee, String)> {
        let (sent, process) = (self.sent.as_ref()?, self.process.as_ref()?);
        let CheckContext { bounds, faults, .. } = context;
        let (from, to) = (sent.at.saturating_sub(bounds.fault_span), self.last_seen);
        let is_reached = |name: &str| !faults.cuts_off(name, from, to);
        if sent.kind != CallKind::ResumableStream || faults.affects(process, from, to) {
            return None;
        }
        let is_overlap = |run: &CallRun, next: &CallRun| {
            let latest = next.began + bounds.leave_run_time;
            let is_at_work = run.ended.map_or(to > latest, |ended| ended > latest);
            is_at_work && run.upstream != next.upstream && is_reached(&run.upstream)
        };
        let mut pairs = self.runs.iter().zip(self.runs.iter().skip(1));
        let (run, next) = pairs.find(|(run, next)| is_overlap(run, next))?;
        let line = format!("ran at {} while {} worked on it", next.upstream, run.upstream);
        Some((SystemGuarantee::RunsOnce, line))
    }

    /// Checks that a refused request never runs, and that a non-repeatable one runs at most once.
    pub(crate) fn check_runs(&self) -> Option<(SystemGuarantee, String)> {
        let refusal = match &self.end {
            Some((_, CallEnd::Answered { status, .. })) if NOT_RUN.contains(status) => *status,
            _ => 0,
        };
        let kind = self.sent.as_ref().map(|sent| sent.kind);
        let is_once = matches!(kind, Some(CallKind::NonIdempotent | CallKind::ClosedStream));
        let upstreams: Vec<&str> = self.runs.iter().map(|run| &*run.upstream).collect();
        let upstreams = upstreams.join(", ");
        match self.runs.len() {
            runs if runs > 0 && refusal > 0 => {
                let line = format!("was refused with {refusal} as not run and ran at {upstreams}");
                Some((SystemGuarantee::RefusedNeverRuns, line))
            }
            runs if runs > 1 && is_once => {
                Some((SystemGuarantee::RunsOnce, format!("ran {runs} times, at {upstreams}")))
            }
            _ => None,
        }
    }
}

/// Whether a run's complete body is the answer, which begins with the event `first`, or the end of the
/// answer if the run resumed a stream.
fn matches_body(run: &CallRun, body: &[u8], first: u64) -> bool {
    match (&run.body, run.resumed_after) {
        (Some(whole), None) => whole == body,
        (Some(whole), Some(after)) => {
            let is_next = EventSequence::read(whole).order_error(after + 1).is_none();
            let before = body.strip_suffix(&**whole).map(EventSequence::read);
            is_next && before.is_some_and(|before| first + before.len() == after + 1)
        }
        (None, _) => false,
    }
}
