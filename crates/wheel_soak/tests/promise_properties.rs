//! Courses that keep every promise are never found to break one, whatever they are made of.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wheel_soak::{
    CallEnd, CallKind, Observation, PromiseBounds, PromiseChecker, PromiseViolation, SeenEvent,
    SeenOrder, SoakPromise,
};

const CASES: u32 = 300;
/// The length of a course, in milliseconds.
const LENGTH: u64 = 60_000;
const DEADLINE: u64 = 3_000;

/// What becomes of a call; each is allowed.
#[derive(Clone, Copy, Debug)]
enum CallFate {
    Served,
    Refused(u16),
    Failed,
    Left,
    /// Breaks at its first upstream; goes on at another one if its kind allows that.
    BrokenAtUpstream,
    /// Its process is killed under it, and its caller hears of it in this order.
    Killed,
    /// Crosses the close of its kept connection.
    Crossed,
    NotConnected,
}

#[derive(Clone, Copy, Debug)]
struct CallPlan {
    at: u64,
    lasts: u64,
    kind: CallKind,
    fate: CallFate,
}

/// What the control instances and processes do; each step comes after the one before it.
#[derive(Clone, Copy, Debug)]
enum SystemStep {
    Order { wait: u64 },
    NewHolder { wait: u64 },
    Change { wait: u64 },
    Probe { wait: u64 },
    Drain { wait: u64, lasts: u64 },
}

fn calls() -> impl Strategy<Value = Vec<CallPlan>> {
    let kind = prop_oneof![
        Just(CallKind::Idempotent),
        Just(CallKind::NonIdempotent),
        Just(CallKind::ResumableStream),
        Just(CallKind::ClosedStream)
    ];
    let status = prop_oneof![Just(408_u16), Just(421), Just(429), Just(503)];
    let fate = prop_oneof![
        4 => Just(CallFate::Served),
        2 => status.prop_map(CallFate::Refused),
        1 => Just(CallFate::Failed),
        1 => Just(CallFate::Left),
        1 => Just(CallFate::BrokenAtUpstream),
        1 => Just(CallFate::Killed),
        1 => Just(CallFate::Crossed),
        1 => Just(CallFate::NotConnected),
    ];
    let plan = (0..LENGTH, 1..DEADLINE, kind, fate);
    vec(plan.prop_map(|(at, lasts, kind, fate)| CallPlan { at, lasts, kind, fate }), 0..60)
}

fn steps() -> impl Strategy<Value = Vec<SystemStep>> {
    let step = prop_oneof![
        (100..900_u64).prop_map(|wait| SystemStep::Order { wait }),
        (1_000..3_000_u64).prop_map(|wait| SystemStep::NewHolder { wait }),
        (0..2_000_u64).prop_map(|wait| SystemStep::Change { wait }),
        (0..2_000_u64).prop_map(|wait| SystemStep::Probe { wait }),
        (0..2_000_u64, 0..6_000_u64).prop_map(|(wait, lasts)| SystemStep::Drain { wait, lasts }),
    ];
    vec(step, 0..60)
}

fn events(first: u64, last: u64) -> Vec<u8> {
    (first..=last).flat_map(|id| format!("id: {id}\ndata: x\n\n").into_bytes()).collect()
}

