//! For each guarantee, schedules that keep it, and schedules whose violation must be found.

use std::sync::Arc;
use std::time::Duration;

use wheel_soak::{
    CallEnd, CallKind, FailedCall, GuaranteeBounds, GuaranteeChecker, GuaranteeViolation,
    Observation, SeenEvent, SeenOrder, SystemGuarantee,
};

const DEADLINE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
const MAX_ENGINES: usize = 2;
const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
/// The part of the stream after event 1.
const REST: &[u8] = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// A sequence of observations with their times in milliseconds.
#[derive(Default)]
struct Schedule {
    events: Vec<(u64, SeenEvent)>,
}

impl Schedule {
    fn add(mut self, at: u64, event: SeenEvent) -> Self {
        self.events.push((at, event));
        self
    }

    fn sent(self, at: u64, id: &str, kind: CallKind) -> Self {
        self.sent_on(at, id, kind, false)
    }

    fn sent_on(self, at: u64, id: &str, kind: CallKind, is_kept: bool) -> Self {
        let process = name("entry-1");
        let began = SeenEvent::CallBegan { id: name(id), process: Arc::clone(&process) };
        let deadline = DEADLINE;
        self.add(at, began).add(
            at,
            SeenEvent::CallSent {
                id: name(id),
                kind,
                process,
                deadline,
                is_kept,
                max_engines: MAX_ENGINES,
            },
        )
    }

    fn run_started(self, at: u64, id: &str, upstream: &str) -> Self {
        let (id, upstream) = (name(id), name(upstream));
        self.add(at, SeenEvent::RunBegan { id, upstream, resumed_after: None })
    }

    fn run_ended(self, at: u64, id: &str, upstream: &str, body: Option<&[u8]>) -> Self {
        let body = body.map(<[u8]>::to_vec);
        self.add(at, SeenEvent::RunEnded { id: name(id), upstream: name(upstream), body })
    }

    fn ended(self, at: u64, id: &str, end: CallEnd) -> Self {
        self.add(at, SeenEvent::CallEnded { id: name(id), end })
    }

    fn answered(self, at: u64, id: &str, upstream: &str, body: &[u8]) -> Self {
        self.ended(at, id, answer(200, id, Some(upstream), body, true))
    }

    fn terminated(self, at: u64) -> Self {
        self.add(at, SeenEvent::ProcessTerminated { process: name("entry-1"), grace: GRACE })
    }

    fn exited(self, at: u64, code: Option<i32>, was_killed: bool) -> Self {
        self.add(at, SeenEvent::ProcessEnded { process: name("entry-1"), code, was_killed })
    }

    fn readiness(self, at: u64, is_ready: bool) -> Self {
        let is_ready = Some(is_ready);
        self.add(at, SeenEvent::Readiness { process: name("entry-1"), is_ready })
    }

    fn fault(self, from: u64, to: u64, kind: &str, target: &str) -> Self {
        let (kind, target) = (name(kind), name(target));
        let (began, same) =
            (SeenEvent::FaultBegan { kind: kind.clone(), target: target.clone() }, kind);
        self.add(from, began).add(to, SeenEvent::FaultEnded { kind: same, target })
    }

    fn ordered(self, at: u64, holder: &str, fencing: u64) -> Self {
        self.add(at, SeenEvent::Ordered(order(holder, fencing)))
    }

    fn acknowledged(self, at: u64, version: u64) -> Self {
        let process = name("control-0");
        self.add(at, SeenEvent::ChangeSent { version, process })
            .add(at, SeenEvent::ChangeAcknowledged { version })
    }

    fn read(self, at: u64, version: Option<u64>) -> Self {
        let (asked, process) = (ms(at), name("control-1"));
        self.add(at + 10, SeenEvent::ChangeRead { asked, process, version })
    }

    fn observed(self, at: u64, version: u64) -> Self {
        let (sent, process) = (ms(at), name("entry-1"));
        self.add(at + 10, SeenEvent::ChangeObserved { sent, process, version })
    }

    /// Returns the violations in order of time, with a tick every 100 ms and for 30 s after the end.
    fn check_with(mut self, bounds: GuaranteeBounds) -> Vec<GuaranteeViolation> {
        self.events.sort_by_key(|(at, _)| *at);
        let mut checker = GuaranteeChecker::open(bounds);
        let (mut now, mut violations) = (0, Vec::new());
        for (at, event) in self.events {
            while now + 100 < at {
                now += 100;
                violations.extend(checker.tick(ms(now)));
            }
            violations.extend(checker.observe(&Observation { at: ms(at), event }));
        }
        for _ in 0..300 {
            now += 100;
            violations.extend(checker.tick(ms(now)));
        }
        violations.extend(checker.finish());
        violations
    }

    fn check(self) -> Vec<GuaranteeViolation> {
        self.check_with(bounds())
    }

    #[track_caller]
    fn assert_no_violation(self) {
        assert_eq!(self.check(), Vec::new());
    }

    #[track_caller]
    fn assert_violation(self, guarantee: SystemGuarantee, reports: &str) {
        let violations = self.check();
        let is_found =
            |one: &GuaranteeViolation| one.guarantee == guarantee && one.line.contains(reports);
        assert!(
            violations.len() == 1 && violations.iter().all(is_found),
            "{guarantee:?} {reports:?}: {violations:?}"
        );
    }
}

fn bounds() -> GuaranteeBounds {
    GuaranteeBounds {
        close_slack: ms(500),
        change_time: ms(4_000),
        downgrade_slack: ms(500),
        resume_time: ms(2_000),
        load_window: ms(2_000),
        leave_time: ms(4_000),
        recovery_time: ms(10_000),
        control: [name("control-0")].into(),
        ..GuaranteeBounds::default()
    }
}

fn order(holder: &str, fencing: u64) -> SeenOrder {
    let (upstream, holder) = (name("engine-1"), name(holder));
    let (held_mb, room_mb, is_store_load, status) = (20, 25, false, 202);
    SeenOrder { upstream, held_mb, room_mb, holder, fencing, is_store_load, status }
}

fn answer(status: u16, id: &str, by: Option<&str>, body: &[u8], is_whole: bool) -> CallEnd {
    let (answered_id, signed_by) = (Some(name(id)), by.map(name));
    let body = body.to_vec();
    CallEnd::Answered { status, is_whole, answered_id, signed_by, body, retry_after: None }
}

