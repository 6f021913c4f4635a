//! Whether processes end as they are told and say truly whether they are ready.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_history::FaultHistory;
use crate::{PromiseBounds, PromiseViolation, SoakPromise};

/// What a process said of its readiness that is kept.
const KEPT_WORDS: usize = 256;
/// Lives of a process that are kept.
const KEPT_LIVES: usize = 8;
/// The last part of a grace, as a divisor: work that still goes on then may be cut.
const GRACE_TAIL: u32 = 6;
/// Work that was sent later than this after SIGTERM may not.
const LAST_SENT: Duration = Duration::from_secs(3);

/// One life of a process.
#[derive(Debug, Default)]
struct ProcessLife {
    started: Option<Duration>,
    /// The first SIGTERM and its grace.
    terminated: Option<(Duration, Duration)>,
    terminations: u32,
    ended: Option<Duration>,
    is_overdue: bool,
    words: VecDeque<(Duration, Option<bool>)>,
    /// Calls in a row without any answer, while it said that it is ready.
    tries: usize,
}

/// The processes' lives.
#[derive(Debug, Default)]
pub(crate) struct ProcessWatch {
    /// The last lives of each, the newest last.
    lives: BTreeMap<Arc<str>, VecDeque<ProcessLife>>,
}

impl ProcessWatch {
    pub(crate) fn start(&mut self, at: Duration, process: &Arc<str>) {
        let lives = self.lives.entry(Arc::clone(process)).or_default();
        lives.push_back(ProcessLife { started: Some(at), ..ProcessLife::default() });
        if lives.len() > KEPT_LIVES {
            lives.pop_front();
        }
    }

    /// The life that goes on, or the last one.
    fn newest(&mut self, process: &Arc<str>) -> &mut ProcessLife {
        let lives = self.lives.entry(Arc::clone(process)).or_default();
        if lives.is_empty() {
            lives.push_back(ProcessLife::default());
        }
        let last = lives.len() - 1;
        &mut lives[last]
    }

    pub(crate) fn terminate(&mut self, at: Duration, process: &Arc<str>, grace: Duration) {
        let life = self.newest(process);
        life.terminations += 1;
        life.terminated.get_or_insert((at, grace));
    }

    /// Whether a process that ends at `at` had used up its grace.
    pub(crate) fn is_past_grace(&self, process: &str, at: Duration) -> bool {
        let life = self.lives.get(process).and_then(VecDeque::back);
        life.and_then(|life| life.terminated).is_some_and(|(from, grace)| at >= from + grace)
    }

    pub(crate) fn end(
        &mut self,
        at: Duration,
        process: &Arc<str>,
        (code, was_killed): (Option<i32>, bool),
        (bounds, faults): (&PromiseBounds, &FaultHistory),
    ) -> Vec<PromiseViolation> {
        let life = self.newest(process);
        life.ended = Some(at);
        let from = life.terminated.map_or(at, |(from, _)| from);
        let is_struck = faults.strikes(process, from.saturating_sub(bounds.fault_span), at);
        let allowed = life.terminated.map(|(from, grace)| from + grace + bounds.end_slack);
        let line = match allowed {
            _ if is_struck => return Vec::new(),
            Some(allowed) if at > allowed => {
                let is_told = std::mem::replace(&mut life.is_overdue, true);
                if is_told {
                    return Vec::new();
                }
                format!("{process} didn't end by itself within its grace")
            }
            _ if was_killed => return Vec::new(),
            None => format!("{process} ended by itself with {code:?}, told by nobody"),
            // A second signal may end a process at once, with a code of its own.
            Some(_) if code == Some(0) || life.terminations > 1 && code.is_some() => {
                return Vec::new();
            }
            Some(_) => format!("{process} was told to end and ended with {code:?}"),
        };
        vec![PromiseViolation::new(SoakPromise::EndsInGrace, at, &[process], line)]
    }