/// The observations of a call.
fn tell_call(place: usize, plan: CallPlan, told: &mut Vec<(u64, SeenEvent)>) {
    let CallPlan { at, lasts, kind, fate } = plan;
    let id: Arc<str> = format!("r-{place}").into();
    // Each call has a process and upstreams of its own, so that no fault excuses another call.
    let process: Arc<str> = format!("p-{place}").into();
    let place_of = |number: u32| Arc::<str>::from(format!("u-{place}-{number}"));
    let (first, second) = (place_of(1), place_of(2));
    let (id_, end_at) = (Arc::clone(&id), at + lasts);
    let mut tell = |at: u64, event: SeenEvent| told.push((at, event));
    tell(at, SeenEvent::CallBegan { id: Arc::clone(&id), process: Arc::clone(&process) });
    let is_kept = matches!(fate, CallFate::Crossed);
    if !matches!(fate, CallFate::NotConnected) {
        let (id, process, deadline) =
            (Arc::clone(&id), Arc::clone(&process), Duration::from_millis(DEADLINE));
        tell(at, SeenEvent::CallSent { id, kind, process, deadline, is_kept });
    }
    let answer = |status: u16, by: Option<&Arc<str>>, body: Vec<u8>, is_whole: bool| {
        let (answered_id, signed_by) = (Some(Arc::clone(&id_)), by.cloned());
        CallEnd::Answered { status, is_whole, answered_id, signed_by, body, retry_after: None }
    };
    let began = |upstream: &Arc<str>, resumed_after| SeenEvent::RunBegan {
        id: Arc::clone(&id_),
        upstream: Arc::clone(upstream),
        resumed_after,
    };
    let gave = |upstream: &Arc<str>, body| SeenEvent::RunEnded {
        id: Arc::clone(&id_),
        upstream: Arc::clone(upstream),
        body,
    };
    let is_once = matches!(kind, CallKind::NonIdempotent | CallKind::ClosedStream);
    let whole = events(1, 4);
    let end = match fate {
        CallFate::Served => {
            tell(at + lasts / 2, began(&first, None));
            tell(end_at, gave(&first, Some(whole.clone())));
            answer(200, Some(&first), whole, true)
        }
        CallFate::Refused(status) => answer(status, None, Vec::new(), true),
        CallFate::Failed => {
            tell(at + lasts / 2, began(&first, None));
            answer(504, None, Vec::new(), true)
        }
        CallFate::Left => {
            tell(at + lasts / 2, began(&first, None));
            CallEnd::Left
        }
        CallFate::BrokenAtUpstream => {
            tell(at, began(&first, None));
            let broke = at + lasts / 2;
            let (kind_, target) = (Arc::<str>::from("reset"), Arc::clone(&first));
            tell(broke, SeenEvent::FaultBegan { kind: kind_.clone(), target: target.clone() });
            tell(broke, SeenEvent::FaultEnded { kind: kind_, target });
            tell(broke, gave(&first, None));
            let resumed_after = matches!(kind, CallKind::ResumableStream).then_some(2);
            match is_once {
                true => answer(200, Some(&first), events(1, 2), false),
                false => {
                    let rest = events(resumed_after.unwrap_or_default() + 1, 4);
                    tell(broke, began(&second, resumed_after));
                    tell(end_at, gave(&second, Some(rest)));
                    let signer = if resumed_after.is_some() { &first } else { &second };
                    answer(200, Some(signer), whole, true)
                }
            }
        }
        CallFate::Killed => {
            tell(at, began(&first, None));
            let (code, was_killed) = (None, true);
            tell(end_at, SeenEvent::ProcessEnded { process, code, was_killed });
            CallEnd::Closed
        }
        CallFate::Crossed => CallEnd::Closed,
        CallFate::NotConnected => CallEnd::NotConnected,
    };
    let end_at = if matches!(fate, CallFate::Crossed) { at + lasts.min(150) } else { end_at };
    tell(end_at, SeenEvent::CallEnded { id, end });
}

/// The observations of orders, configurations and of one process that is drained and comes back.
fn tell_steps(steps: &[SystemStep], told: &mut Vec<(u64, SeenEvent)>) {
    let (mut now, mut version, mut holder) = (1_000, 0_u64, 0_u64);
    let mut last_change = 0;
    for step in steps {
        let process: Arc<str> = "drained".into();
        match *step {
            SystemStep::Order { wait } | SystemStep::NewHolder { wait } => {
                now += wait;
                holder += u64::from(matches!(step, SystemStep::NewHolder { .. }));
                let name = format!("control-{}", holder % 3).into();
                let (upstream, held_mb, room_mb, status) = ("engine".into(), 20, 25, 202);
                let (fencing, is_store_load) = (holder, true);
                told.push((
                    now,
                    SeenEvent::Ordered(SeenOrder {
                        upstream,
                        held_mb,
                        room_mb,
                        holder: name,
                        fencing,
                        is_store_load,
                        status,
                    }),
                ));
            }
            SystemStep::Change { wait } => {
                now += wait;
                version += 3;
                last_change = now;
                told.push((now, SeenEvent::ChangeSent { version, process }));
                told.push((now, SeenEvent::ChangeAcknowledged { version }));
            }
            SystemStep::Probe { wait } => {
                now += wait;
                let asked = Duration::from_millis(now);
                // An older version may show for a while; later it is the newest.
                let is_settled = now > last_change + 3_000;
                let shown = if is_settled { version } else { version.saturating_sub(3) };
                let entry = Arc::<str>::from(format!("entry-{now}"));
                told.push((
                    now,
                    SeenEvent::ChangeObserved { sent: asked, process: entry, version },
                ));
                let is_known = version > 0;
                let older = if is_known && shown == version { Some(version) } else { None };
                told.push((now, SeenEvent::ChangeRead { asked, process, version: older }));
            }
            SystemStep::Drain { wait, lasts } => {
                now += wait;
                let grace = Duration::from_secs(6);
                let say = |is_ready| SeenEvent::Readiness {
                    process: "drained".into(),
                    is_ready: Some(is_ready),
                };
                told.push((now, SeenEvent::ProcessStarted { process: Arc::clone(&process) }));
                told.push((now + 10, say(true)));
                told.push((
                    now + 20,
                    SeenEvent::ProcessTerminated { process: Arc::clone(&process), grace },
                ));
                told.push((now + 20 + lasts / 2, say(lasts / 2 < 1_000)));
                now += 20 + lasts;
                let (code, was_killed) = (Some(0), false);
                told.push((now, SeenEvent::ProcessEnded { process, code, was_killed }));
            }
        }
    }
}

