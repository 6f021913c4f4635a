//! The queue of one upstream with the tasks that wait in it.
#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use wheel_ingress::RefusalCode;
use wheel_manifest::RankSpec;
use wheel_policy::{QueueSettings, QueuedRequest};
use wheel_serving::{ProcessClock, SlotQueue};
use wheel_types::RequestId;

fn open_queue(clock: ProcessClock, slots: u32) -> Arc<SlotQueue> {
    let rank = |name: &str| RankSpec {
        name: name.to_owned(),
        deadline_ms: 1_000,
        floor_percent: 0,
        worth: 1.0,
    };
    let settings = QueueSettings {
        initial_slot_time: Duration::from_millis(10),
        initial_first_byte: Duration::from_millis(1),
        ..QueueSettings::default()
    };
    SlotQueue::spawn(clock, settings.with_slots(slots).with_ranks(vec![rank("a"), rank("b")]))
}

fn request(clock: ProcessClock, id: &str, rank: u8, within: Duration) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::new(id),
        caller: "desk".into(),
        rank: wheel_types::RequestRank(rank),
        arrival: clock.now(),
        deadline: clock.at(Instant::now() + within),
        cost: Duration::from_millis(10),
        ..QueuedRequest::default()
    }
}

#[tokio::test]
async fn acquire_slot_freed_goes_to_the_more_urgent() {
    let clock = ProcessClock::start();
    let queue = open_queue(clock, 1);
    let minute = Duration::from_secs(60);
    let held = queue.acquire(request(clock, "first", 0, minute)).await.expect("a slot");
    let spawn = |id: &'static str, rank: u8| {
        let queue = Arc::clone(&queue);
        tokio::spawn(async move {
            let slot = queue.acquire(request(clock, id, rank, minute)).await;
            (id, Instant::now(), slot.is_ok())
        })
    };
    let late = spawn("digest", 1);
    while queue.depth() != (1, 1) {
        tokio::task::yield_now().await;
    }
    let urgent = spawn("question", 0);
    while queue.depth() != (2, 1) {
        tokio::task::yield_now().await;
    }
    drop(held);
    let (urgent, late) = (urgent.await.expect("a task"), late.await.expect("a task"));
    assert!(urgent.2 && late.2);
    assert!(urgent.1 < late.1, "the request of the more urgent rank must get its slot first");
    assert_eq!(queue.depth(), (0, 0));
}

#[tokio::test]
async fn acquire_deadline_passes_is_refused_in_time_and_leaves_the_queue() {
    let clock = ProcessClock::start();
    let queue = open_queue(clock, 1);
    let held = queue.acquire(request(clock, "first", 0, Duration::from_secs(60))).await;
    let held = held.expect("a slot");
    let started = Instant::now();
    let within = Duration::from_millis(300);
    let refusal = queue.acquire(request(clock, "second", 0, within)).await;
    let refusal = refusal.expect_err("a refusal");
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    assert!(refusal.retry_after.is_some());
    assert!(started.elapsed() < within + Duration::from_millis(200), "{:?}", started.elapsed());
    assert_eq!(queue.depth(), (0, 1));
    drop(held);
    assert_eq!(queue.depth(), (0, 0));
}

#[tokio::test]
async fn acquire_caller_gone_leaves_the_queue_and_frees_the_slot() {
    let clock = ProcessClock::start();
    let queue = open_queue(clock, 1);
    let minute = Duration::from_secs(60);
    let held = queue.acquire(request(clock, "first", 0, minute)).await.expect("a slot");
    let waiting = tokio::spawn({
        let queue = Arc::clone(&queue);
        async move { queue.acquire(request(clock, "second", 0, minute)).await.is_ok() }
    });
    while queue.depth() != (1, 1) {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    assert!(waiting.await.is_err());
    assert_eq!(queue.depth(), (0, 1));
    drop(held);
    let next = queue.acquire(request(clock, "third", 0, minute)).await;
    assert!(next.is_ok(), "the slot must be free");
}

#[tokio::test]
async fn refuse_waiting_tells_each_at_once_that_it_did_not_run() {
    let clock = ProcessClock::start();
    let queue = open_queue(clock, 1);
    let minute = Duration::from_secs(60);
    let _held = queue.acquire(request(clock, "first", 0, minute)).await.expect("a slot");
    let waiting = tokio::spawn({
        let queue = Arc::clone(&queue);
        async move { queue.acquire(request(clock, "second", 0, minute)).await.err() }
    });
    while queue.depth() != (1, 1) {
        tokio::task::yield_now().await;
    }
    queue.refuse_waiting("the upstream has another owner");
    let refusal = waiting.await.expect("a task").expect("a refusal");
    assert_eq!(refusal.outcome, wheel_types::RequestOutcome::NotRun);
    assert_eq!(queue.depth(), (0, 1));
}