    /// Finds processes that should have ended.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        (bounds, faults): (&PromiseBounds, &FaultHistory),
    ) -> Vec<PromiseViolation> {
        let mut violations = Vec::new();
        for (process, lives) in &mut self.lives {
            let Some(life) = lives.back_mut() else { continue };
            let Some((from, grace)) = life.terminated else { continue };
            let is_due = now > from + grace + bounds.end_slack;
            let is_struck = faults.strikes(process, from, now);
            if life.ended.is_some() || life.is_overdue || !is_due || is_struck {
                continue;
            }
            life.is_overdue = true;
            let line = format!("{process} goes on after its grace of {grace:.1?}");
            let promise = SoakPromise::EndsInGrace;
            violations.push(PromiseViolation::new(promise, now, &[process], line));
        }
        violations
    }

    pub(crate) fn say(
        &mut self,
        at: Duration,
        process: &Arc<str>,
        is_ready: Option<bool>,
        (bounds, faults): (&PromiseBounds, &FaultHistory),
    ) -> Vec<PromiseViolation> {
        let life = self.newest(process);
        life.words.push_back((at, is_ready));
        if life.words.len() > KEPT_WORDS {
            life.words.pop_front();
        }
        let Some((from, _)) = life.terminated else { return Vec::new() };
        let is_due = at > from + bounds.drain_word_time && is_ready == Some(true);
        if !is_due || life.ended.is_some() || faults.harms(process, from, at) {
            return Vec::new();
        }
        let line = format!("{process} drains since {from:.1?} and says that it is ready");
        vec![PromiseViolation::new(SoakPromise::ReadinessTrue, at, &[process], line)]
    }

    /// Notes whether a call to a process, from its beginning to `at`, got any answer at all.
    pub(crate) fn try_call(
        &mut self,
        (began, at): (Duration, Duration),
        process: &Arc<str>,
        has_answer: bool,
        (bounds, faults): (&PromiseBounds, &FaultHistory),
    ) -> Vec<PromiseViolation> {
        let life = self.newest(process);
        let (from, to) = (began.saturating_sub(bounds.fault_span), at + bounds.fault_span);
        let is_ending = life.terminated.is_some() || life.ended.is_some();
        let is_new = life.started.is_some_and(|started| started > from);
        let is_harmed = faults.harms(process, from, to);
        // All that it said around the call: one word against it is enough.
        let near =
            |said: &Duration| *said + bounds.ready_age >= at && *said <= at + bounds.ready_age;
        let mut words = life.words.iter().filter(|(said, _)| near(said)).peekable();
        let is_claimed = words.peek().is_some() && words.all(|(_, word)| *word == Some(true));
        match () {
            () if has_answer => life.tries = 0,
            () if is_ending || is_new || is_harmed || !is_claimed => {}
            () => life.tries += 1,
        }
        if life.tries < bounds.ready_tries {
            return Vec::new();
        }
        life.tries = 0;
        let line = format!("{process} says that it is ready, and answers none of its calls");
        vec![PromiseViolation::new(SoakPromise::ReadinessTrue, at, &[process], line)]
    }

    /// Whether `process` drained, started or ended between `from` and `to`.
    pub(crate) fn is_ending(&self, process: &str, from: Duration, to: Duration) -> bool {
        let is_between = |at: &Duration| *at >= from && *at <= to;
        let is_ending = |life: &ProcessLife| {
            let is_told = life.terminated.is_some_and(|(at, _)| at <= to);
            let is_draining = is_told && life.ended.is_none_or(|ended| ended >= from);
            is_draining || life.started.iter().chain(&life.ended).any(is_between)
        };
        self.lives.get(process).is_some_and(|lives| lives.iter().any(is_ending))
    }

    /// From when on a request sent at `sent` may be cut because its process's grace is nearly over.
    pub(crate) fn tail_of_grace(&self, process: &str, sent: Duration) -> Option<Duration> {
        let is_before = |life: &&ProcessLife| life.started.is_none_or(|started| started <= sent);
        let life = self.lives.get(process)?.iter().rfind(is_before)?;
        let (from, grace) = life.terminated?;
        (sent <= from + LAST_SENT).then_some(from + grace - grace / GRACE_TAIL)
    }
}
