//! Replays every trace and checks its stated outcomes.

use std::path::Path;

use wheel_replay::StatedOutcomes;

fn replay_trace_keeps_stated_outcomes(path: &Path) -> datatest_stable::Result<()> {
    let violations = StatedOutcomes::check(path)?;
    if violations.is_empty() { Ok(()) } else { Err(violations.join("\n").into()) }
}

datatest_stable::harness! {
    { test = replay_trace_keeps_stated_outcomes, root = "tests/traces", pattern = r"\.trace$" },
}
