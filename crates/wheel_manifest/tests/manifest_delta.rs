//! Differences between manifests.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wheel_manifest::{DeltaError, ManifestDelta};

/// Few different lines, so that generated texts share many of them, with every kind of line end.
fn any_text() -> impl Strategy<Value = String> {
    let line = prop::sample::select(vec!["a", "b = 1", "", "# ø", "\r", "x\ry"]);
    let end = prop::sample::select(vec!["\n", "\r\n", "\n", "\r"]);
    let lines = prop::collection::vec((line, end), 0..24);
    let last = prop::sample::select(vec!["", "last", "\r"]);
    (lines, last).prop_map(|(lines, last)| {
        let lines: String = lines.iter().map(|(line, end)| format!("{line}{end}")).collect();
        lines + last
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn apply_between_gives_the_new_text(old in any_text(), new in any_text()) {
        let delta = ManifestDelta::between(&old, &new);
        prop_assert_eq!(delta.apply_to(&old), Ok(new.clone()));
        prop_assert_eq!(delta.hunks.is_empty(), old == new);
    }

    #[test]
    fn apply_to_another_text_never_panics(
        old in any_text(), new in any_text(), other in any_text(),
    ) {
        let _outcome = ManifestDelta::between(&old, &new).apply_to(&other);
    }
}

#[test]
fn apply_to_shorter_text_refuses() {
    let delta = ManifestDelta::between("a\nb\nc\n", "a\nb\nd\n");
    assert_eq!(delta.apply_to("a\n"), Err(DeltaError { line: 2 }));
}

#[test]
fn between_one_changed_line_sends_that_line() {
    let old = include_str!("../../../examples/srisawat.toml");
    let new = old.replacen("slots = 12", "slots = 13", 1);
    let delta = ManifestDelta::between(old, &new);
    assert_eq!(delta.hunks.len(), 1);
    assert_eq!(delta.hunks[0].added.lines().count(), 1);
}

#[test]
fn between_unlike_texts_ends_soon() {
    let lines = |factor: u32, kinds: u32| -> String {
        (0..30_000_u32).map(|n| format!("{}\n", n.wrapping_mul(factor) % kinds)).collect()
    };
    let (old, new) = (lines(2_654_435_761, 97), lines(40_503, 101));
    let start = Instant::now();
    let delta = ManifestDelta::between(&old, &new);
    // Finding the shortest difference would take minutes in a debug build.
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
    assert_eq!(delta.apply_to(&old), Ok(new));
}
