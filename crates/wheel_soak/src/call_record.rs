//! What is known of one request, and whether it kept the promises.

use std::sync::Arc;
use std::time::Duration;

use crate::event_series::EventSeries;
use crate::fault_history::FaultHistory;
use crate::process_watch::ProcessWatch;
use crate::{CallEnd, CallKind, PromiseBounds, PromiseViolation, SoakPromise};

/// Statuses that promise that the request didn't run and won't.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What a record is judged by.
#[derive(Clone, Copy)]
pub(crate) struct JudgeView<'a> {
    pub(crate) bounds: &'a PromiseBounds,
    pub(crate) faults: &'a FaultHistory,
    pub(crate) processes: &'a ProcessWatch,
}

/// A request as its caller sent it.
#[derive(Debug)]
pub(crate) struct SentCall {
    pub(crate) at: Duration,
    pub(crate) kind: CallKind,
    pub(crate) deadline: Duration,
    pub(crate) is_kept: bool,
}

/// A run at an upstream.
#[derive(Debug)]
pub(crate) struct CallRun {
    pub(crate) upstream: Arc<str>,
    pub(crate) ended: Option<Duration>,
    pub(crate) resumed_after: Option<u64>,
    pub(crate) body: Option<Vec<u8>>,
}

/// What callers and upstreams told of one request.
#[derive(Debug, Default)]
pub(crate) struct CallRecord {
    pub(crate) began: Option<Duration>,
    pub(crate) process: Option<Arc<str>>,
    pub(crate) sent: Option<SentCall>,
    pub(crate) end: Option<(Duration, CallEnd)>,
    pub(crate) runs: Vec<CallRun>,
    pub(crate) last_heard: Duration,
    pub(crate) is_judged: bool,
}

impl CallRecord {
    /// When all that belongs to it has been told.
    pub(crate) fn due(&self, bounds: &PromiseBounds) -> Option<Duration> {
        let end = self.end.as_ref().map(|(at, _)| *at + bounds.judge_delay);
        let sent = self.sent.as_ref();
        end.or_else(|| sent.map(|sent| sent.at + sent.deadline + bounds.give_up_time))
    }

    /// The status, if an answer came to its proper end.
    pub(crate) fn whole_status(&self) -> Option<u16> {
        match self.end {
            Some((_, CallEnd::Answered { status, is_whole: true, .. })) => Some(status),
            _ => None,
        }
    }

    /// Whether it ended without what its caller asked for, by no wish of its caller's.
    pub(crate) fn has_failed(&self) -> bool {
        let has_left = matches!(self.end, None | Some((_, CallEnd::Left | CallEnd::NotConnected)));
        !has_left && self.whole_status().is_none_or(|status| status >= 300)
    }

    /// Whether a log has to tell why it failed: its process had it, and could tell.
    pub(crate) fn needs_cause(&self, view: JudgeView<'_>) -> bool {
        let (Some(sent), Some(process), Some((at, end))) = (&self.sent, &self.process, &self.end)
        else {
            return false;
        };
        let is_harmed = self.is_harmed(sent, process, *at, view);
        let is_unread = *end == CallEnd::Closed && self.is_crossed(sent, *at, view);
        self.has_failed() && (self.whole_status().is_some() || !is_harmed && !is_unread)
    }

    pub(crate) fn judge(&self, id: &Arc<str>, view: JudgeView<'_>) -> Vec<PromiseViolation> {
        let mut found = Vec::new();
        found.extend(self.judge_end(view));
        found.extend(self.judge_answer(id));
        found.extend(self.judge_runs());
        let at = self.end.as_ref().map_or(self.last_heard, |(at, _)| *at);
        let violation = |(promise, line): (SoakPromise, String)| {
            let process = self.process.iter();
            let ids: Vec<&Arc<str>> = [id].into_iter().chain(process).collect();
            PromiseViolation::new(promise, at, &ids, line)
        };
        found.into_iter().map(violation).collect()
    }

    /// One whole answer or a refusal, in time.
    fn judge_end(&self, view: JudgeView<'_>) -> Option<(SoakPromise, String)> {
        let (sent, process) = (self.sent.as_ref()?, self.process.as_ref()?);
        let until = self.end.as_ref().map_or(sent.at + sent.deadline, |(at, _)| *at);
        let is_harmed = self.is_harmed(sent, process, until, view);
        let latest = sent.at + sent.deadline + view.bounds.answer_slack;
        let took = until.saturating_sub(sent.at);
        // The system counts from the head on, which may come long before the body's end.
        let began = self.began.unwrap_or(sent.at);
        let line = match self.end.as_ref().map(|(_, end)| end) {
            Some(CallEnd::Left | CallEnd::NotConnected) => return None,
            _ if is_harmed => return None,
            None => format!("has no end long after its {:.1?}", sent.deadline),
            Some(CallEnd::TimedOut) => format!("had no end after {took:.1?}"),
            Some(_) if until > latest => format!("took {took:.1?} of {:.1?}", sent.deadline),
            Some(CallEnd::Closed) if !self.may_be_cut(sent, until, view) => {
                format!("was closed without an answer after {took:.2?}{}", self.signal(until, view))
            }
            Some(CallEnd::Answered { is_whole: false, .. })
                if until + view.bounds.answer_slack < began + sent.deadline
                    && !self.may_be_cut(sent, until, view) =>
            {
                format!("was answered in part after {took:.2?}{}", self.signal(until, view))
            }
            Some(CallEnd::Answered { status, signed_by: None, .. })
                if (300..500).contains(status) && !NOT_RUN.contains(status) =>
            {
                format!("was proper and was denied with {status}")
            }
            Some(_) => return None,
        };
        Some((SoakPromise::Answered, line))
    }

