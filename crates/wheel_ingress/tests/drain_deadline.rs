//! The deadline of a drain.

use std::time::Duration;

use tokio::time::Instant;
use wheel_ingress::DrainDeadline;

#[tokio::test(start_paused = true)]
async fn begin_again_never_postpones_the_end() {
    let drain = DrainDeadline::default();
    let (first, later) =
        (Instant::now() + Duration::from_secs(2), Instant::now() + Duration::from_secs(9));
    drain.begin(first);
    drain.begin(later);
    assert_eq!(drain.end(), Some(first));
}

#[tokio::test(start_paused = true)]
async fn passed_follows_an_earlier_end() {
    // A second signal ends a drain before its deadline.
    let drain = DrainDeadline::default();
    let start = Instant::now();
    let waiting = tokio::spawn({
        let drain = drain.clone();
        async move { drain.passed().await }
    });
    drain.begin(start + Duration::from_secs(600));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!waiting.is_finished());
    drain.begin(start + Duration::from_secs(2));
    assert!(waiting.await.is_ok());
    assert_eq!(start.elapsed(), Duration::from_secs(2));
}

#[tokio::test(start_paused = true)]
async fn refuse_after_counts_from_its_moment() {
    let drain = DrainDeadline::default();
    assert!(!drain.is_too_late());
    drain.refuse_after(Instant::now() + Duration::from_secs(3));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!drain.is_too_late());
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(drain.is_too_late());
}
