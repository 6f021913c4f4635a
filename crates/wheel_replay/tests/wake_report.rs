//! Causes of the longest waits.

use std::path::Path;
use std::time::Duration;

use wheel_replay::{ReplayPolicy, ReplaySetup, TraceFile};

/// Links and routing add this much to the parts at the most.
const TOLERANCE: Duration = Duration::from_millis(25);

/// The parts of a wait must add up to it, or the table names the wrong cause.
#[test]
fn slow_wake_parts_add_up_to_its_wait() {
    let trace = TraceFile::open(Path::new("tests/traces/srisawat-morning.trace")).unwrap();
    let report = ReplaySetup::new(&trace).replay(ReplayPolicy::Ours);
    let wakes = &report.slow_wakes.wakes;
    assert!(!wakes.is_empty(), "some wake-up waited");
    for wake in wakes {
        let parts =
            [wake.memory_wait, wake.slot_wait, wake.decision_wait, wake.load, wake.shared_wait];
        let sum: Duration = parts.into_iter().sum();
        assert!(sum.abs_diff(wake.wait) <= TOLERANCE, "{sum:?}: {wake:?}");
    }
}

/// The longest wait of the table must be that of the whole trace.
#[test]
fn slow_wake_longest_is_the_maximum() {
    let trace = TraceFile::open(Path::new("tests/traces/rota-morning.trace")).unwrap();
    let report = ReplaySetup::new(&trace).replay(ReplayPolicy::Ours);
    let longest_ms = report.slow_wakes.wakes[0].wait.as_secs_f64() * 1_000.0;
    assert!((longest_ms - report.wake_wait.max).abs() < 10.0, "{longest_ms}: {report:?}");
}
