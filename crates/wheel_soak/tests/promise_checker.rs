//! For each promise a course that keeps it, and courses that break it and are found.

use std::sync::Arc;
use std::time::Duration;

use wheel_soak::{
    CallEnd, CallKind, FailedCall, Observation, PromiseBounds, PromiseChecker, PromiseViolation,
    SeenEvent, SeenOrder, SoakPromise,
};

const DEADLINE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
/// What follows event 1 of the stream.
const REST: &[u8] = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// A sequence of observations, by milliseconds.
#[derive(Default)]
struct Course {
    events: Vec<(u64, SeenEvent)>,
}

impl Course {
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
        self.add(at, began)
            .add(at, SeenEvent::CallSent { id: name(id), kind, process, deadline, is_kept })
    }

    fn ran(self, at: u64, id: &str, upstream: &str) -> Self {
        let (id, upstream) = (name(id), name(upstream));
        self.add(at, SeenEvent::RunBegan { id, upstream, resumed_after: None })
    }

    fn gave(self, at: u64, id: &str, upstream: &str, body: Option<&[u8]>) -> Self {
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

    fn gone(self, at: u64, code: Option<i32>, was_killed: bool) -> Self {
        self.add(at, SeenEvent::ProcessEnded { process: name("entry-1"), code, was_killed })
    }

    fn ready(self, at: u64, is_ready: bool) -> Self {
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

    /// What is found, in order of time, with a tick in each tenth of a second and half a minute after.
    fn judge_by(mut self, bounds: PromiseBounds) -> Vec<PromiseViolation> {
        self.events.sort_by_key(|(at, _)| *at);
        let mut checker = PromiseChecker::open(bounds);
        let (mut now, mut found) = (0, Vec::new());
        for (at, event) in self.events {
            while now + 100 < at {
                now += 100;
                found.extend(checker.tick(ms(now)));
            }
            found.extend(checker.observe(&Observation { at: ms(at), event }));
        }
        for _ in 0..300 {
            now += 100;
            found.extend(checker.tick(ms(now)));
        }
        found.extend(checker.finish());
        found
    }

    fn judge(self) -> Vec<PromiseViolation> {
        self.judge_by(bounds())
    }

    #[track_caller]
    fn assert_kept(self) {
        assert_eq!(self.judge(), Vec::new());
    }

    #[track_caller]
    fn assert_broken(self, promise: SoakPromise, words: &str) {
        let found = self.judge();
        let is_found = |one: &PromiseViolation| one.promise == promise && one.line.contains(words);
        assert!(found.len() == 1 && found.iter().all(is_found), "{promise:?} {words:?}: {found:?}");
    }
}

fn bounds() -> PromiseBounds {
    PromiseBounds {
        cross_slack: ms(500),
        change_time: ms(4_000),
        downgrade_slack: ms(500),
        thaw_time: ms(2_000),
        load_window: ms(2_000),
        leave_time: ms(4_000),
        recovery_time: ms(10_000),
        control: [name("control-0")].into(),
        ..PromiseBounds::default()
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
fn served(id: &str, at: u64) -> Course {
    Course::default()
        .sent(at, id, CallKind::NonIdempotent)
        .ran(at + 5, id, "app-0")
        .gave(at + 20, id, "app-0", Some(b"whole"))
        .answered(at + 25, id, "app-0", b"whole")
}

/// A request that is closed without an answer at `at + 500`, while it runs.
fn cut(at: u64) -> Course {
    Course::default().sent(at, "r", CallKind::Idempotent).ran(at + 5, "r", "app-0").ended(
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
        .ran(210, "unknown", "app-0")
        .ended(3_100, "unknown", refusal(504, "unknown"))
        .sent(200, "left", CallKind::ClosedStream)
        .ended(300, "left", CallEnd::Left)
        .assert_kept();
}

#[test]
fn answered_told_in_any_order_passes() {
    // The answer overtakes what the caller and the upstream tell.
    Course::default()
        .answered(100, "r", "app-0", b"whole")
        .ran(101, "r", "app-0")
        .gave(102, "r", "app-0", Some(b"whole"))
        .sent(103, "r", CallKind::NonIdempotent)
        .assert_kept();
}

#[test]
fn answered_cut_beside_faults_passes() {
    for (kind, target) in
        [("kill", "entry-1"), ("pause", "entry-1"), ("reset", "entry-1>app-0"), ("hang", "app-0")]
    {
        cut(9_000).fault(8_500, 9_200, kind, target).assert_kept();
    }
    cut(9_000).fault(8_500, 9_200, "reset", "entries>app-0").assert_kept();
    cut(9_000).fault(8_500, 9_200, "reset", "callers>entry-1").assert_kept();
    cut(9_000).gone(9_500, None, true).assert_kept();
}

#[test]
fn answered_cut_without_a_fault_is_found() {
    cut(9_000).assert_broken(SoakPromise::Answered, "closed without an answer");
}

#[test]
fn answered_cut_beside_a_fault_elsewhere_is_found() {
    let words = "closed without an answer";
    cut(9_000).fault(8_500, 9_200, "kill", "entry-2").assert_broken(SoakPromise::Answered, words);
    cut(9_000).fault(1_000, 2_000, "kill", "entry-1").assert_broken(SoakPromise::Answered, words);
    cut(9_000).fault(8_500, 9_200, "pause", "entry-11").assert_broken(SoakPromise::Answered, words);
    let other_upstream = cut(9_000).fault(8_500, 9_200, "reset", "entries>app-1");
    other_upstream.assert_broken(SoakPromise::Answered, words);
    let other_entry = cut(9_000).fault(8_500, 9_200, "reset", "callers>entry-2");
    other_entry.assert_broken(SoakPromise::Answered, words);
    let other_link = cut(9_000).fault(8_500, 9_200, "reset", "entry-2>app-0");
    other_link.assert_broken(SoakPromise::Answered, words);
}

#[test]
fn answered_cut_by_sigterm_is_found() {
    cut(9_000)
        .fault(9_100, 9_100, "terminate", "entry-1")
        .terminated(9_100)
        .gone(9_600, Some(0), false)
        .assert_broken(SoakPromise::Answered, "while its process drained and nothing was harmed");
}

#[test]
fn answered_cut_in_the_last_sixth_of_the_grace_passes() {
    let course = Course::default().sent(9_000, "r", CallKind::ClosedStream).terminated(9_100);
    let course = course.ran(9_010, "r", "engine-1").gave(11_600, "r", "engine-1", None);
    let part = answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\n", false);
    // Its time is over then; one that is cut sooner isn't excused.
    course.ended(11_600, "r", part.clone()).gone(14_500, Some(0), false).assert_kept();
    let course = Course::default().sent(9_000, "r", CallKind::ClosedStream).terminated(4_000);
    let course = course.ran(9_010, "r", "engine-1").gave(9_500, "r", "engine-1", None);
    course
        .ended(9_500, "r", part)
        .gone(9_600, Some(0), false)
        .assert_broken(SoakPromise::Answered, "in part");
    let course = Course::default().sent(9_000, "r", CallKind::Idempotent).terminated(6_100);
    let course = course.ran(9_010, "r", "engine-1").gave(11_300, "r", "engine-1", None);
    course.ended(11_300, "r", CallEnd::Closed).gone(11_400, Some(0), false).assert_kept();
}

#[test]
fn answered_request_crossing_a_close_passes() {
    Course::default()
        .sent_on(9_000, "r", CallKind::NonIdempotent, true)
        .ended(9_100, "r", CallEnd::Closed)
        .assert_kept();
}

#[test]
fn answered_kept_connection_closed_late_or_after_a_run_is_found() {
    Course::default()
        .sent_on(9_000, "r", CallKind::NonIdempotent, true)
        .ended(9_900, "r", CallEnd::Closed)
        .assert_broken(SoakPromise::Answered, "closed without an answer");
    Course::default()
        .sent_on(9_000, "r", CallKind::NonIdempotent, true)
        .ran(9_050, "r", "app-0")
        .ended(9_100, "r", CallEnd::Closed)
        .assert_broken(SoakPromise::Answered, "closed without an answer");
}

#[test]
fn answered_new_connection_closed_at_once_is_found() {
    Course::default()
        .sent(9_000, "r", CallKind::NonIdempotent)
        .ended(9_100, "r", CallEnd::Closed)
        .assert_broken(SoakPromise::Answered, "closed without an answer");
}

#[test]
fn answered_late_is_found() {
    Course::default()
        .sent(100, "r", CallKind::Idempotent)
        .ended(3_700, "r", refusal(503, "r"))
        .assert_broken(SoakPromise::Answered, "took 3.6s of 3.0s");
}

#[test]
fn answered_never_is_found() {
    Course::default()
        .sent(100, "r", CallKind::Idempotent)
        .ended(9_000, "r", CallEnd::TimedOut)
        .assert_broken(SoakPromise::Answered, "no end after");
    let silent = Course::default().sent(100, "r", CallKind::Idempotent);
    silent.assert_broken(SoakPromise::Answered, "has no end");
}

#[test]
fn answered_never_on_a_kept_connection_that_died_passes() {
    // A silenced connection stays silent when its link is mended; only the next request shows it.
    let course = |id: &str, is_kept| {
        let course = Course::default().fault(1_000, 2_000, "link_silence", "callers>entry-1");
        course.sent_on(12_000, id, CallKind::Idempotent, is_kept)
    };
    course("r", true).ended(18_500, "r", CallEnd::TimedOut).assert_kept();
    let new = course("r", false).ended(18_500, "r", CallEnd::TimedOut);
    new.assert_broken(SoakPromise::Answered, "had no end after");
    let read = course("r", true).ran(12_010, "r", "app-0").ended(18_500, "r", CallEnd::TimedOut);
    read.assert_broken(SoakPromise::Answered, "had no end after");
}

#[test]
fn answered_in_part_is_found() {
    Course::default()
        .sent(100, "r", CallKind::ClosedStream)
        .ran(110, "r", "engine-1")
        .ended(300, "r", answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\n", false))
        .assert_broken(SoakPromise::Answered, "in part");
}

#[test]
fn answered_in_part_at_the_end_of_its_time_passes() {
    // The body took two seconds to send, and the caller's time began with the head.
    let part = answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\n", false);
    let (id, process) = (name("r"), name("entry-1"));
    let (kind, deadline, is_kept) = (CallKind::ClosedStream, DEADLINE, false);
    Course::default()
        .add(100, SeenEvent::CallBegan { id: name("r"), process: name("entry-1") })
        .add(2_100, SeenEvent::CallSent { id, kind, process, deadline, is_kept })
        .ran(2_110, "r", "engine-1")
        .gave(3_100, "r", "engine-1", None)
        .ended(3_110, "r", part)
        .assert_kept();
}

#[test]
fn answered_twice_is_found() {
    served("r", 100)
        .answered(300, "r", "app-0", b"whole")
        .assert_broken(SoakPromise::Answered, "a second time");
}

#[test]
fn answered_denied_is_found() {
    Course::default()
        .sent(100, "r", CallKind::Idempotent)
        .ended(300, "r", refusal(404, "r"))
        .assert_broken(SoakPromise::Answered, "denied with 404");
}

#[test]
fn refused_that_ran_is_found() {
    for status in [408, 421, 429, 503] {
        Course::default()
            .sent(100, "r", CallKind::NonIdempotent)
            .ran(110, "r", "app-0")
            .ended(300, "r", refusal(status, "r"))
            .assert_broken(SoakPromise::RefusedNeverRuns, "and ran at app-0");
    }
}

#[test]
fn refused_that_runs_long_after_is_found() {
    Course::default()
        .sent(100, "r", CallKind::NonIdempotent)
        .ended(300, "r", refusal(503, "r"))
        .ran(40_000, "r", "app-0")
        .assert_broken(SoakPromise::RefusedNeverRuns, "and ran at app-0");
}

#[test]
fn runs_once_repeats_of_idempotent_calls_pass() {
    served("r", 100)
        .sent(100, "i", CallKind::Idempotent)
        .ran(110, "i", "app-0")
        .gave(200, "i", "app-0", None)
        .ran(210, "i", "app-1")
        .gave(220, "i", "app-1", Some(b"whole"))
        .answered(230, "i", "app-1", b"whole")
        .assert_kept();
}

#[test]
fn runs_once_second_run_is_found() {
    for kind in [CallKind::NonIdempotent, CallKind::ClosedStream] {
        Course::default()
            .sent(100, "r", kind)
            .ran(110, "r", "app-0")
            .gave(120, "r", "app-0", Some(b"whole"))
            .ran(130, "r", "app-1")
            .answered(200, "r", "app-0", b"whole")
            .assert_broken(SoakPromise::RunsOnce, "ran 2 times, at app-0, app-1");
    }
    let late = served("r", 100).ran(30_000, "r", "app-1");
    late.assert_broken(SoakPromise::RunsOnce, "ran 2 times");
}

#[test]
fn answer_resumed_stream_passes() {
    resumed(STREAM).assert_kept();
}

/// A stream whose first upstream breaks after event 1.
fn resumed(body: &[u8]) -> Course {
    let (id, upstream, resumed_after) = (name("r"), name("engine-2"), Some(1));
    Course::default()
        .sent(100, "r", CallKind::ResumableStream)
        .ran(110, "r", "engine-1")
        .gave(150, "r", "engine-1", None)
        .add(160, SeenEvent::RunBegan { id, upstream, resumed_after })
        .gave(200, "r", "engine-2", Some(REST))
        .answered(210, "r", "engine-1", body)
}

#[test]
fn answer_stream_with_a_lost_or_doubled_event_is_found() {
    resumed(REST).assert_broken(SoakPromise::AnswerBelongs, "event 2 where event 1 was due");
    let lost = b"id: 1\ndata: a\n\nid: 3\ndata: c\n\n";
    resumed(lost).assert_broken(SoakPromise::AnswerBelongs, "event 3 where event 2 was due");
    let doubled = [b"id: 1\ndata: a\n\nid: 1\ndata: a\n\n", REST].concat();
    resumed(&doubled).assert_broken(SoakPromise::AnswerBelongs, "event 1 where event 2 was due");
}

#[test]
fn answer_of_another_request_is_found() {
    let course = || {
        Course::default().sent(100, "r", CallKind::Idempotent).ran(110, "r", "app-0").gave(
            120,
            "r",
            "app-0",
            Some(b"whole"),
        )
    };
    let other = course().ended(200, "r", answer(200, "q", Some("app-0"), b"whole", true));
    other.assert_broken(SoakPromise::AnswerBelongs, "got the answer of");
    let failure = course().ended(200, "r", answer(500, "q", Some("app-0"), b"", true));
    failure.assert_broken(SoakPromise::AnswerBelongs, "got the answer of");
    let stranger = course().answered(200, "r", "app-7", b"whole");
    stranger.assert_broken(SoakPromise::AnswerBelongs, "which didn't run it");
    let unsigned = course().ended(200, "r", answer(200, "r", None, b"whole", true));
    unsigned.assert_broken(SoakPromise::AnswerBelongs, "which didn't run it");
    let changed = course().answered(200, "r", "app-0", b"whale");
    changed.assert_broken(SoakPromise::AnswerBelongs, "no upstream gave");
}

#[test]
fn part_that_looks_whole_is_found() {
    Course::default()
        .sent(100, "r", CallKind::ClosedStream)
        .ran(110, "r", "engine-1")
        .gave(150, "r", "engine-1", None)
        .answered(160, "r", "engine-1", b"id: 1\ndata: a\n\n")
        .assert_broken(SoakPromise::PartNeverWhole, "no upstream gave it whole");
}

#[test]
fn part_that_is_marked_passes() {
    // The upstream broke it, and the caller can tell.
    Course::default()
        .sent(9_000, "r", CallKind::ClosedStream)
        .fault(9_050, 9_100, "reset", "engine-1")
        .ran(9_010, "r", "engine-1")
        .gave(9_100, "r", "engine-1", None)
        .ended(
            9_110,
            "r",
            answer(200, "r", Some("engine-1"), b"id: 1\ndata: a\n\nid: 2\nda", false),
        )
        .assert_kept();
}

#[test]
fn change_reads_in_time_pass() {
    Course::default()
        .acknowledged(1_000, 10)
        .read(1_100, Some(10))
        .acknowledged(9_000, 15)
        .read(9_500, Some(10))
        .observed(9_600, 10)
        .observed(9_700, 15)
        .read(20_000, None)
        .read(20_000, Some(15))
        .observed(20_000, 15)
        .assert_kept();
}

#[test]
fn change_that_went_back_is_found() {
    let course = || Course::default().acknowledged(1_000, 10).acknowledged(2_000, 15);
    course().read(6_500, Some(10)).assert_broken(SoakPromise::ChangeKept, "15 was in force");
    course().observed(6_500, 10).assert_broken(SoakPromise::ChangeKept, "15 was in force");
    course().read(2_100, Some(17)).assert_broken(SoakPromise::ChangeKept, "nobody sent");
    let (version, process) = (17, name("control-1"));
    let invalid = course().add(3_000, SeenEvent::InvalidAccepted { version, process });
    invalid.assert_broken(SoakPromise::ChangeKept, "which is invalid");
}

#[test]
fn change_read_beside_faults_is_found() {
    // Whoever isn't sure says so; a wrong answer is never excused.
    Course::default()
        .acknowledged(1_000, 10)
        .acknowledged(2_000, 15)
        .fault(6_000, 7_000, "pause", "control-1")
        .read(6_500, Some(10))
        .assert_broken(SoakPromise::ChangeKept, "15 was in force");
}

#[test]
fn change_probe_beside_faults_passes() {
    for target in ["entry-1", "entry-1>control-2", "control-0"] {
        Course::default()
            .acknowledged(1_000, 10)
            .acknowledged(2_000, 15)
            .fault(6_000, 7_000, "silence", target)
            .observed(6_500, 10)
            .assert_kept();
    }
}

#[test]
fn change_entry_that_goes_back_in_one_life_is_found() {
    let course = || {
        Course::default()
            .acknowledged(1_000, 10)
            .acknowledged(9_000, 15)
            .observed(9_100, 15)
            .fault(9_200, 9_300, "silence", "entry-1")
    };
    course().observed(9_900, 10).assert_broken(SoakPromise::ChangeKept, "went back from");
    // A new life may begin with what it kept.
    let process = name("entry-1");
    course().add(9_500, SeenEvent::ProcessStarted { process }).observed(9_900, 10).assert_kept();
}

#[test]
fn holder_with_a_pause_passes() {
    Course::default()
        .ordered(1_000, "control-0", 4)
        .ordered(1_100, "control-0", 4)
        .ordered(2_200, "control-1", 5)
        .ordered(2_300, "control-1", 6)
        .assert_kept();
}

#[test]
fn holder_late_orders_pass() {
    // Refused by its number, or sent before its sender was thawed.
    let fenced = SeenOrder { status: 412, ..order("control-0", 4) };
    Course::default()
        .ordered(1_000, "control-0", 4)
        .ordered(2_200, "control-1", 5)
        .add(2_300, SeenEvent::Ordered(fenced))
        .fault(1_100, 2_350, "pause", "control-0")
        .ordered(2_400, "control-0", 4)
        .assert_kept();
}

#[test]
fn holder_faults_are_found() {
    let course = || Course::default().ordered(1_000, "control-0", 4);
    let promise = SoakPromise::OneHolder;
    course().ordered(1_500, "control-1", 5).assert_broken(promise, "after control-0");
    course().ordered(2_500, "control-1", 4).assert_broken(promise, "with one number");
    course().ordered(2_500, "control-0", 3).assert_broken(promise, "orders with 3 after 4");
    let other = SeenOrder { upstream: name("engine-2"), ..order("control-1", 5) };
    course().add(1_500, SeenEvent::Ordered(other)).assert_broken(promise, "after control-0");
}

#[test]
fn holder_groups_of_their_own_pass() {
    let groups = [(name("engine-1"), name("north")), (name("engine-2"), name("south"))];
    let bounds = PromiseBounds { order_groups: groups.into(), ..bounds() };
    let other = SeenOrder { upstream: name("engine-2"), ..order("control-1", 3) };
    let course = Course::default().ordered(1_000, "control-0", 4);
    let found = course.add(1_100, SeenEvent::Ordered(other)).judge_by(bounds);
    assert_eq!(found, Vec::new());
}

#[test]
fn memory_overcommitted_is_found() {
    let over = SeenOrder { held_mb: 30, ..order("control-0", 4) };
    let refused = SeenOrder { status: 409, ..over.clone() };
    Course::default()
        .ordered(1_000, "control-0", 4)
        .add(1_100, SeenEvent::Ordered(refused))
        .assert_kept();
    Course::default()
        .add(1_100, SeenEvent::Ordered(over))
        .assert_broken(SoakPromise::MemoryHeld, "was made to hold 30 MB");
}

/// Loads from the store, with so many milliseconds between them.
fn loads(count: u64, step: u64) -> Course {
    let load = SeenOrder { is_store_load: true, ..order("control-0", 4) };
    let add =
        |course: Course, place| course.add(1_000 + place * step, SeenEvent::Ordered(load.clone()));
    (0..count).fold(Course::default(), add)
}

#[test]
fn store_rate_kept_passes() {
    // Ten a second, in windows of 2 s, and three more.
    loads(100, 100).assert_kept();
    loads(23, 10).assert_kept();
}

#[test]
fn store_rate_exceeded_is_found() {
    loads(24, 10).assert_broken(SoakPromise::StoreRate, "24 loads");
}

#[test]
fn leaving_upstream_without_new_work_passes() {
    let upstream = name("app-0");
    served("r", 9_000).add(6_000, SeenEvent::UpstreamLeaves { upstream }).assert_kept();
    let (upstream, process) = (name("app-0"), name("app-0"));
    served("r", 9_000)
        .add(1_000, SeenEvent::UpstreamLeaves { upstream })
        .add(8_000, SeenEvent::ProcessStarted { process })
        .assert_kept();
}

#[test]
fn leaving_upstream_with_new_work_is_found() {
    let leaves =
        |course: Course| course.add(1_000, SeenEvent::UpstreamLeaves { upstream: name("app-0") });
    leaves(served("r", 9_000)).assert_broken(SoakPromise::LeavingUnused, "had left long before");
    leaves(served("r", 9_000)).fault(8_000, 8_500, "silence", "entry-1>list").assert_kept();
    leaves(served("r", 9_000)).fault(8_000, 8_500, "list_lags", "list").assert_kept();
    let elsewhere = leaves(served("r", 9_000)).fault(8_000, 8_500, "silence", "entry-2>list");
    elsewhere.assert_broken(SoakPromise::LeavingUnused, "had left long before");
}

#[test]
fn ends_in_grace_passes() {
    Course::default().terminated(1_000).gone(6_000, Some(0), false).assert_kept();
    Course::default().terminated(1_000).terminated(1_500).gone(2_000, Some(3), false).assert_kept();
    Course::default().terminated(1_000).gone(2_000, None, true).assert_kept();
    let frozen = Course::default().terminated(1_000).fault(2_000, 6_500, "pause", "entry-1");
    frozen.gone(8_000, Some(0), false).assert_kept();
}

#[test]
fn ends_in_grace_faults_are_found() {
    let promise = SoakPromise::EndsInGrace;
    Course::default().terminated(1_000).assert_broken(promise, "goes on after its grace");
    let killed = Course::default().terminated(1_000).gone(7_800, None, true);
    killed.assert_broken(promise, "goes on after its grace");
    let failed = Course::default().terminated(1_000).gone(2_000, Some(1), false);
    failed.assert_broken(promise, "ended with Some(1)");
    Course::default().gone(2_000, Some(101), false).assert_broken(promise, "told by nobody");
    Course::default().gone(2_000, None, false).assert_broken(promise, "told by nobody");
    let link = Course::default().terminated(1_000).fault(2_000, 9_000, "delay", "callers>entry-1");
    link.gone(9_000, Some(0), false).assert_broken(promise, "goes on after its grace");
}

#[test]
fn readiness_of_a_drain_passes() {
    Course::default()
        .ready(900, true)
        .terminated(1_000)
        .ready(1_500, true)
        .ready(2_100, false)
        .gone(5_000, Some(0), false)
        .add(6_000, SeenEvent::ProcessStarted { process: name("entry-1") })
        .ready(7_500, true)
        .assert_kept();
}

#[test]
fn readiness_that_hides_a_drain_is_found() {
    Course::default()
        .terminated(1_000)
        .ready(2_100, true)
        .gone(5_000, Some(0), false)
        .assert_broken(SoakPromise::ReadinessTrue, "drains since");
}

/// Ten calls that find no connection, beside what the process says each half second.
fn unheard(is_ready: bool) -> Course {
    let words = (0..40)
        .fold(Course::default(), |course, place| course.ready(1_000 + place * 500, is_ready));
    (0..10).fold(words, |course, place| {
        let (id, process) = (format!("r-{place}"), name("entry-1"));
        let at = 9_000 + place * 200;
        course.add(at, SeenEvent::CallBegan { id: name(&id), process }).ended(
            at + 10,
            &id,
            CallEnd::NotConnected,
        )
    })
}

#[test]
fn readiness_without_connections_is_found() {
    unheard(true).assert_broken(SoakPromise::ReadinessTrue, "answers none of its calls");
}

#[test]
fn readiness_calls_begun_beside_a_fault_pass() {
    // They began while answers were lost, and gave up long after.
    let words = (0..80).fold(Course::default(), |course, place| course.ready(place * 250, true));
    let course = words.fault(4_000, 6_000, "link_one_way", "callers>entry-1");
    (0..10)
        .fold(course, |course, place| {
            let (id, at) = (format!("r-{place}"), 5_000 + place * 20);
            let course = course.sent(at, &id, CallKind::Idempotent);
            course.ended(at + 6_500, &id, CallEnd::TimedOut)
        })
        .assert_kept();
}

#[test]
fn readiness_not_claimed_or_harmed_passes() {
    unheard(false).assert_kept();
    unheard(true).fault(9_500, 10_500, "reset", "entry-1").assert_kept();
}

/// Thirty requests after the last fault, of which so many are served.
fn calm(count: u64) -> Course {
    let course = Course::default().add(1_000, SeenEvent::LastFaultEnded);
    // Before the recovery time anything goes.
    let course = course.sent(5_000, "early", CallKind::Idempotent);
    let course = course.ended(5_100, "early", refusal(503, "early"));
    (0..30).fold(course, |course, place| {
        let (id, at) = (format!("r-{place}"), 12_000 + place * 50);
        let course = course.sent(at, &id, CallKind::Idempotent);
        match place < count {
            true => course
                .ran(at + 5, &id, "app-0")
                .gave(at + 6, &id, "app-0", Some(b"whole"))
                .answered(at + 10, &id, "app-0", b"whole"),
            false => course.ended(at + 10, &id, refusal(503, &id)),
        }
    })
}

#[test]
fn served_again_passes() {
    calm(28).assert_kept();
}

#[test]
fn served_again_too_few_is_found() {
    calm(20).assert_broken(SoakPromise::ServedAgain, "20 of 30");
    let silent = Course::default().add(1_000, SeenEvent::LastFaultEnded);
    silent.assert_broken(SoakPromise::ServedAgain, "only 0 requests");
}

#[test]
fn failed_calls_are_handed_out() {
    let mut checker = PromiseChecker::open(bounds());
    let course = served("good", 100)
        .sent(200, "bad", CallKind::Idempotent)
        .ended(300, "bad", refusal(503, "bad"))
        .sent_on(200, "crossed", CallKind::Idempotent, true)
        .ended(310, "crossed", CallEnd::Closed)
        .sent(20_000, "killed", CallKind::Idempotent)
        .sent(20_000, "told", CallKind::Idempotent)
        .ended(20_100, "told", refusal(503, "told"))
        .gone(20_200, None, true)
        .ended(20_210, "killed", CallEnd::Closed);
    for (at, event) in course.events {
        checker.observe(&Observation { at: ms(at), event });
    }
    assert_eq!(checker.finish(), Vec::new());
    let call = |id, at| FailedCall { id: name(id), at: ms(at) };
    assert_eq!(checker.take_failed(), vec![call("bad", 300), call("told", 20_100)]);
    assert_eq!(checker.take_failed(), Vec::new());
}

#[test]
fn memory_of_an_hour_is_bounded() {
    let mut checker = PromiseChecker::open(bounds());
    let (mut most, mut found) = (0, Vec::new());
    for place in 0..72_000_u64 {
        // Probes have one id for all.
        let (id, upstream, resumed_after) = (name("probe"), name("app-0"), None);
        let probe = SeenEvent::RunBegan { id, upstream, resumed_after };
        found.extend(checker.observe(&Observation { at: ms(place * 50), event: probe }));
        for (at, event) in served(&format!("r-{place}"), place * 50).events {
            found.extend(checker.observe(&Observation { at: ms(at), event }));
        }
        most = most.max(checker.open_calls());
    }
    assert_eq!(found, Vec::new());
    // Twenty a second for the minute that they are kept.
    assert!(most <= 20 * 62, "{most} were remembered at once");
}
