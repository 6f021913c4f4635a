//! Reports are written, drawn and read back.

#![allow(clippy::expect_used)]

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use wheel_soak::{
    CallEnd, CallKind, GuaranteeBounds, GuaranteeChecker, Observation, SeenEvent, SoakReport,
};

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// One run, in which a process is killed, restarted and serves again, and requests have all outcomes.
fn run(seed: u64, report: &mut SoakReport) {
    report.begin_run(seed);
    let mut checker = GuaranteeChecker::open(GuaranteeBounds::default());
    let mut record = |at_s: f64, event: SeenEvent| {
        let observation = Observation { at: Duration::from_secs_f64(at_s), event };
        report.observe(&observation);
        report.add_violations(checker.observe(&observation));
    };
    let process = || name("entry-1");
    record(0.0, SeenEvent::ProcessStarted { process: process() });
    record(0.0, SeenEvent::ProcessStarted { process: name("control-0") });
    let answer = |status, is_whole| CallEnd::Answered {
        status,
        is_whole,
        answered_id: None,
        signed_by: None,
        body: Vec::new(),
        retry_after: None,
    };
    let ends = [
        (1.0, answer(502, true)),
        (1.1, answer(503, true)),
        (1.2, CallEnd::Closed),
        (1.3, CallEnd::Left),
        (1.4, CallEnd::TimedOut),
        (1.5, CallEnd::NotConnected),
        (1.6, answer(200, false)),
        (6.5, answer(200, true)),
        (7.5, answer(200, true)),
    ];
    for (index, (at, end)) in ends.into_iter().enumerate() {
        let id = name(&format!("{seed}-{index}"));
        record(at, SeenEvent::CallBegan { id: id.clone(), process: process() });
        record(at, SeenEvent::CallEnded { id, end });
    }
    let (kind, target) = (name("kill"), process());
    record(8.0, SeenEvent::FaultBegan { kind: kind.clone(), target: target.clone() });
    record(8.5, SeenEvent::FaultEnded { kind, target });
    let (code, was_killed) = (None, true);
    record(9.0, SeenEvent::ProcessEnded { process: process(), code, was_killed });
    let (kind, target) = (name("delay"), name("entry-1>app-0"));
    record(9.0, SeenEvent::FaultBegan { kind, target });
    let id = name("last");
    record(11.0, SeenEvent::CallBegan { id: id.clone(), process: process() });
    let sent = SeenEvent::CallSent {
        id: id.clone(),
        kind: CallKind::Idempotent,
        process: process(),
        deadline: Duration::from_secs(1),
        is_kept: false,
        max_engines: 3,
    };
    record(11.0, sent);
    record(11.5, SeenEvent::CallEnded { id: id.clone(), end: answer(200, true) });
    record(12.0, SeenEvent::CallEnded { id, end: answer(200, true) });
    record(18.0, SeenEvent::LastFaultEnded);
}

#[test]
fn write_reads_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("soak.json");
    let mut report = SoakReport::default();
    run(7, &mut report);
    run(8, &mut report);
    assert!(report.has_violations());
    report.write(&file).expect("a written report");
    let text = std::fs::read_to_string(&file).expect("it was written");
    let read: Value = serde_json::from_str(&text).expect("it is JSON");
    assert_eq!(read["seeds"], json!([7, 8]));
    assert_eq!(read["faults"], json!({"kill": 2, "delay": 2}));
    let ends = json!({"served": 8, "refused": 2, "failed": 2, "cut": 2, "closed": 2, "left": 2,
        "timed out": 2, "not connected": 2});
    assert_eq!(read["requests"], ends);
    // Two runs of 18 s for one process and 9 s for the other.
    let hours = read["process_hours"].as_f64().expect("a number");
    assert!((hours - 2.0 * 27.0 / 3_600.0).abs() < 1e-9, "{hours}");
    let violations = read["violations"].as_array().expect("a list");
    let second: Vec<&Value> =
        violations.iter().filter(|one| one["line"] == "ended a second time").collect();
    assert_eq!(second.len(), 2);
    assert_eq!(second[0]["promise"], "Answered");
    assert_eq!(second[0]["ids"], json!(["last"]));
    // Times in the second run continue from the end of the first.
    assert_eq!([&second[0]["at"]["secs"], &second[1]["at"]["secs"]], [12, 30]);
    let recoveries = read["recoveries"].as_array().expect("a list");
    assert_eq!(recoveries.len(), 2);
    assert_eq!(recoveries[0]["process"], "entry-1");
    assert_eq!(recoveries[0]["took_s"], 3.0);
    let bars = read["fault_bars"].as_array().expect("a list");
    assert_eq!([&bars[0]["from_s"], &bars[0]["to_s"]], [8.0, 8.5]);
    // A fault without an end lasts to the end of its run.
    assert_eq!([&bars[1]["from_s"], &bars[1]["to_s"]], [9.0, 18.0]);
    assert_eq!(
        read["seconds"][1],
        json!({"refused": 1, "failed": 1, "closed": 1, "left": 1,
        "timed out": 1, "not connected": 1, "cut": 1})
    );
}

#[test]
fn draw_reads_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("soak.svg");
    let mut report = SoakReport::default();
    run(7, &mut report);
    report.draw(&file).expect("a drawn report");
    let text = std::fs::read_to_string(&file).expect("it was written");
    assert!(text.trim_start().starts_with("<svg") && text.trim_end().ends_with("</svg>"));
    for word in ["served", "refused", "failed", "closed", "kill", "delay", "requests a second"] {
        assert!(text.contains(word), "no {word}");
    }
    assert!(text.contains("until its process serves again, up to 3.0 s"), "{text}");
    assert_eq!(text.matches("<polyline").count(), 4, "a curve for each outcome");
    // The background, two faults and one recovery.
    assert_eq!(text.matches("<rect").count(), 4);
}

#[test]
fn draw_empty_report() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut report = SoakReport::default();
    report.draw(&folder.path().join("soak.svg")).expect("a drawn empty report");
    let missing = folder.path().join("missing").join("soak.json");
    let failure = report.write(&missing).expect_err("there is no such folder");
    assert!(failure.to_string().contains("soak.json"), "{failure}");
}
