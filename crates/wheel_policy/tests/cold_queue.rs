//! The queue of requests that wait for a load, and the decision log.

use std::time::Duration;

use wheel_policy::{
    AdmissionResult, ColdQueue, DecisionEntry, DecisionLog, DecisionSubject, QueuedRequest,
    RefusalReason,
};
use wheel_types::{ModelName, MonotonicTime, RequestId};

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000_000);
const LOAD: Duration = Duration::from_secs(20);

fn request(id: u32, deadline_s: u64) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::new(id.to_string()),
        model: walks(),
        arrival: NOW,
        deadline: NOW + Duration::from_secs(deadline_s),
        ..QueuedRequest::default()
    }
}

fn walks() -> ModelName {
    "walks".into()
}

#[test]
fn offer_too_late_is_refused_yet_loads_the_model() {
    let mut queue = ColdQueue::open(10, 10, 1);
    let answer = queue.offer(NOW, request(1, 5), LOAD);
    let AdmissionResult::Refused { reason: RefusalReason::TooLate, retry_after } = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after >= LOAD && retry_after < LOAD * 2);
    let demands = queue.demands(NOW);
    assert_eq!((demands.len(), demands[0].waiting_count()), (1, 1));
    assert_eq!(queue.demands(NOW + Duration::from_secs(120)), vec![]);
}

#[test]
fn offer_full_refuses() {
    let mut queue = ColdQueue::open(3, 2, 1);
    for id in 1..=2 {
        assert!(matches!(queue.offer(NOW, request(id, 60), LOAD), AdmissionResult::Queued { .. }));
    }
    let answer = queue.offer(NOW, request(3, 60), LOAD);
    assert!(matches!(answer, AdmissionResult::Refused { reason: RefusalReason::CallerFull, .. }));
    let mut other =
        |id| queue.offer(NOW, QueuedRequest { model: "tides".into(), ..request(id, 60) }, LOAD);
    assert!(matches!(other(4), AdmissionResult::Queued { .. }));
    assert!(matches!(other(5), AdmissionResult::Refused { reason: RefusalReason::QueueFull, .. }));
}

#[test]
fn expire_refuses_in_time_and_take_ready_gives_the_rest() {
    let mut queue = ColdQueue::open(10, 10, 1);
    for (id, deadline_s) in [(1, 60), (2, 30), (3, 40)] {
        let _ = queue.offer(NOW, request(id, deadline_s), LOAD);
    }
    let due = queue.next_deadline().expect("three wait");
    assert!(due < NOW + Duration::from_secs(30));
    let refused = queue.expire(due + Duration::from_micros(1), |_| LOAD);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].request.id.as_str(), "2");
    assert!(queue.remove(&walks(), &RequestId::new("1")));
    assert!(!queue.remove(&walks(), &RequestId::new("1")));
    let ready: Vec<String> =
        queue.take_ready(&walks()).iter().map(|one| one.id.to_string()).collect();
    assert_eq!((ready, queue.len()), (vec!["3".to_owned()], 0));
}

#[test]
fn explain_full_log_drops_oldest_and_counts_them() {
    let mut log = DecisionLog::with_capacity(3);
    for n in 0..5_u32 {
        let name = if n.is_multiple_of(2) { "even" } else { "odd" };
        let subject = DecisionSubject::Model(name.into());
        log.record(DecisionEntry { at: NOW, subject, summary: format!("n={n}") });
    }
    let of = |name: &str| -> Vec<String> {
        let subject = DecisionSubject::Model(name.into());
        log.explain(&subject).iter().map(|entry| entry.summary.clone()).collect()
    };
    assert_eq!(
        (of("even"), of("odd")),
        (vec!["n=2".to_owned(), "n=4".to_owned()], vec!["n=3".to_owned()])
    );
    assert_eq!(log.dropped_count(), 2);
}