fn refusal(status: u16, id: &str) -> CallEnd {
    answer(status, id, None, b"", true)
}

/// A request that runs at one upstream and is answered.
fn served(id: &str, at: u64) -> Schedule {
    Schedule::default()
        .sent(at, id, CallKind::NonIdempotent)
        .run_started(at + 5, id, "app-0")
        .run_ended(at + 20, id, "app-0", Some(b"whole"))
        .answered(at + 25, id, "app-0", b"whole")
}

/// A request whose connection closes without an answer at `at + 500`, while it is running.
fn closed_call(at: u64) -> Schedule {
    Schedule::default().sent(at, "r", CallKind::Idempotent).run_started(at + 5, "r", "app-0").ended(
        at + 500,
        "r",
        CallEnd::Closed,
    )
}

#[test]
fn answered_whole_answers_and_refusals_pass() {
    served("r", 100)
        .sent(200, "refused", CallKind::NonIdempotent)
        .ended(300, "refused", refusal(503, "refused"))
        .sent(200, "unknown", CallKind::NonIdempotent)
        .run_started(210, "unknown", "app-0")
        .ended(3_100, "unknown", refusal(504, "unknown"))
        .sent(200, "left", CallKind::ClosedStream)
        .ended(300, "left", CallEnd::Left)
        .assert_no_violation();
}

#[test]
fn answered_observed_in_any_order_passes() {
    // The answer is observed before the other events of the caller and the upstream.
    Schedule::default()
        .answered(100, "r", "app-0", b"whole")
        .run_started(101, "r", "app-0")
        .run_ended(102, "r", "app-0", Some(b"whole"))
        .sent(103, "r", CallKind::NonIdempotent)
        .assert_no_violation();
}

#[test]
fn answered_cut_beside_faults_passes() {
    for (kind, target) in
        [("kill", "entry-1"), ("pause", "entry-1"), ("reset", "entry-1>app-0"), ("hang", "app-0")]
    {
        closed_call(9_000).fault(8_500, 9_200, kind, target).assert_no_violation();
    }
    closed_call(9_000).fault(8_500, 9_200, "reset", "entries>app-0").assert_no_violation();
    closed_call(9_000).fault(8_500, 9_200, "reset", "callers>entry-1").assert_no_violation();
    closed_call(9_000).exited(9_500, None, true).assert_no_violation();
}

#[test]
fn answered_cut_without_a_fault_is_found() {
    closed_call(9_000).assert_violation(SystemGuarantee::Answered, "closed without an answer");
}

#[test]
fn answered_cut_beside_a_fault_elsewhere_is_found() {
    let reports = "closed without an answer";
    closed_call(9_000)
        .fault(8_500, 9_200, "kill", "entry-2")
        .assert_violation(SystemGuarantee::Answered, reports);
    closed_call(9_000)
        .fault(1_000, 2_000, "kill", "entry-1")
        .assert_violation(SystemGuarantee::Answered, reports);
    closed_call(9_000)
        .fault(8_500, 9_200, "pause", "entry-11")
        .assert_violation(SystemGuarantee::Answered, reports);
    let other_upstream = closed_call(9_000).fault(8_500, 9_200, "reset", "entries>app-1");
    other_upstream.assert_violation(SystemGuarantee::Answered, reports);
    let other_entry = closed_call(9_000).fault(8_500, 9_200, "reset", "callers>entry-2");
    other_entry.assert_violation(SystemGuarantee::Answered, reports);
    let other_link = closed_call(9_000).fault(8_500, 9_200, "reset", "entry-2>app-0");
    other_link.assert_violation(SystemGuarantee::Answered, reports);
}

#[test]
fn answered_cut_by_sigterm_is_found() {
    closed_call(9_000)
        .fault(9_100, 9_100, "terminate", "entry-1")
        .terminated(9_100)
        .exited(9_600, Some(0), false)
        .assert_violation(
            SystemGuarantee::Answered,
            "while its process drained and no fault affected it",
        );
}

#[test]
fn answered_cut_in_the_last_sixth_of_the_grace_passes() {
    let schedule = Schedule::default().sent(9_000, "r", CallKind::ClosedStream).terminated(9_100);
    let schedule =
        schedule.run_started(9_010, "r", "engine-1").run_ended(11_600, "r", "engine-1", None);
    let part = answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\n", false);
    // The grace period is nearly over; a stream that is cut off earlier isn't excused.
    schedule.ended(11_600, "r", part.clone()).exited(14_500, Some(0), false).assert_no_violation();
    let schedule = Schedule::default().sent(9_000, "r", CallKind::ClosedStream).terminated(4_000);
    let schedule =
        schedule.run_started(9_010, "r", "engine-1").run_ended(9_500, "r", "engine-1", None);
    schedule
        .ended(9_500, "r", part)
        .exited(9_600, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "answered partially");
    let schedule = Schedule::default().sent(9_000, "r", CallKind::Idempotent).terminated(6_100);
    let schedule =
        schedule.run_started(9_010, "r", "engine-1").run_ended(11_300, "r", "engine-1", None);
    schedule
        .ended(11_300, "r", CallEnd::Closed)
        .exited(11_400, Some(0), false)
        .assert_no_violation();
}

#[test]
fn answered_request_crossing_a_close_passes() {
    Schedule::default()
        .sent_on(9_000, "r", CallKind::NonIdempotent, true)
        .ended(9_100, "r", CallEnd::Closed)
        .assert_no_violation();
}

/// A request that is sent behind another one at 9.1 s.
fn queued_call() -> Schedule {
    Schedule::default().add(9_100, SeenEvent::CallQueued { id: name("r") }).sent_on(
        9_100,
        "r",
        CallKind::Idempotent,
        true,
    )
}

/// Its turn comes when the answer before it has arrived.
fn queued_call_with_turn(at: u64) -> Schedule {
    queued_call().add(at, SeenEvent::CallTurn { id: name("r") })
}

#[test]
fn answered_queued_request_behind_a_cut_answer_passes() {
    queued_call().ended(9_900, "r", CallEnd::Closed).assert_no_violation();
}

