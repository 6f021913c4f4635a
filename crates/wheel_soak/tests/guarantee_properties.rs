//! Random schedules that keep every guarantee must have no violations, and one with an additional run
//! must have exactly that violation.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wheel_soak::{
    CallEnd, CallKind, GuaranteeBounds, GuaranteeChecker, GuaranteeViolation, Observation,
    SeenEvent, SeenOrder, SystemGuarantee,
};

const CASES: u32 = 300;
/// The length of a schedule, in milliseconds.
const LENGTH_MS: u64 = 60_000;
const DEADLINE_MS: u64 = 3_000;

/// The outcome of a call; each is valid.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Served,
    Refused(u16),
    Failed,
    Left,
    /// Breaks at its first upstream and is repeated or resumed at another one if its kind allows that.
    BrokenAtUpstream,
    /// Its process is killed while it is running, and then its connection closes.
    Killed,
    /// Races with the close of its reused connection.
    Crossed,
    NotConnected,
}

#[derive(Clone, Copy, Debug)]
struct CallPlan {
    at: u64,
    duration: u64,
    kind: CallKind,
    outcome: CallOutcome,
}

/// A step of the control instances and processes; steps are consecutive.
#[derive(Clone, Copy, Debug)]
enum SystemStep {
    Order { wait: u64 },
    NewHolder { wait: u64 },
    Change { wait: u64 },
    Probe { wait: u64 },
    Drain { wait: u64, duration: u64 },
}

fn calls() -> impl Strategy<Value = Vec<CallPlan>> {
    let kind = prop_oneof![
        Just(CallKind::Idempotent),
        Just(CallKind::NonIdempotent),
        Just(CallKind::ResumableStream),
        Just(CallKind::ClosedStream)
    ];
    let status = prop_oneof![Just(408_u16), Just(421), Just(429), Just(503)];
    let outcome = prop_oneof![
        4 => Just(CallOutcome::Served),
        2 => status.prop_map(CallOutcome::Refused),
        1 => Just(CallOutcome::Failed),
        1 => Just(CallOutcome::Left),
        1 => Just(CallOutcome::BrokenAtUpstream),
        1 => Just(CallOutcome::Killed),
        1 => Just(CallOutcome::Crossed),
        1 => Just(CallOutcome::NotConnected),
    ];
    let plan = (0..LENGTH_MS, 1..DEADLINE_MS, kind, outcome);
    vec(
        plan.prop_map(|(at, duration, kind, outcome)| CallPlan { at, duration, kind, outcome }),
        0..60,
    )
}

fn steps() -> impl Strategy<Value = Vec<SystemStep>> {
    let step = prop_oneof![
        (100..900_u64).prop_map(|wait| SystemStep::Order { wait }),
        (1_000..3_000_u64).prop_map(|wait| SystemStep::NewHolder { wait }),
        (0..2_000_u64).prop_map(|wait| SystemStep::Change { wait }),
        (0..2_000_u64).prop_map(|wait| SystemStep::Probe { wait }),
        (0..2_000_u64, 0..6_000_u64)
            .prop_map(|(wait, duration)| SystemStep::Drain { wait, duration }),
    ];
    vec(step, 0..60)
}

fn event_bytes(first: u64, last: u64) -> Vec<u8> {
    (first..=last).flat_map(|id| format!("id: {id}\ndata: x\n\n").into_bytes()).collect()
}

