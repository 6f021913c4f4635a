//! Reports by which the director learns that a replica has drained.
//!
//! Guards against the unload of a model that an engine still runs a request of: the owner has given
//! the request up, and its last look at the engine is older than the request.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use wheel_fakes::{FakeEngine, FakeEngineSettings, FaultPlan};
use wheel_manifest::{ActiveManifest, DeploymentManifest, ManifestHash};
use wheel_serving::{
    DrainNotice, OwnerSettings, OwnerTable, ProcessClock, ReportMessage, ReportSink,
};
use wheel_types::{EngineReport, ManifestRevision, ModelName, UpstreamName};

/// Time within which each step happens.
const LIMIT: Duration = Duration::from_secs(5);
/// How long the engine takes to answer a read of its state.
const STATE_DELAY_MS: u64 = 300;

struct ReportQueue(mpsc::UnboundedSender<EngineReport>);

impl ReportSink for ReportQueue {
    fn publish(&self, message: ReportMessage) {
        if let ReportMessage::Engine(report) = message {
            let _ = self.0.send(*report);
        }
    }
}

fn active_manifest(engine: SocketAddr) -> ActiveManifest {
    let source = format!(
        r#"
group = "g"
rank = [{{ name = "question", deadline_ms = 1000, floor_percent = 10 }}]
data_centre = [{{ name = "a", region = "r", grantors = ["a1"] }}]
upstream = [{{ name = "engine", kind = "engine", data_centre = "a", address = "{engine}",
  slots = 4, memory_mib = 40960 }}]
"#
    );
    let manifest = DeploymentManifest::parse(&source).expect("a valid manifest");
    let hash = ManifestHash::default();
    ActiveManifest::new(ManifestRevision(1), hash, source.into(), manifest)
}

/// Waits for a report for which `check` is true; returns those before it as well.
async fn wait_report(
    reports: &mut mpsc::UnboundedReceiver<EngineReport>,
    check: impl Fn(&EngineReport) -> bool,
) -> Vec<EngineReport> {
    let (end, mut seen) = (Instant::now() + LIMIT, Vec::new());
    loop {
        let report = timeout_at(end, reports.recv()).await.expect("a report in time");
        seen.push(report.expect("the owner reports"));
        if seen.last().is_some_and(&check) {
            return seen;
        }
    }
}

/// Whether a report says that the model has drained.
fn has_drained(report: &EngineReport, model: &ModelName) -> bool {
    let mut of_model = report.usage.iter().filter(|usage| &usage.model == model);
    report.draining.contains(model)
        && report.external_running == 0
        && of_model.all(|usage| usage.in_use == 0)
}

/// Sends a request to the engine that goes on until the connection is dropped.
async fn begin_long_call(engine: SocketAddr) -> TcpStream {
    let body = r#"{"model": "guide", "max_tokens": 1000000, "stream": true}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: engine\r\nwheel-request-id: given-up\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut connection = TcpStream::connect(engine).await.expect("the engine accepts");
    connection.write_all(head.as_bytes()).await.expect("the engine reads");
    connection
}

#[tokio::test]
async fn drain_request_given_up_since_the_last_read_isnt_over() {
    let engine = FakeEngine::bind(FakeEngineSettings::default()).await.expect("an engine");
    engine.preload("guide", 1_024);
    let (sender, mut reports) = mpsc::unbounded_channel();
    let settings = OwnerSettings {
        instance: "a1".into(),
        relay: ([127, 0, 0, 1], 9).into(),
        order_life: Duration::from_secs(1),
    };
    let table = OwnerTable::open(settings, ProcessClock::start(), Arc::new(ReportQueue(sender)));
    table.apply_manifest(&active_manifest(engine.local_addr()), |_| true);
    let upstream = table.get(&UpstreamName::from("engine")).expect("an owned upstream");
    let model = ModelName::from("guide");
    wait_report(&mut reports, |report| !report.models.is_empty()).await;

    engine.set_faults(FaultPlan { state_delay_ms: STATE_DELAY_MS, ..FaultPlan::default() });
    let usage = upstream.usage().begin(model.clone(), None);
    let notice = DrainNotice {
        upstream: UpstreamName::from("engine"),
        model: model.clone(),
        draining: true,
    };
    upstream.apply_drain(&notice);
    // The engine has read its state for the owner, which gets it later. Meanwhile the request
    // begins to run, and the owner gives it up.
    tokio::time::sleep(Duration::from_millis(STATE_DELAY_MS / 3)).await;
    let call = begin_long_call(engine.local_addr()).await;
    tokio::time::sleep(Duration::from_millis(STATE_DELAY_MS / 3)).await;
    assert_eq!(engine.state().running.len(), 1, "the request runs");
    drop(usage);

    let seen = wait_report(&mut reports, |report| report.external_running > 0).await;
    let early = seen.iter().filter(|report| has_drained(report, &model)).count();
    assert_eq!(early, 0, "the engine still runs the request: {seen:?}");
    drop(call);
    wait_report(&mut reports, |report| has_drained(report, &model)).await;
    assert!(engine.state().running.is_empty(), "the request has ended");
}
