//! Every trace keeps its stated outcomes.

use std::path::Path;

use wheel_replay::StatedOutcomes;

fn replay_trace_keeps_stated_outcomes(path: &Path) -> datatest_stable::Result<()> {
    let faults = StatedOutcomes::check(path)?;
    if faults.is_empty() { Ok(()) } else { Err(faults.join("\n").into()) }
}

datatest_stable::harness! {
    { test = replay_trace_keeps_stated_outcomes, root = "tests/traces", pattern = r"\.trace$" },
}
