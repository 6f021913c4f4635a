//! Ranks, floors, fairness and refusals of an engine's queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use wheel_manifest::RankSpec;
use wheel_policy::{
    AdmissionResult, EngineQueue, QueueSettings, QueuedRequest, RefusalReason, SlotSample,
};
use wheel_types::{MonotonicTime, RequestId, RequestRank};

const SECOND: Duration = Duration::from_secs(1);

fn rank(name: &str, floor_percent: u32) -> RankSpec {
    RankSpec { name: name.to_owned(), deadline_ms: 2_000, floor_percent, worth: 1.0 }
}

fn open_queue(slots: u32) -> EngineQueue {
    EngineQueue::open(settings(slots))
}

fn settings(slots: u32) -> QueueSettings {
    let ranks = vec![rank("question", 0), rank("booking", 20), rank("digest", 10)];
    QueueSettings::default().with_slots(slots).with_ranks(ranks)
}

fn request(id: usize, caller: &str, rank: u8, deadline_s: u64) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::new(format!("{caller}-{id}")),
        caller: caller.into(),
        rank: RequestRank(rank),
        deadline: MonotonicTime::from_millis(deadline_s * 1_000),
        cost: SECOND,
        ..QueuedRequest::default()
    }
}

fn sample() -> SlotSample {
    SlotSample { slot_time: SECOND, first_byte: Some(Duration::from_millis(100)) }
}

fn queued(answer: &AdmissionResult) -> bool {
    matches!(answer, AdmissionResult::Queued { .. })
}

/// Serves for `seconds` while `refill` adds requests; returns the number served for each caller.
fn serve(
    queue: &mut EngineQueue,
    seconds: u64,
    mut refill: impl FnMut(&mut EngineQueue, MonotonicTime),
) -> BTreeMap<String, u32> {
    let mut served = BTreeMap::new();
    for second in 0..seconds {
        let now = MonotonicTime::from_millis(second * 1_000);
        refill(queue, now);
        let mut started = Vec::new();
        while let Some(request) = queue.take_next(now) {
            *served.entry(request.caller.to_string()).or_default() += 1;
            started.push(request.id);
        }
        for id in started {
            queue.finish(now + SECOND, &id, sample());
        }
    }
    served
}

#[test]
fn take_next_flood_keeps_floors() {
    let mut queue = open_queue(4);
    let mut next = 0;
    let served = serve(&mut queue, 200, |queue, now| {
        for (caller, rank) in [("desk", 0), ("hotel", 1), ("committee", 2)] {
            while queue.waiting_of(RequestRank(rank)) < 8 {
                next += 1;
                let deadline_s = now.as_micros() / 1_000_000 + 1_000;
                assert!(queued(&queue.offer(now, request(next, caller, rank, deadline_s))));
            }
        }
    });
    let total = 800.0;
    assert!(f64::from(served["hotel"]) >= 0.19 * total, "{served:?}");
    assert!(f64::from(served["committee"]) >= 0.09 * total, "{served:?}");
    assert!(f64::from(served["desk"]) >= 0.66 * total, "{served:?}");
}

#[test]
fn take_next_one_free_slot_at_a_time_keeps_floors() {
    let mut queue = EngineQueue::open(QueueSettings { urgent_slots: 1, ..settings(4) });
    let mut running = VecDeque::new();
    let mut digests = 0;
    for step in 0..800_usize {
        let now = MonotonicTime::from_millis(250 * step as u64);
        for (caller, rank) in [("desk", 0), ("committee", 2)] {
            let _ = queue.offer(now, request(step, caller, rank, 100_000));
        }
        if running.len() == 4 {
            let id: RequestId = running.pop_front().expect("four run");
            queue.finish(now, &id, sample());
        }
        if let Some(taken) = queue.take_next(now) {
            digests += u32::from(taken.rank == RequestRank(2));
            running.push_back(taken.id);
        }
    }
    assert!((72..=90).contains(&digests), "{digests} of 800 starts, floor 10%");
}

#[test]
fn take_next_lower_rank_alone_gets_all_slots() {
    let mut queue = open_queue(4);
    let mut next = 0;
    let served = serve(&mut queue, 50, |queue, now| {
        while queue.waiting() < 8 {
            next += 1;
            let _ = queue.offer(now, request(next, "committee", 2, 10_000));
        }
    });
    assert_eq!(served["committee"], 200);
}

