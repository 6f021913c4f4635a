//! Control instances outside their group are found in their logs.

#![allow(clippy::expect_used)]

use std::io::Write;

use wheel_soak::check_membership;

fn found(lines: &str) -> usize {
    let mut log = tempfile::NamedTempFile::new().expect("a file");
    log.write_all(lines.as_bytes()).expect("a write");
    check_membership(&"control-1".into(), log.path()).expect("a readable file").len()
}

#[test]
fn membership_lines_of_an_election_are_no_violation() {
    let lines = "time=t level=info event=control_started identity=1\n\
                 time=t level=warn event=leader_missing for_ms=3000 is_voter=true term=4\n\
                 time=t level=info event=leader_found after_ms=3500 leader=a term=5\n";
    assert_eq!(found(lines), 0);
}

/// An instance that stood outside for long and came back in the end was still outside for too long.
#[test]
fn membership_lines_of_an_instance_outside_are_violations() {
    let lines = "time=t level=warn event=leader_missing for_ms=3000 is_voter=true term=4\n\
                 time=t level=warn event=leader_missing for_ms=13004 is_voter=true term=4\n\
                 time=t level=warn event=leader_missing for_ms=23010 is_voter=false term=4\n\
                 time=t level=info event=leader_found after_ms=24000 leader=a term=5\n\
                 time=t level=warn event=leader_mis";
    assert_eq!(found(lines), 2);
}
