//! An upstream whose answers turn out to be none after their heads must be avoided like one that
//! doesn't answer: the heads alone must not keep it among the sound ones.

use std::time::Duration;

use wheel_policy::{OutlierDetector, OutlierSettings};
use wheel_types::{MonotonicTime, UpstreamName};

const LATENCY: Duration = Duration::from_millis(10);

/// A detector with three sound upstreams, and the name of a fourth one.
fn detector() -> (OutlierDetector, MonotonicTime, UpstreamName) {
    let mut detector = OutlierDetector::open(OutlierSettings::default());
    let now = MonotonicTime::default();
    for name in ["u1", "u2", "u3"] {
        detector.observe(now, &UpstreamName::from(name), LATENCY, true);
    }
    (detector, now, UpstreamName::from("u4"))
}

#[test]
fn observe_false_answers_in_a_row_eject() {
    let (mut detector, now, faulty) = detector();
    let failures = OutlierSettings::default().consecutive_failures;
    for sent in 1..=failures {
        assert!(!detector.is_ejected(now, &faulty), "after {} answers", sent - 1);
        detector.observe(now, &faulty, LATENCY, true);
        detector.observe_false_answer(now, &faulty);
    }
    assert!(detector.is_ejected(now, &faulty));
}

#[test]
fn observe_concurrent_false_answers_eject() {
    let (mut detector, now, faulty) = detector();
    for _ in 0..16 {
        detector.observe(now, &faulty, LATENCY, true);
    }
    for _ in 0..5 {
        detector.observe_false_answer(now, &faulty);
    }
    assert!(detector.is_ejected(now, &faulty));
}

#[test]
fn observe_sound_answers_between_false_ones_keep_an_upstream() {
    let (mut detector, now, upstream) = detector();
    for _ in 0..20 {
        detector.observe(now, &upstream, LATENCY, true);
        detector.observe_false_answer(now, &upstream);
        for _ in 0..3 {
            detector.observe(now, &upstream, LATENCY, true);
        }
    }
    assert!(!detector.is_ejected(now, &upstream));
}