    /// Whether its process, or the link to it, was harmed around it.
    fn is_harmed(
        &self,
        sent: &SentCall,
        process: &str,
        until: Duration,
        view: JudgeView<'_>,
    ) -> bool {
        let PromiseBounds { fault_span, kept_span, .. } = view.bounds;
        // A connection that died while it was kept is found dead by the next request alone.
        let is_unread = sent.is_kept && self.runs.is_empty();
        let before = if is_unread { kept_span } else { fault_span };
        view.faults.harms(process, sent.at.saturating_sub(*before), until + *fault_span)
    }

    /// What to add about a SIGTERM.
    fn signal(&self, at: Duration, view: JudgeView<'_>) -> &'static str {
        let process = self.process.as_deref().unwrap_or_default();
        match view.processes.is_ending(process, at, at) {
            true => ", while its process drained and nothing was harmed",
            false => "",
        }
    }

    /// Whether a connection may end early though its process wasn't harmed.
    fn may_be_cut(&self, sent: &SentCall, at: Duration, view: JudgeView<'_>) -> bool {
        let process = self.process.as_deref().unwrap_or_default();
        let span = view.bounds.fault_span;
        let from = sent.at.saturating_sub(span);
        let mut upstreams = self.runs.iter().map(|run| &run.upstream);
        let is_broken = upstreams.any(|upstream| view.faults.breaks(upstream, from, at + span));
        let tail = view.processes.tail_of_grace(process, sent.at);
        let is_at_work = |tail: Duration| {
            self.runs.iter().any(|run| run.ended.is_none_or(|ended| ended >= tail))
        };
        is_broken
            || self.is_crossed(sent, at, view)
            || tail.is_some_and(|tail| at >= tail && is_at_work(tail))
    }

    /// Whether it may have met the close of its connection, unread.
    fn is_crossed(&self, sent: &SentCall, at: Duration, view: JudgeView<'_>) -> bool {
        let process = self.process.as_deref().unwrap_or_default();
        let span = view.bounds.fault_span;
        let from = sent.at.saturating_sub(span);
        let is_soon = at.saturating_sub(sent.at) <= view.bounds.cross_slack;
        let is_ending = view.processes.is_ending(process, from, at + span);
        self.runs.is_empty() && is_soon && (sent.is_kept || is_ending)
    }

    /// The answer is this request's, and what its upstream gave.
    fn judge_answer(&self, id: &Arc<str>) -> Option<(SoakPromise, String)> {
        let (_, CallEnd::Answered { status, is_whole, answered_id, signed_by, body, .. }) =
            self.end.as_ref()?
        else {
            return None;
        };
        let is_success = (200..300).contains(status);
        let belongs = |line: String| Some((SoakPromise::AnswerBelongs, line));
        let kind = self.sent.as_ref().map(|sent| sent.kind);
        let is_stream = matches!(kind, Some(CallKind::ResumableStream | CallKind::ClosedStream));
        let signer = signed_by.as_ref().filter(|name| self.has_run_at(name));
        let first = self.runs.first().and_then(|run| run.resumed_after).unwrap_or_default() + 1;
        let fault = EventSeries::read(body).fault(first);
        match () {
            () if answered_id.as_ref().is_some_and(|answered| answered != id) => {
                belongs(format!("got the answer of {answered_id:?}"))
            }
            () if !is_success => None,
            () if answered_id.is_none() => belongs("got a success that doesn't repeat it".into()),
            () if signer.is_none() => {
                belongs(format!("got a success signed by {signed_by:?}, which didn't run it"))
            }
            () if is_stream && fault.is_some() => belongs(fault.unwrap_or_default()),
            () if !is_whole || self.runs.iter().any(|run| gave(run, body)) => None,
            () if self.runs.iter().any(|run| run.body.is_some()) => {
                belongs(format!("got {} bytes that no upstream gave", body.len()))
            }
            () => {
                let line = format!("got {} bytes as whole; no upstream gave it whole", body.len());
                Some((SoakPromise::PartNeverWhole, line))
            }
        }
    }

    fn has_run_at(&self, upstream: &Arc<str>) -> bool {
        self.runs.iter().any(|run| run.upstream == *upstream)
    }

    /// No run after a refusal, no second run of what may run once.
    pub(crate) fn judge_runs(&self) -> Option<(SoakPromise, String)> {
        let refusal = match &self.end {
            Some((_, CallEnd::Answered { status, .. })) if NOT_RUN.contains(status) => *status,
            _ => 0,
        };
        let kind = self.sent.as_ref().map(|sent| sent.kind);
        let is_once = matches!(kind, Some(CallKind::NonIdempotent | CallKind::ClosedStream));
        let places: Vec<&str> = self.runs.iter().map(|run| &*run.upstream).collect();
        let places = places.join(", ");
        match self.runs.len() {
            runs if runs > 0 && refusal > 0 => {
                let line = format!("was refused with {refusal} as not run and ran at {places}");
                Some((SoakPromise::RefusedNeverRuns, line))
            }
            runs if runs > 1 && is_once => {
                Some((SoakPromise::RunsOnce, format!("ran {runs} times, at {places}")))
            }
            _ => None,
        }
    }
}

/// Whether a run's whole body is the answer, or the end of it if the run went on from another.
fn gave(run: &CallRun, body: &[u8]) -> bool {
    match (&run.body, run.resumed_after) {
        (Some(whole), None) => whole == body,
        (Some(whole), Some(after)) => {
            let is_next = EventSeries::read(whole).fault(after + 1).is_none();
            is_next && body.ends_with(whole)
        }
        (None, _) => false,
    }
}