#[test]
fn answered_queued_request_has_its_time_from_its_turn_passes() {
    queued_call_with_turn(14_000)
        .run_started(14_010, "r", "app-0")
        .run_ended(16_000, "r", "app-0", Some(b"whole"))
        .answered(16_000, "r", "app-0", b"whole")
        .assert_no_violation();
}

#[test]
fn answered_queued_request_that_crosses_a_close_passes() {
    queued_call_with_turn(9_150).ended(9_200, "r", CallEnd::Closed).assert_no_violation();
}

// The process has read a request that waits behind a long answer, and closes in place of its answer.
#[test]
fn answered_queued_request_closed_behind_a_whole_answer_is_found() {
    let reports = "closed without an answer";
    let closed = || queued_call_with_turn(9_900).ended(9_900, "r", CallEnd::Closed);
    closed().assert_violation(SystemGuarantee::Answered, reports);
    closed()
        .terminated(8_000)
        .exited(13_500, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "while its process drained");
    // Not even at the end of the grace, since nothing is at work on it.
    closed()
        .terminated(4_000)
        .exited(9_950, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, reports);
}

#[test]
fn answered_queued_request_late_after_its_turn_is_found() {
    queued_call_with_turn(10_000)
        .run_started(10_010, "r", "app-0")
        .run_ended(13_700, "r", "app-0", Some(b"whole"))
        .answered(13_700, "r", "app-0", b"whole")
        .assert_violation(SystemGuarantee::Answered, "took");
}

/// A request whose caller reads slowly, cut at 9.9 s although its upstream has ended.
fn slowed_call() -> Schedule {
    let part = answer(200, "r", Some("app-0"), b"who", false);
    Schedule::default()
        .sent(9_000, "r", CallKind::Idempotent)
        .run_started(9_010, "r", "app-0")
        .run_ended(9_100, "r", "app-0", Some(b"whole"))
        .ended(9_900, "r", part)
}

#[test]
fn answered_slowed_caller_cut_after_its_upstream_has_ended_is_found() {
    let part = answer(200, "r", Some("app-0"), b"who", false);
    Schedule::default()
        .sent(6_900, "r", CallKind::Idempotent)
        .add(6_900, SeenEvent::CallSlowed { id: name("r"), by: ms(500) })
        .run_started(6_910, "r", "app-0")
        .run_ended(7_000, "r", "app-0", Some(b"whole"))
        .ended(9_100, "r", part)
        .terminated(4_000)
        .exited(9_200, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "answered partially");
}

#[test]
fn answered_slowed_caller_takes_its_own_pause_and_no_longer() {
    let ended_after = |took: u64| {
        Schedule::default()
            .sent(9_000, "r", CallKind::Idempotent)
            .add(9_000, SeenEvent::CallSlowed { id: name("r"), by: ms(2_000) })
            .run_started(9_010, "r", "app-0")
            .run_ended(9_100, "r", "app-0", Some(b"whole"))
            .answered(9_000 + took, "r", "app-0", b"whole")
    };
    ended_after(5_400).assert_no_violation();
    ended_after(5_600).assert_violation(SystemGuarantee::Answered, "took");
}

#[test]
fn answered_slowed_caller_cut_earlier_is_found() {
    let slowed = || slowed_call().add(9_000, SeenEvent::CallSlowed { id: name("r"), by: ms(500) });
    slowed().assert_violation(SystemGuarantee::Answered, "answered partially");
    // In the last sixth, but sent later than 3 s after the signal.
    slowed()
        .terminated(4_400)
        .exited(10_000, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "answered partially");
    slowed()
        .terminated(8_000)
        .exited(13_500, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "while its process drained");
}

#[test]
fn answered_kept_connection_closed_late_or_after_a_run_is_found() {
    Schedule::default()
        .sent_on(9_000, "r", CallKind::NonIdempotent, true)
        .ended(9_900, "r", CallEnd::Closed)
        .assert_violation(SystemGuarantee::Answered, "closed without an answer");
    Schedule::default()
        .sent_on(9_000, "r", CallKind::NonIdempotent, true)
        .run_started(9_050, "r", "app-0")
        .ended(9_100, "r", CallEnd::Closed)
        .assert_violation(SystemGuarantee::Answered, "closed without an answer");
}

#[test]
fn answered_new_connection_closed_at_once_is_found() {
    Schedule::default()
        .sent(9_000, "r", CallKind::NonIdempotent)
        .ended(9_100, "r", CallEnd::Closed)
        .assert_violation(SystemGuarantee::Answered, "closed without an answer");
}

#[test]
fn answered_late_is_found() {
    Schedule::default()
        .sent(100, "r", CallKind::Idempotent)
        .ended(3_700, "r", refusal(503, "r"))
        .assert_violation(SystemGuarantee::Answered, "took 3.6s of 3.0s");
}

#[test]
fn answered_never_is_found() {
    Schedule::default()
        .sent(100, "r", CallKind::Idempotent)
        .ended(9_000, "r", CallEnd::TimedOut)
        .assert_violation(SystemGuarantee::Answered, "no end after");
    let unended = Schedule::default().sent(100, "r", CallKind::Idempotent);
    unended.assert_violation(SystemGuarantee::Answered, "has no end");
}

#[test]
fn answered_never_on_a_kept_connection_that_died_passes() {
    // A silenced connection stays silent after the fault; only the next request reveals it.
    let schedule = |id: &str, is_kept| {
        let schedule = Schedule::default().fault(1_000, 2_000, "link_silence", "callers>entry-1");
        schedule.sent_on(12_000, id, CallKind::Idempotent, is_kept)
    };
    schedule("r", true).ended(18_500, "r", CallEnd::TimedOut).assert_no_violation();
    let new = schedule("r", false).ended(18_500, "r", CallEnd::TimedOut);
    new.assert_violation(SystemGuarantee::Answered, "had no end after");
    let read =
        schedule("r", true).run_started(12_010, "r", "app-0").ended(18_500, "r", CallEnd::TimedOut);
    read.assert_violation(SystemGuarantee::Answered, "had no end after");
}