#[test]
fn take_next_one_caller_floods_others_keep_shares() {
    let mut queue = open_queue(2);
    let mut next = 0;
    let served = serve(&mut queue, 100, |queue, now| {
        for _ in 0..10 {
            next += 1;
            let _ = queue.offer(now, request(next, "flooder", 0, 10_000));
        }
        next += 1;
        let answer = queue.offer(now, request(next, "desk", 0, 10_000));
        assert!(queued(&answer), "{answer:?}");
    });
    assert!(served["desk"] >= 95, "{served:?}");
    assert!(served["flooder"] >= 95, "{served:?}");
}

#[test]
fn take_next_weights_share_by_weight() {
    let mut queue = open_queue(1);
    for id in 0..90 {
        let _ = queue.offer(MonotonicTime::default(), request(id, "light", 0, 10_000));
        let heavy = QueuedRequest { weight: 2, ..request(id, "heavy", 0, 10_000) };
        let _ = queue.offer(MonotonicTime::default(), heavy);
    }
    let served = serve(&mut queue, 60, |_, _| {});
    assert_eq!((served["heavy"], served["light"]), (40, 20));
}

#[test]
fn take_next_same_caller_earliest_deadline_first() {
    let mut queue = open_queue(1);
    let now = MonotonicTime::default();
    for (id, deadline_s) in [(1, 50), (2, 30), (3, 40)] {
        let _ = queue.offer(now, request(id, "desk", 0, deadline_s));
    }
    let first = queue.take_next(now).map(|request| request.id);
    assert_eq!(first, Some(RequestId::new("desk-2")));
}

#[test]
fn offer_late_refuses_and_retry_is_served() {
    let mut queue = open_queue(1);
    let mut answers = Vec::new();
    for id in 0..8 {
        answers.push(queue.offer(MonotonicTime::default(), request(id, "desk", 0, 4)));
    }
    let refused: Vec<Duration> = answers
        .iter()
        .filter_map(|answer| match answer {
            AdmissionResult::Refused { reason: RefusalReason::TooLate, retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        })
        .collect();
    assert!(!refused.is_empty() && refused.len() < 8, "{answers:?}");
    assert!(refused.windows(2).all(|pair| pair[0] < pair[1]), "retries are spread: {refused:?}");
    let mut retries: Vec<u64> = refused.iter().map(|after| after.as_millis() as u64 + 1).collect();
    retries.sort_unstable();
    let mut free_at = 0;
    for (id, at_ms) in retries.into_iter().enumerate() {
        while free_at <= at_ms {
            let now = MonotonicTime::from_millis(free_at);
            if let Some(request) = queue.take_next(now) {
                queue.finish(now + SECOND, &request.id, sample());
            }
            free_at += 1_000;
        }
        let now = MonotonicTime::from_millis(at_ms);
        let answer = queue.offer(now, request(100 + id, "desk", 0, 4 + at_ms / 1_000));
        assert!(queued(&answer), "retried at {at_ms} ms: {answer:?}");
    }
}

#[test]
fn offer_full_queue_refuses() {
    let settings =
        QueueSettings { caller_capacity: 2, rank_capacity: 3, ..QueueSettings::default() };
    let mut queue = EngineQueue::open(settings.with_slots(1).with_ranks(vec![rank("question", 0)]));
    let now = MonotonicTime::default();
    let mut offer = |id, caller| queue.offer(now, request(id, caller, 0, 1_000));
    assert!(queued(&offer(1, "desk")) && queued(&offer(2, "desk")));
    let caller_full = offer(3, "desk");
    assert!(matches!(
        caller_full,
        AdmissionResult::Refused { reason: RefusalReason::CallerFull, .. }
    ));
    assert!(queued(&offer(1, "hotel")));
    let full = offer(1, "school");
    assert!(matches!(full, AdmissionResult::Refused { reason: RefusalReason::QueueFull, .. }));
}

#[test]
fn remove_running_request_is_false() {
    let mut queue = open_queue(1);
    let now = MonotonicTime::default();
    let _ = queue.offer(now, request(1, "desk", 0, 10));
    let _ = queue.offer(now, request(2, "desk", 0, 10));
    assert!(queue.take_next(now).is_some());
    assert!(!queue.remove(&RequestId::new("desk-1")));
    assert!(queue.remove(&RequestId::new("desk-2")));
    assert!(!queue.remove(&RequestId::new("desk-2")));
    queue.finish(now + SECOND, &RequestId::new("desk-1"), sample());
    assert_eq!(queue.take_next(now + SECOND), None);
}

#[test]
fn expire_refuses_before_deadline_never_silently() {
    let mut queue = open_queue(1);
    let now = MonotonicTime::default();
    let _ = queue.offer(now, request(1, "desk", 0, 10));
    let _ = queue.offer(now, request(2, "desk", 0, 10));
    assert!(queue.take_next(now).is_some());
    let due = queue.next_deadline().expect("one request waits");
    assert!(due < MonotonicTime::from_millis(10_000));
    let late = due + Duration::from_micros(1);
    assert_eq!(queue.take_next(late), None);
    let refused = queue.expire(late);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason, RefusalReason::Expired);
    assert_eq!((queue.waiting(), queue.next_deadline()), (0, None));
}