fn judge(mut told: Vec<(u64, SeenEvent)>, late: &[u64]) -> Vec<PromiseViolation> {
    // A caller and an upstream each tell of a request in order, but either may be heard later.
    let delay = |event: &SeenEvent| {
        let (id, shift) = match event {
            SeenEvent::RunBegan { id, .. } | SeenEvent::RunEnded { id, .. } => (id, 0),
            SeenEvent::CallBegan { id, .. }
            | SeenEvent::CallSent { id, .. }
            | SeenEvent::CallEnded { id, .. } => (id, 3),
            _ => return 0,
        };
        let number: usize = id.trim_start_matches("r-").parse().unwrap_or_default();
        late[(number + shift) % late.len()]
    };
    let mut told: Vec<(u64, u64, SeenEvent)> =
        told.drain(..).map(|(at, event)| (at + delay(&event), at, event)).collect();
    told.sort_by_key(|(heard, ..)| *heard);
    let bounds = PromiseBounds { min_calm_calls: 0, ..PromiseBounds::default() };
    let mut checker = PromiseChecker::open(bounds);
    let mut found = Vec::new();
    for (_, at, event) in told {
        found.extend(checker.observe(&Observation { at: Duration::from_millis(at), event }));
    }
    found.extend(checker.tick(Duration::from_millis(LENGTH * 3)));
    found.extend(checker.finish());
    found
}

fn runner() -> TestRunner {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[16; 32]);
    TestRunner::new_with_rng(
        Config { cases: CASES, failure_persistence: None, ..Config::default() },
        random,
    )
}

#[test]
fn allowed_courses_break_nothing() {
    let course = (calls(), steps(), vec(0..50_u64, 7));
    let checked = runner().run(&course, |(calls, steps, late)| {
        let mut told = Vec::new();
        calls.iter().enumerate().for_each(|(place, plan)| tell_call(place, *plan, &mut told));
        tell_steps(&steps, &mut told);
        prop_assert_eq!(judge(told, &late), Vec::new());
        Ok(())
    });
    checked.expect("no allowed course is found to break a promise");
}

#[test]
fn one_more_run_in_any_course_is_found() {
    let course = (calls(), steps(), vec(0..50_u64, 7), 0..LENGTH, any::<bool>());
    let checked = runner().run(&course, |(calls, steps, late, at, is_refused)| {
        let mut told = Vec::new();
        let kind = CallKind::NonIdempotent;
        let fate = if is_refused { CallFate::Refused(503) } else { CallFate::Served };
        let planted = CallPlan { at, lasts: 100, kind, fate };
        let calls = calls.iter().copied().chain([planted]);
        let last = calls.clone().count() - 1;
        calls.enumerate().for_each(|(place, plan)| tell_call(place, plan, &mut told));
        tell_steps(&steps, &mut told);
        let (id, upstream) = (format!("r-{last}").into(), "u-other".into());
        // Before its end, beside it, or long after.
        let run = SeenEvent::RunBegan { id, upstream, resumed_after: None };
        told.push((at + late[0] * 1_000, run));
        let found = judge(told, &late);
        let due = if is_refused { SoakPromise::RefusedNeverRuns } else { SoakPromise::RunsOnce };
        prop_assert_eq!(found.iter().map(|one| one.promise).collect::<Vec<_>>(), vec![due]);
        Ok(())
    });
    checked.expect("each planted run is found");
}
