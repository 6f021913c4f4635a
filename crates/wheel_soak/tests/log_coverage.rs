//! A failed request without a log line that states its cause must be found.

#![allow(clippy::expect_used)]

use std::path::PathBuf;
use std::time::Duration;

use wheel_soak::{FailedCall, LogCoverage, SystemGuarantee};

const ENTRY: &str = "\
time=2026-01-01T00:00:02.0+00:00 level=info event=request_ended id=good status=200 reason=answered
time=2026-01-01T00:00:03.5+00:00 level=info event=request_step id=stepped step=rejected upstream=e1
time=2026-01-01T00:00:04.2+00:00 level=info event=request_ended id=refused status=503 reason=load_too_late model=m7
time=2026-01-01T00:00:04.3+00:00 level=info event=request_ended id=bare status=503 model=m7
time=2026-01-01T00:00:04.4+00:00 level=info event=request_ended id=\"quoted\" status=503 reason=drain";
const OTHER: &[u8] = b"\xff\xfe a line that was cut off\n\
time=2026-01-01T00:00:05.0+00:00 level=info event=request_ended id=other status=502 reason=upstream_failed\n";

fn call(id: &str) -> FailedCall {
    FailedCall { id: id.into(), at: Duration::from_secs(4) }
}

fn write_logs(folder: &tempfile::TempDir) -> Vec<PathBuf> {
    let logs = [("entry-0.log", ENTRY.as_bytes()), ("entry-1.log", OTHER)];
    let write = |(name, text): (&str, &[u8])| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("a written log");
        path
    };
    logs.map(write).to_vec()
}

#[test]
fn unexplained_calls_with_a_cause_pass() {
    let folder = tempfile::tempdir().expect("a folder");
    let calls = ["refused", "quoted", "other"].map(call);
    let coverage = LogCoverage::read(&calls, &write_logs(&folder)).expect("logs to read");
    assert_eq!(coverage.unexplained(&calls), Vec::new());
}

#[test]
fn unexplained_calls_without_a_cause_are_found() {
    let folder = tempfile::tempdir().expect("a folder");
    let calls = ["missing", "stepped", "refused", "bare"].map(call);
    let coverage = LogCoverage::read(&calls, &write_logs(&folder)).expect("logs to read");
    let found = coverage.unexplained(&calls);
    assert!(found.iter().all(|one| one.guarantee == SystemGuarantee::FailureExplained));
    let ids: Vec<&str> = found.iter().map(|one| &*one.ids[0]).collect();
    assert_eq!(ids, ["missing", "stepped", "bare"]);
}

#[test]
fn read_missing_log_fails() {
    let failure = LogCoverage::read(&[call("x")], &["/nowhere/entry.log"]).expect_err("no file");
    assert!(failure.to_string().contains("/nowhere/entry.log"), "{failure}");
}