#[test]
fn take_next_kv_memory_limits_starts() {
    let settings = QueueSettings { kv_tokens: 1_000, ..QueueSettings::default() };
    let mut queue = EngineQueue::open(settings.with_slots(4).with_ranks(vec![rank("question", 0)]));
    let now = MonotonicTime::default();
    for id in 1..=2 {
        let request = QueuedRequest { kv_tokens: 600, ..request(id, "desk", 0, 10) };
        assert!(queued(&queue.offer(now, request)));
    }
    assert!(queue.take_next(now).is_some());
    assert_eq!(queue.take_next(now), None);
    queue.finish(now + SECOND, &RequestId::new("desk-1"), sample());
    assert!(queue.take_next(now + SECOND).is_some());
}

#[test]
fn take_next_accepted_request_starts_before_callers_who_came_later() {
    let mut queue = open_queue(1);
    for index in 0..3 {
        assert!(queued(&queue.offer(MonotonicTime::default(), request(index, "desk", 0, 12))));
    }
    let served = serve(&mut queue, 30, |queue, now| {
        let second = (now.as_micros() / 1_000_000) as usize;
        let guest = format!("guest-{second}");
        let _ = queue.offer(now, request(second, &guest, 0, second as u64 + 60));
    });
    assert_eq!(served["desk"], 3, "all accepted requests are served: {served:?}");
    assert!(served.len() > 10, "other callers are served too: {served:?}");
}

/// Offers `count` requests of each of `callers` in turn; returns the retry times of the refused
/// ones.
fn refused_retries(queue: &mut EngineQueue, callers: usize, count: usize) -> Vec<Duration> {
    let mut retries = Vec::new();
    for index in 0..count {
        for caller in 0..callers {
            let caller = format!("desk-{caller}");
            let answer = queue.offer(MonotonicTime::default(), request(index, &caller, 0, 6));
            if let AdmissionResult::Refused { retry_after, .. } = answer {
                retries.push(retry_after);
            }
        }
    }
    retries
}

/// Maximum number of retries within any window of this length.
fn max_within(retries: &[Duration], window: Duration) -> usize {
    let within = |start: &Duration| {
        retries.iter().filter(|one| (*start..*start + window).contains(one)).count()
    };
    retries.iter().map(within).max().unwrap_or(0)
}

#[test]
fn offer_refused_callers_retry_as_fast_as_the_engine_serves() {
    let mut queue = open_queue(1);
    let retries = refused_retries(&mut queue, 20, 20);
    assert!(retries.len() > 300, "{} refused", retries.len());
    let most = max_within(&retries, 60 * SECOND);
    assert!(most <= 75, "{most} retries within 60 s for one slot and requests of one second");
}

#[test]
fn offer_more_than_can_be_scheduled_spreads_retries() {
    let mut queue = open_queue(1);
    let retries = refused_retries(&mut queue, 1, 3_000);
    let most = max_within(&retries, 30 * SECOND);
    assert!(most < retries.len() / 5, "{most} of {} retries within one window", retries.len());
}
