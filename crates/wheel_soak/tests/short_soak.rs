//! A short run with a fixed seed, and properties of fault plans.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use wheel_soak::{FaultPlan, PlanScope, RunSettings, SoakReport, run_soak};

/// Seed of the run.
const SEED: u64 = 2;
/// Seeds whose plans have every kind together, half of them in either order of the draw.
const SEEDS: [u64; 4] = [1, 3, 4, 5];
/// Maximum number of observations shown with a failure.
const MAX_LINES: usize = 40;
/// Duration of the run, most of which is the fault-free end.
const LENGTH: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_soak_of_one_seed_keeps_all_guarantees() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = RunSettings {
        seed: SEED,
        processes: 5,
        length: LENGTH,
        has_seams: false,
        folder: folder.path().to_owned(),
    };
    let outcome = run_soak(&settings, &mut SoakReport::default()).await.expect("the system starts");
    let observations =
        std::fs::read_to_string(folder.path().join("observations.txt")).unwrap_or_default();
    let is_related = |line: &&str| {
        outcome
            .violations
            .iter()
            .flat_map(|violation| &violation.ids)
            .any(|id| line.contains(&**id))
    };
    let lines: Vec<&str> = observations.lines().filter(is_related).take(MAX_LINES).collect();
    assert!(outcome.violations.is_empty(), "{:?}\n{}", outcome.violations, lines.join("\n"));
    assert!(outcome.calls > 300, "{} calls", outcome.calls);
    assert!(outcome.faults.values().sum::<usize>() >= 5, "{:?}", outcome.faults);
}

#[test]
fn plan_is_the_same_for_the_same_seed() {
    let length = Duration::from_secs(600);
    let scope = |seed| PlanScope { seed, processes: 6, upstreams: 6, has_seams: true, length };
    let plans: Vec<String> =
        (0..20).map(|seed| FaultPlan::draw(&scope(seed)).to_string()).collect();
    for (seed, plan) in plans.iter().enumerate() {
        assert_eq!(*plan, FaultPlan::draw(&scope(seed as u64)).to_string());
        assert!(plan.lines().count() > 300, "{plan}");
    }
    assert_ne!(plans[0], plans[1]);
}

#[test]
fn plans_have_every_kind_within_their_length() {
    let length = Duration::from_secs(1_200);
    // Half of the plans draw the faults of upstreams and list first, which leaves less room for others.
    let scope = |seed, has_seams| PlanScope { seed, processes: 6, upstreams: 6, has_seams, length };
    let kinds = |has_seams| -> BTreeSet<String> {
        let plans = SEEDS.into_iter().map(|seed| FaultPlan::draw(&scope(seed, has_seams)));
        let faults = plans.flat_map(|plan| {
            assert!(plan.faults.iter().all(|fault| fault.at < length));
            plan.start_loss.into_iter().chain(plan.faults)
        });
        faults.map(|fault| format!("{:?}", fault.kind)).collect()
    };
    assert_eq!(kinds(true).len(), 55, "{:?}", kinds(true));
    assert_eq!(kinds(false).len(), 50, "{:?}", kinds(false));
}