/// Adds the observations of a call.
fn add_call(index: usize, plan: CallPlan, events: &mut Vec<(u64, SeenEvent)>) {
    let CallPlan { at, duration, kind, outcome } = plan;
    let id: Arc<str> = format!("r-{index}").into();
    // Each call has its own process and upstreams, so that no fault excuses another call.
    let process: Arc<str> = format!("p-{index}").into();
    let upstream = |number: u32| Arc::<str>::from(format!("u-{index}-{number}"));
    let (first, second) = (upstream(1), upstream(2));
    let (id_, end_at) = (Arc::clone(&id), at + duration);
    let mut add = |at: u64, event: SeenEvent| events.push((at, event));
    add(at, SeenEvent::CallBegan { id: Arc::clone(&id), process: Arc::clone(&process) });
    let is_kept = matches!(outcome, CallOutcome::Crossed);
    if !matches!(outcome, CallOutcome::NotConnected) {
        let (id, process, deadline) =
            (Arc::clone(&id), Arc::clone(&process), Duration::from_millis(DEADLINE_MS));
        add(at, SeenEvent::CallSent { id, kind, process, deadline, is_kept, max_engines: 3 });
    }
    let answer = |status: u16, by: Option<&Arc<str>>, body: Vec<u8>, is_whole: bool| {
        let (answered_id, signed_by) = (Some(Arc::clone(&id_)), by.cloned());
        CallEnd::Answered { status, is_whole, answered_id, signed_by, body, retry_after: None }
    };
    let run_began = |upstream: &Arc<str>, resumed_after| SeenEvent::RunBegan {
        id: Arc::clone(&id_),
        upstream: Arc::clone(upstream),
        resumed_after,
    };
    let run_ended = |upstream: &Arc<str>, body| SeenEvent::RunEnded {
        id: Arc::clone(&id_),
        upstream: Arc::clone(upstream),
        body,
    };
    let is_once = matches!(kind, CallKind::NonIdempotent | CallKind::ClosedStream);
    let whole = event_bytes(1, 4);
    let end = match outcome {
        CallOutcome::Served => {
            add(at + duration / 2, run_began(&first, None));
            add(end_at, run_ended(&first, Some(whole.clone())));
            answer(200, Some(&first), whole, true)
        }
        CallOutcome::Refused(status) => answer(status, None, Vec::new(), true),
        CallOutcome::Failed => {
            add(at + duration / 2, run_began(&first, None));
            answer(504, None, Vec::new(), true)
        }
        CallOutcome::Left => {
            add(at + duration / 2, run_began(&first, None));
            CallEnd::Left
        }
        CallOutcome::BrokenAtUpstream => {
            add(at, run_began(&first, None));
            let broke = at + duration / 2;
            let (kind_, target) = (Arc::<str>::from("reset"), Arc::clone(&first));
            add(broke, SeenEvent::FaultBegan { kind: kind_.clone(), target: target.clone() });
            add(broke, SeenEvent::FaultEnded { kind: kind_, target });
            add(broke, run_ended(&first, None));
            let resumed_after = matches!(kind, CallKind::ResumableStream).then_some(2);
            match is_once {
                true => answer(200, Some(&first), event_bytes(1, 2), false),
                false => {
                    let rest = event_bytes(resumed_after.unwrap_or_default() + 1, 4);
                    add(broke, run_began(&second, resumed_after));
                    add(end_at, run_ended(&second, Some(rest)));
                    let signer = if resumed_after.is_some() { &first } else { &second };
                    answer(200, Some(signer), whole, true)
                }
            }
        }
        CallOutcome::Killed => {
            add(at, run_began(&first, None));
            let (code, was_killed) = (None, true);
            add(end_at, SeenEvent::ProcessEnded { process, code, was_killed });
            CallEnd::Closed
        }
        CallOutcome::Crossed => CallEnd::Closed,
        CallOutcome::NotConnected => CallEnd::NotConnected,
    };
    let end_at =
        if matches!(outcome, CallOutcome::Crossed) { at + duration.min(150) } else { end_at };
    add(end_at, SeenEvent::CallEnded { id, end });
}

/// Adds the observations of orders, of configurations and of a process that is drained and restarted.
fn add_steps(steps: &[SystemStep], events: &mut Vec<(u64, SeenEvent)>) {
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
                events.push((
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
                events.push((now, SeenEvent::ChangeSent { version, process }));
                events.push((now, SeenEvent::ChangeAcknowledged { version }));
            }
            SystemStep::Probe { wait } => {
                now += wait;
                let asked = Duration::from_millis(now);
                // An older version may be returned for a while; afterwards it must be the newest.
                let is_settled = now > last_change + 3_000;
                let shown = if is_settled { version } else { version.saturating_sub(3) };
                let entry = Arc::<str>::from(format!("entry-{now}"));
                events.push((
                    now,
                    SeenEvent::ChangeObserved { sent: asked, process: entry, version },
                ));
                let is_known = version > 0;
                let older = if is_known && shown == version { Some(version) } else { None };
                events.push((now, SeenEvent::ChangeRead { asked, process, version: older }));
            }
            SystemStep::Drain { wait, duration } => {
                now += wait;
                let grace = Duration::from_secs(6);
                let readiness = |is_ready| SeenEvent::Readiness {
                    process: "drained".into(),
                    is_ready: Some(is_ready),
                };
                events.push((now, SeenEvent::ProcessStarted { process: Arc::clone(&process) }));
                events.push((now + 10, readiness(true)));
                events.push((
                    now + 20,
                    SeenEvent::ProcessTerminated { process: Arc::clone(&process), grace },
                ));
                events.push((now + 20 + duration / 2, readiness(duration / 2 < 1_000)));
                now += 20 + duration;
                let (code, was_killed) = (Some(0), false);
                events.push((now, SeenEvent::ProcessEnded { process, code, was_killed }));
            }
        }
    }
}