#[test]
fn answered_in_part_is_found() {
    Schedule::default()
        .sent(100, "r", CallKind::ClosedStream)
        .run_started(110, "r", "engine-1")
        .ended(300, "r", answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\n", false))
        .assert_violation(SystemGuarantee::Answered, "answered partially");
}

#[test]
fn answered_in_part_at_the_end_of_its_time_passes() {
    // The body took two seconds to send, and the deadline counts from the head.
    let part = answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\n", false);
    let (id, process) = (name("r"), name("entry-1"));
    let (kind, deadline, is_kept) = (CallKind::ClosedStream, DEADLINE, false);
    Schedule::default()
        .add(100, SeenEvent::CallBegan { id: name("r"), process: name("entry-1") })
        .add(
            2_100,
            SeenEvent::CallSent { id, kind, process, deadline, is_kept, max_engines: MAX_ENGINES },
        )
        .run_started(2_110, "r", "engine-1")
        .run_ended(3_100, "r", "engine-1", None)
        .ended(3_110, "r", part)
        .assert_no_violation();
}

#[test]
fn answered_twice_is_found() {
    served("r", 100)
        .answered(300, "r", "app-0", b"whole")
        .assert_violation(SystemGuarantee::Answered, "a second time");
}

#[test]
fn answered_denied_is_found() {
    Schedule::default()
        .sent(100, "r", CallKind::Idempotent)
        .ended(300, "r", refusal(404, "r"))
        .assert_violation(SystemGuarantee::Answered, "rejected with 404");
}

#[test]
fn refused_that_ran_is_found() {
    for status in [408, 421, 429, 503] {
        Schedule::default()
            .sent(100, "r", CallKind::NonIdempotent)
            .run_started(110, "r", "app-0")
            .ended(300, "r", refusal(status, "r"))
            .assert_violation(SystemGuarantee::RefusedNeverRuns, "and ran at app-0");
    }
}

#[test]
fn refused_that_runs_long_after_is_found() {
    Schedule::default()
        .sent(100, "r", CallKind::NonIdempotent)
        .ended(300, "r", refusal(503, "r"))
        .run_started(40_000, "r", "app-0")
        .assert_violation(SystemGuarantee::RefusedNeverRuns, "and ran at app-0");
}

#[test]
fn runs_once_repeats_of_idempotent_calls_pass() {
    served("r", 100)
        .sent(100, "i", CallKind::Idempotent)
        .run_started(110, "i", "app-0")
        .run_ended(200, "i", "app-0", None)
        .run_started(210, "i", "app-1")
        .run_ended(220, "i", "app-1", Some(b"whole"))
        .answered(230, "i", "app-1", b"whole")
        .assert_no_violation();
}

#[test]
fn runs_once_second_run_is_found() {
    for kind in [CallKind::NonIdempotent, CallKind::ClosedStream] {
        Schedule::default()
            .sent(100, "r", kind)
            .run_started(110, "r", "app-0")
            .run_ended(120, "r", "app-0", Some(b"whole"))
            .run_started(130, "r", "app-1")
            .answered(200, "r", "app-0", b"whole")
            .assert_violation(SystemGuarantee::RunsOnce, "ran 2 times, at app-0, app-1");
    }
    let late = served("r", 100).run_started(30_000, "r", "app-1");
    late.assert_violation(SystemGuarantee::RunsOnce, "ran 2 times");
}

#[test]
fn answer_resumed_stream_passes() {
    resumed(STREAM).assert_no_violation();
}

/// A stream whose first upstream breaks after event 1.
fn resumed(body: &[u8]) -> Schedule {
    let (id, upstream, resumed_after) = (name("r"), name("engine-2"), Some(1));
    Schedule::default()
        .sent(100, "r", CallKind::ResumableStream)
        .run_started(110, "r", "engine-1")
        .run_ended(150, "r", "engine-1", None)
        .add(160, SeenEvent::RunBegan { id, upstream, resumed_after })
        .run_ended(200, "r", "engine-2", Some(REST))
        .answered(210, "r", "engine-1", body)
}

#[test]
fn answer_stream_with_a_lost_or_doubled_event_is_found() {
    resumed(REST)
        .assert_violation(SystemGuarantee::AnswerBelongs, "event 2 where event 1 was expected");
    let lost = b"id: 1\ndata: a\n\nid: 3\ndata: c\n\n";
    resumed(lost)
        .assert_violation(SystemGuarantee::AnswerBelongs, "event 3 where event 2 was expected");
    let doubled = [b"id: 1\ndata: a\n\nid: 1\ndata: a\n\n", REST].concat();
    resumed(&doubled)
        .assert_violation(SystemGuarantee::AnswerBelongs, "event 1 where event 2 was expected");
}

#[test]
fn answer_of_another_request_is_found() {
    let schedule = || {
        Schedule::default()
            .sent(100, "r", CallKind::Idempotent)
            .run_started(110, "r", "app-0")
            .run_ended(120, "r", "app-0", Some(b"whole"))
    };
    let other = schedule().ended(200, "r", answer(200, "q", Some("app-0"), b"whole", true));
    other.assert_violation(SystemGuarantee::AnswerBelongs, "got the answer of");
    let failure = schedule().ended(200, "r", answer(500, "q", Some("app-0"), b"", true));
    failure.assert_violation(SystemGuarantee::AnswerBelongs, "got the answer of");
    let stranger = schedule().answered(200, "r", "app-7", b"whole");
    stranger.assert_violation(SystemGuarantee::AnswerBelongs, "which didn't run it");
    let unsigned = schedule().ended(200, "r", answer(200, "r", None, b"whole", true));
    unsigned.assert_violation(SystemGuarantee::AnswerBelongs, "which didn't run it");
    let changed = schedule().answered(200, "r", "app-0", b"whale");
    changed.assert_violation(SystemGuarantee::AnswerBelongs, "no upstream sent");
}

#[test]
fn part_that_looks_whole_is_found() {
    Schedule::default()
        .sent(100, "r", CallKind::ClosedStream)
        .run_started(110, "r", "engine-1")
        .run_ended(150, "r", "engine-1", None)
        .answered(160, "r", "engine-1", b"id: 1\ndata: a\n\n")
        .assert_violation(SystemGuarantee::PartNeverWhole, "no upstream completed it");
}

#[test]
fn part_that_is_marked_passes() {
    // The upstream broke it, and the caller can detect that.
    Schedule::default()
        .sent(9_000, "r", CallKind::ClosedStream)
        .fault(9_050, 9_100, "reset", "engine-1")
        .run_started(9_010, "r", "engine-1")
        .run_ended(9_100, "r", "engine-1", None)
        .ended(
            9_110,
            "r",
            answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\nid: 2\nda", false),
        )
        .assert_no_violation();
}

#[test]
fn change_reads_in_time_pass() {
    Schedule::default()
        .acknowledged(1_000, 10)
        .read(1_100, Some(10))
        .acknowledged(9_000, 15)
        .read(9_500, Some(10))
        .observed(9_600, 10)
        .observed(9_700, 15)
        .read(20_000, None)
        .read(20_000, Some(15))
        .observed(20_000, 15)
        .assert_no_violation();
}

#[test]
fn change_that_was_reverted_is_found() {
    let schedule = || Schedule::default().acknowledged(1_000, 10).acknowledged(2_000, 15);
    schedule()
        .read(6_500, Some(10))
        .assert_violation(SystemGuarantee::ChangeKept, "15 was in force");
    schedule().observed(6_500, 10).assert_violation(SystemGuarantee::ChangeKept, "15 was in force");
    schedule().read(2_100, Some(17)).assert_violation(SystemGuarantee::ChangeKept, "never sent");
    let (version, process) = (17, name("control-1"));
    let invalid = schedule().add(3_000, SeenEvent::InvalidAccepted { version, process });
    invalid.assert_violation(SystemGuarantee::ChangeKept, "which is invalid");
}

#[test]
fn change_read_beside_faults_is_found() {
    // An instance that can't confirm a version must not return one, so a wrong answer is never excused.
    Schedule::default()
        .acknowledged(1_000, 10)
        .acknowledged(2_000, 15)
        .fault(6_000, 7_000, "pause", "control-1")
        .read(6_500, Some(10))
        .assert_violation(SystemGuarantee::ChangeKept, "15 was in force");
}

#[test]
fn change_probe_beside_faults_passes() {
    for target in ["entry-1", "entry-1>control-2", "control-0"] {
        Schedule::default()
            .acknowledged(1_000, 10)
            .acknowledged(2_000, 15)
            .fault(6_000, 7_000, "silence", target)
            .observed(6_500, 10)
            .assert_no_violation();
    }
}

#[test]
fn change_ingress_that_reverts_without_a_restart_is_found() {
    let schedule = || {
        Schedule::default()
            .acknowledged(1_000, 10)
            .acknowledged(9_000, 15)
            .observed(9_100, 15)
            .fault(9_200, 9_300, "silence", "entry-1")
    };
    schedule().observed(9_900, 10).assert_violation(SystemGuarantee::ChangeKept, "reverted from");
    // After a restart it may begin with its stored version.
    let process = name("entry-1");
    schedule()
        .add(9_500, SeenEvent::ProcessStarted { process })
        .observed(9_900, 10)
        .assert_no_violation();
}

#[test]
fn holder_with_a_pause_passes() {
    Schedule::default()
        .ordered(1_000, "control-0", 4)
        .ordered(1_100, "control-0", 4)
        .ordered(2_200, "control-1", 5)
        .ordered(2_300, "control-1", 6)
        .assert_no_violation();
}

#[test]
fn holder_late_orders_pass() {
    // Refused for its fencing number, or sent around the time when its sender was resumed.
    let fenced = SeenOrder { status: 412, ..order("control-0", 4) };
    Schedule::default()
        .ordered(1_000, "control-0", 4)
        .ordered(2_200, "control-1", 5)
        .add(2_300, SeenEvent::Ordered(fenced))
        .fault(1_100, 2_350, "pause", "control-0")
        .ordered(2_400, "control-0", 4)
        .assert_no_violation();
    // Held back by the link to its upstream.
    Schedule::default()
        .ordered(1_000, "control-0", 4)
        .fault(1_100, 2_350, "link_delay", "entries>engine-1")
        .ordered(2_400, "control-1", 5)
        .ordered(6_000, "control-1", 5)
        .assert_no_violation();
}

// An upstream's own fault holds no order back.
#[test]
fn holder_beside_a_fault_of_the_upstream_alone_is_found() {
    Schedule::default()
        .ordered(1_000, "control-0", 4)
        .fault(1_100, 1_400, "upstream_crash", "engine-1")
        .ordered(1_500, "control-1", 5)
        .assert_violation(SystemGuarantee::OneHolder, "after control-0");
}

#[test]
fn holder_faults_are_found() {
    let schedule = || Schedule::default().ordered(1_000, "control-0", 4);
    let guarantee = SystemGuarantee::OneHolder;
    schedule().ordered(1_500, "control-1", 5).assert_violation(guarantee, "after control-0");
    schedule().ordered(2_500, "control-1", 4).assert_violation(guarantee, "with the same number");
    schedule().ordered(2_500, "control-0", 3).assert_violation(guarantee, "orders with 3 after 4");
    let other = SeenOrder { upstream: name("engine-2"), ..order("control-1", 5) };
    schedule().add(1_500, SeenEvent::Ordered(other)).assert_violation(guarantee, "after control-0");
}

#[test]
fn holder_separate_groups_pass() {
    let groups = [(name("engine-1"), name("north")), (name("engine-2"), name("south"))];
    let bounds = GuaranteeBounds { order_groups: groups.into(), ..bounds() };
    let other = SeenOrder { upstream: name("engine-2"), ..order("control-1", 3) };
    let schedule = Schedule::default().ordered(1_000, "control-0", 4);
    let violations = schedule.add(1_100, SeenEvent::Ordered(other)).check_with(bounds);
    assert_eq!(violations, Vec::new());
}

#[test]
fn memory_overcommitted_is_found() {
    let over = SeenOrder { held_mb: 30, ..order("control-0", 4) };
    let refused = SeenOrder { status: 409, ..over.clone() };
    Schedule::default()
        .ordered(1_000, "control-0", 4)
        .add(1_100, SeenEvent::Ordered(refused))
        .assert_no_violation();
    Schedule::default()
        .add(1_100, SeenEvent::Ordered(over))
        .assert_violation(SystemGuarantee::MemoryHeld, "was ordered to hold 30 MB");
}

/// Loads from the store, `step` milliseconds apart.
fn loads(count: u64, step: u64) -> Schedule {
    let load = SeenOrder { is_store_load: true, ..order("control-0", 4) };
    let add = |schedule: Schedule, index| {
        schedule.add(1_000 + index * step, SeenEvent::Ordered(load.clone()))
    };
    (0..count).fold(Schedule::default(), add)
}

#[test]
fn store_rate_kept_passes() {
    // Ten per second in windows of 2 s, and three extra loads.
    loads(100, 100).assert_no_violation();
    loads(23, 10).assert_no_violation();
}

#[test]
fn store_rate_exceeded_is_found() {
    loads(24, 10).assert_violation(SystemGuarantee::StoreRate, "24 loads");
}

#[test]
fn leaving_upstream_without_new_work_passes() {
    let upstream = name("app-0");
    served("r", 9_000).add(6_000, SeenEvent::UpstreamLeaves { upstream }).assert_no_violation();
    let (upstream, process) = (name("app-0"), name("app-0"));
    served("r", 9_000)
        .add(1_000, SeenEvent::UpstreamLeaves { upstream })
        .add(8_000, SeenEvent::ProcessStarted { process })
        .assert_no_violation();
}

#[test]
fn leaving_upstream_with_new_work_is_found() {
    let leaves = |schedule: Schedule| {
        schedule.add(1_000, SeenEvent::UpstreamLeaves { upstream: name("app-0") })
    };
    leaves(served("r", 9_000))
        .assert_violation(SystemGuarantee::LeavingUnused, "had left long before");
    leaves(served("r", 9_000)).fault(8_000, 8_500, "silence", "entry-1>list").assert_no_violation();
    leaves(served("r", 9_000)).fault(8_000, 8_500, "list_lags", "list").assert_no_violation();
    let elsewhere = leaves(served("r", 9_000)).fault(8_000, 8_500, "silence", "entry-2>list");
    elsewhere.assert_violation(SystemGuarantee::LeavingUnused, "had left long before");
}

#[test]
fn ends_in_grace_passes() {
    Schedule::default().terminated(1_000).exited(6_000, Some(0), false).assert_no_violation();
    Schedule::default()
        .terminated(1_000)
        .terminated(1_500)
        .exited(2_000, Some(3), false)
        .assert_no_violation();
    Schedule::default().terminated(1_000).exited(2_000, None, true).assert_no_violation();
    let frozen = Schedule::default().terminated(1_000).fault(2_000, 6_500, "pause", "entry-1");
    frozen.exited(8_000, Some(0), false).assert_no_violation();
}

#[test]
fn ends_in_grace_faults_are_found() {
    let guarantee = SystemGuarantee::EndsInGrace;
    Schedule::default()
        .terminated(1_000)
        .assert_violation(guarantee, "is still running after its grace");
    let killed = Schedule::default().terminated(1_000).exited(7_800, None, true);
    killed.assert_violation(guarantee, "is still running after its grace");
    let failed = Schedule::default().terminated(1_000).exited(2_000, Some(1), false);
    failed.assert_violation(guarantee, "exited with Some(1)");
    Schedule::default()
        .exited(2_000, Some(101), false)
        .assert_violation(guarantee, "without a signal");
    Schedule::default().exited(2_000, None, false).assert_violation(guarantee, "without a signal");
    let link =
        Schedule::default().terminated(1_000).fault(2_000, 9_000, "delay", "callers>entry-1");
    link.exited(9_000, Some(0), false)
        .assert_violation(guarantee, "is still running after its grace");
}

#[test]
fn readiness_of_a_drain_passes() {
    Schedule::default()
        .readiness(900, true)
        .terminated(1_000)
        .readiness(1_500, true)
        .readiness(2_100, false)
        .exited(5_000, Some(0), false)
        .add(6_000, SeenEvent::ProcessStarted { process: name("entry-1") })
        .readiness(7_500, true)
        .assert_no_violation();
}

#[test]
fn readiness_that_hides_a_drain_is_found() {
    Schedule::default()
        .terminated(1_000)
        .readiness(2_100, true)
        .exited(5_000, Some(0), false)
        .assert_violation(SystemGuarantee::ReadinessTrue, "drains since");
}

/// Ten calls that can't connect, while the process reports its readiness every half second.
fn unanswered_calls(is_ready: bool) -> Schedule {
    let reports = (0..40).fold(Schedule::default(), |schedule, index| {
        schedule.readiness(1_000 + index * 500, is_ready)
    });
    (0..10).fold(reports, |schedule, index| {
        let (id, process) = (format!("r-{index}"), name("entry-1"));
        let at = 9_000 + index * 200;
        schedule.add(at, SeenEvent::CallBegan { id: name(&id), process }).ended(
            at + 10,
            &id,
            CallEnd::NotConnected,
        )
    })
}

#[test]
fn readiness_without_connections_is_found() {
    unanswered_calls(true)
        .assert_violation(SystemGuarantee::ReadinessTrue, "answers none of its calls");
}

#[test]
fn readiness_calls_begun_during_a_fault_pass() {
    // The calls began while answers were lost, and gave up long afterwards.
    let reports =
        (0..80).fold(Schedule::default(), |schedule, index| schedule.readiness(index * 250, true));
    let schedule = reports.fault(4_000, 6_000, "link_one_way", "callers>entry-1");
    (0..10)
        .fold(schedule, |schedule, index| {
            let (id, at) = (format!("r-{index}"), 5_000 + index * 20);
            let schedule = schedule.sent(at, &id, CallKind::Idempotent);
            schedule.ended(at + 6_500, &id, CallEnd::TimedOut)
        })
        .assert_no_violation();
}

#[test]
fn readiness_not_reported_or_affected_by_fault_passes() {
    unanswered_calls(false).assert_no_violation();
    unanswered_calls(true).fault(9_500, 10_500, "reset", "entry-1").assert_no_violation();
}

/// Thirty requests after the recovery time, of which `count` are served.
fn calls_after_recovery(count: u64) -> Schedule {
    let schedule = Schedule::default().add(1_000, SeenEvent::LastFaultEnded);
    // Requests before the end of the recovery time don't count.
    let schedule = schedule.sent(5_000, "early", CallKind::Idempotent);
    let schedule = schedule.ended(5_100, "early", refusal(503, "early"));
    (0..30).fold(schedule, |schedule, index| {
        let (id, at) = (format!("r-{index}"), 12_000 + index * 50);
        let schedule = schedule.sent(at, &id, CallKind::Idempotent);
        match index < count {
            true => schedule
                .run_started(at + 5, &id, "app-0")
                .run_ended(at + 6, &id, "app-0", Some(b"whole"))
                .answered(at + 10, &id, "app-0", b"whole"),
            false => schedule.ended(at + 10, &id, refusal(503, &id)),
        }
    })
}

#[test]
fn served_again_passes() {
    calls_after_recovery(28).assert_no_violation();
}

#[test]
fn served_again_too_few_is_found() {
    calls_after_recovery(20).assert_violation(SystemGuarantee::ServedAgain, "20 of 30");
    let unended = Schedule::default().add(1_000, SeenEvent::LastFaultEnded);
    unended.assert_violation(SystemGuarantee::ServedAgain, "only 0 requests");
}

#[test]
fn failed_calls_are_handed_out() {
    let mut checker = GuaranteeChecker::open(bounds());
    let schedule = served("good", 100)
        .sent(200, "bad", CallKind::Idempotent)
        .ended(300, "bad", refusal(503, "bad"))
        .sent_on(200, "crossed", CallKind::Idempotent, true)
        .ended(310, "crossed", CallEnd::Closed)
        .sent(20_000, "killed", CallKind::Idempotent)
        .sent(20_000, "told", CallKind::Idempotent)
        .ended(20_100, "told", refusal(503, "told"))
        .exited(20_200, None, true)
        .ended(20_210, "killed", CallEnd::Closed);
    for (at, event) in schedule.events {
        checker.observe(&Observation { at: ms(at), event });
    }
    assert_eq!(checker.finish(), Vec::new());
    let call = |id, at| FailedCall { id: name(id), at: ms(at) };
    assert_eq!(checker.take_failed(), vec![call("bad", 300), call("told", 20_100)]);
    assert_eq!(checker.take_failed(), Vec::new());
}

#[test]
fn memory_of_an_hour_is_bounded() {
    let mut checker = GuaranteeChecker::open(bounds());
    let (mut peak, mut violations) = (0, Vec::new());
    for index in 0..72_000_u64 {
        // All probes share one id.
        let (id, upstream, resumed_after) = (name("probe"), name("app-0"), None);
        let probe = SeenEvent::RunBegan { id, upstream, resumed_after };
        violations.extend(checker.observe(&Observation { at: ms(index * 50), event: probe }));
        for (at, event) in served(&format!("r-{index}"), index * 50).events {
            violations.extend(checker.observe(&Observation { at: ms(at), event }));
        }
        peak = peak.max(checker.open_calls());
    }
    assert_eq!(violations, Vec::new());
    // Twenty per second for the minute that they are kept.
    assert!(peak <= 20 * 62, "{peak} requests were kept at one time");
}

/// A stream that its caller sees only a part of, with its one run from `at` to `run_end`.
fn cut_stream(at: u64, run_end: u64, end: u64) -> Schedule {
    let part = answer(200, "r", Some("llm-0"), b"id: 1\ndata: a\n\n", false);
    Schedule::default()
        .sent(at, "r", CallKind::ClosedStream)
        .run_started(at + 10, "r", "llm-0")
        .run_ended(run_end, "r", "llm-0", None)
        .ended(end, "r", part)
}

#[test]
fn answered_cut_beside_a_silence_is_found() {
    let cut = || cut_stream(9_000, 10_500, 10_500);
    cut()
        .fault(8_500, 12_000, "upstream_silent", "llm-0")
        .assert_violation(SystemGuarantee::Answered, "answered partially");
    cut().fault(8_500, 12_000, "upstream_head_only", "llm-0").assert_no_violation();
    cut().fault(8_500, 12_000, "upstream_endless", "llm-0").assert_no_violation();
    cut()
        .fault(8_500, 12_000, "upstream_endless", "llm-1")
        .assert_violation(SystemGuarantee::Answered, "answered partially");
}

/// At the end of the grace only what an upstream still works on may be cut, not a request that
/// waits between two upstreams or for the first one.
#[test]
fn answered_cut_at_the_end_of_the_grace_without_a_run_is_found() {
    // The grace ends 6 s after SIGTERM, its last sixth begins at 5 s.
    let working = cut_stream(4_000, 9_100, 9_100).terminated(3_900);
    working.exited(9_600, Some(0), false).assert_violation(SystemGuarantee::Answered, "took 5.1s");
    let working = cut_stream(6_800, 9_100, 9_100).terminated(3_900);
    working.exited(9_600, Some(0), false).assert_no_violation();
    let between = cut_stream(6_800, 8_000, 9_100).terminated(3_900);
    between
        .exited(9_600, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "while its process drained");
    let waiting = Schedule::default().sent(6_800, "r", CallKind::Idempotent).terminated(3_900);
    waiting
        .ended(9_100, "r", CallEnd::Closed)
        .exited(9_600, Some(0), false)
        .assert_violation(SystemGuarantee::Answered, "closed without an answer");
}

/// A resumable stream that each of `upstreams` breaks off after an event.
fn broken_stream(upstreams: &[&str]) -> Schedule {
    let mut schedule = Schedule::default().sent(9_000, "r", CallKind::ResumableStream);
    for (at, upstream) in (9_010..).step_by(100).zip(upstreams) {
        schedule = schedule
            .run_started(at, "r", upstream)
            .run_ended(at + 50, "r", upstream, None)
            .fault(8_000, 9_500, "upstream_breaks", upstream);
    }
    schedule.ended(9_400, "r", answer(502, "r", None, b"", true))
}

#[test]
fn attempts_within_the_limit_pass() {
    broken_stream(&["llm-0", "llm-1"]).assert_no_violation();
    broken_stream(&["llm-0", "llm-1", "llm-0"]).assert_no_violation();
    let three = || broken_stream(&["llm-0", "llm-1", "llm-2"]);
    three().fault(9_000, 9_500, "upstream_crash", "llm-1").assert_no_violation();
    three().fault(9_000, 9_500, "link_reset", "entries>llm-1").assert_no_violation();
}

#[test]
fn attempts_at_one_upstream_too_many_are_found() {
    let three = || broken_stream(&["llm-0", "llm-1", "llm-2"]);
    let guarantee = SystemGuarantee::AttemptsKept;
    three().assert_violation(guarantee, "ran at llm-0, llm-1, llm-2, allowed 2");
    let elsewhere = three().fault(9_000, 9_500, "upstream_crash", "llm-3");
    elsewhere.assert_violation(guarantee, "ran at llm-0, llm-1, llm-2, allowed 2");
}

#[test]
fn leaving_upstream_with_new_work_beside_an_odd_entry_is_found() {
    served("r", 9_000)
        .add(1_000, SeenEvent::UpstreamLeaves { upstream: name("app-0") })
        .fault(500, 9_500, "list_odd", "list")
        .assert_violation(SystemGuarantee::LeavingUnused, "had left long before");
}

#[test]
fn ends_in_grace_exit_beside_foreign_bytes_is_found() {
    for (kind, target) in [("list_odd", "list"), ("upstream_endless", "llm-0")] {
        let schedule = Schedule::default().fault(1_000, 5_000, kind, target);
        schedule
            .exited(2_000, None, false)
            .assert_violation(SystemGuarantee::EndsInGrace, "without a signal");
    }
}

#[test]
fn memory_beyond_its_limit_is_found() {
    let used = |mb| {
        let process = name("entry-1");
        let schedule = Schedule::default().add(2_000, SeenEvent::MemoryUsed { process, mb });
        schedule.fault(1_000, 5_000, "upstream_endless", "llm-0")
    };
    let limit = bounds().memory_mb;
    used(limit).assert_no_violation();
    used(limit + 1).assert_violation(SystemGuarantee::MemoryBounded, "MB of memory");
}

/// A stream whose first upstream breaks after event 1, and whose next one completes nothing.
fn badly_resumed(at: u64, end: CallEnd) -> Schedule {
    let (id, upstream, resumed_after) = (name("r"), name("engine-2"), Some(1));
    Schedule::default()
        .sent(at, "r", CallKind::ResumableStream)
        .fault(at, at + 100, "upstream_resumes", "engine-1")
        .run_started(at + 10, "r", "engine-1")
        .run_ended(at + 50, "r", "engine-1", None)
        .add(at + 60, SeenEvent::RunBegan { id, upstream, resumed_after })
        .run_ended(at + 100, "r", "engine-2", None)
        .ended(at + 110, "r", end)
}

#[test]
fn answer_resumed_with_nothing_that_looks_whole_is_found() {
    let part = b"id: 1\ndata: a\n\n";
    badly_resumed(100, answer(200, "r", Some("engine-1"), part, true))
        .assert_violation(SystemGuarantee::PartNeverWhole, "no upstream completed it");
    badly_resumed(100, answer(200, "r", Some("engine-1"), part, false)).assert_no_violation();
}

#[test]
fn answer_resumed_elsewhere_without_its_end_is_found() {
    // A third upstream has nothing left to send, and the caller lacks event 2 and 3.
    let (id, upstream, resumed_after) = (name("r"), name("engine-3"), Some(3));
    let part = b"id: 1\ndata: a\n\n";
    badly_resumed(100, answer(200, "r", Some("engine-1"), part, true))
        .add(205, SeenEvent::RunBegan { id, upstream, resumed_after })
        .run_ended(208, "r", "engine-3", Some(b""))
        .fault(100, 300, "upstream_crash", "engine-3")
        .assert_violation(SystemGuarantee::AnswerBelongs, "no upstream sent");
}

#[test]
fn answer_stream_with_bytes_that_are_no_event_is_found() {
    let foreign = [
        "upstream failed\n\n",
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
        "event: error\ndata: upstream failed\n\n",
        "id: 2\nevent: error\ndata: b\n\n",
    ];
    for bytes in foreign {
        let body = ["id: 1\ndata: a\n\n", bytes].concat();
        for is_whole in [false, true] {
            badly_resumed(100, answer(200, "r", Some("engine-1"), body.as_bytes(), is_whole))
                .assert_violation(SystemGuarantee::AnswerBelongs, "where event 2 was expected");
        }
    }
}

#[test]
fn answer_success_without_its_body_is_found() {
    for body in [&b""[..], b"who"] {
        let empty = Schedule::default()
            .sent(100, "r", CallKind::Idempotent)
            .fault(100, 200, "upstream_stops_in_head", "app-0")
            .run_started(110, "r", "app-0")
            .run_ended(150, "r", "app-0", None)
            .answered(160, "r", "app-0", body);
        empty.assert_violation(SystemGuarantee::PartNeverWhole, "no upstream completed it");
    }
}

#[test]
fn refused_beside_a_refusal_that_came_twice_is_found() {
    for status in [429, 503] {
        Schedule::default()
            .sent(100, "r", CallKind::ResumableStream)
            .fault(50, 900, "upstream_refuses", "engine-1")
            .run_started(310, "r", "engine-1")
            .ended(320, "r", refusal(status, "r"))
            .run_ended(800, "r", "engine-1", Some(STREAM))
            .assert_violation(SystemGuarantee::RefusedNeverRuns, "as not run and ran at engine-1");
    }
}

/// A stream that goes on at another upstream at 200 ms, after event 1.
fn left_stream(run_end: u64) -> Schedule {
    let (id, upstream, resumed_after) = (name("r"), name("engine-2"), Some(1));
    Schedule::default()
        .sent(100, "r", CallKind::ResumableStream)
        .run_started(110, "r", "engine-1")
        .add(200, SeenEvent::RunBegan { id, upstream, resumed_after })
        .run_ended(run_end, "r", "engine-1", None)
        .run_ended(1_000, "r", "engine-2", Some(REST))
        .answered(1_010, "r", "engine-1", STREAM)
}

#[test]
fn runs_once_upstream_that_was_left_in_time_passes() {
    left_stream(590).assert_no_violation();
    // It can't be told to stop.
    left_stream(900).fault(150, 900, "link_silence", "entries>engine-1").assert_no_violation();
    left_stream(900).fault(150, 900, "freeze", "entry-1").assert_no_violation();
}

#[test]
fn runs_once_stream_under_way_at_another_upstream_is_found() {
    let reports = "ran at engine-2 while engine-1 worked on it";
    left_stream(610).assert_violation(SystemGuarantee::RunsOnce, reports);
    left_stream(900)
        .fault(50, 900, "upstream_refuses", "engine-1")
        .assert_violation(SystemGuarantee::RunsOnce, reports);
}