fn check(mut events: Vec<(u64, SeenEvent)>, delays: &[u64]) -> Vec<GuaranteeViolation> {
    // The observations of a caller and of an upstream are each in order, but either may arrive later.
    let delay = |event: &SeenEvent| {
        let (id, shift) = match event {
            SeenEvent::RunBegan { id, .. } | SeenEvent::RunEnded { id, .. } => (id, 0),
            SeenEvent::CallBegan { id, .. }
            | SeenEvent::CallSent { id, .. }
            | SeenEvent::CallEnded { id, .. } => (id, 3),
            _ => return 0,
        };
        let number: usize = id.trim_start_matches("r-").parse().unwrap_or_default();
        delays[(number + shift) % delays.len()]
    };
    let mut events: Vec<(u64, u64, SeenEvent)> =
        events.drain(..).map(|(at, event)| (at + delay(&event), at, event)).collect();
    events.sort_by_key(|(heard, ..)| *heard);
    let bounds = GuaranteeBounds { min_recovered_calls: 0, ..GuaranteeBounds::default() };
    let mut checker = GuaranteeChecker::open(bounds);
    let mut violations = Vec::new();
    for (_, at, event) in events {
        violations.extend(checker.observe(&Observation { at: Duration::from_millis(at), event }));
    }
    violations.extend(checker.tick(Duration::from_millis(LENGTH_MS * 3)));
    violations.extend(checker.finish());
    violations
}

fn runner() -> TestRunner {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[16; 32]);
    TestRunner::new_with_rng(
        Config { cases: CASES, failure_persistence: None, ..Config::default() },
        random,
    )
}

#[test]
fn valid_schedules_break_nothing() {
    let schedule = (calls(), steps(), vec(0..50_u64, 7));
    let checked = runner().run(&schedule, |(calls, steps, delays)| {
        let mut events = Vec::new();
        calls.iter().enumerate().for_each(|(index, plan)| add_call(index, *plan, &mut events));
        add_steps(&steps, &mut events);
        prop_assert_eq!(check(events, &delays), Vec::new());
        Ok(())
    });
    checked.expect("no valid schedule has a violation");
}

#[test]
fn one_more_run_in_any_schedule_is_found() {
    let schedule = (calls(), steps(), vec(0..50_u64, 7), 0..LENGTH_MS, any::<bool>());
    let checked = runner().run(&schedule, |(calls, steps, delays, at, is_refused)| {
        let mut events = Vec::new();
        let kind = CallKind::NonIdempotent;
        let outcome = if is_refused { CallOutcome::Refused(503) } else { CallOutcome::Served };
        let extra_call = CallPlan { at, duration: 100, kind, outcome };
        let calls = calls.iter().copied().chain([extra_call]);
        let last = calls.clone().count() - 1;
        calls.enumerate().for_each(|(index, plan)| add_call(index, plan, &mut events));
        add_steps(&steps, &mut events);
        let (id, upstream) = (format!("r-{last}").into(), "u-other".into());
        // Before the end of the call, at the same time, or long afterwards.
        let run = SeenEvent::RunBegan { id, upstream, resumed_after: None };
        events.push((at + delays[0] * 1_000, run));
        let violations = check(events, &delays);
        let expected =
            if is_refused { SystemGuarantee::RefusedNeverRuns } else { SystemGuarantee::RunsOnce };
        prop_assert_eq!(
            violations.iter().map(|one| one.guarantee).collect::<Vec<_>>(),
            vec![expected]
        );
        Ok(())
    });
    checked.expect("each additional run is found");
}
