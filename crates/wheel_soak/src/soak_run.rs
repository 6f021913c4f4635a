//! One run: a system, what is around it, and its faults.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use wheel_harness::{HttpCaller, LinkRelay};

use crate::config_document::{ENGINE_SERVICE, PLAIN_SERVICE};
use crate::soak_error::NotServingSnafu;
use crate::soak_system::CONTROL_COUNT;
use crate::{
    CallEnd, FaultDriver, FaultPlan, ListStandIn, Observation, ObservationSink, OperatorSide,
    PlainCaller, PlanScope, SeenEvent, SoakError, SoakSystem, UpstreamStandIn,
};

/// Upstreams with models, and without.
const ENGINES: usize = 4;
const PLAIN_UPSTREAMS: usize = 2;
/// The time in which a system must serve at first.
const START_LIMIT: Duration = Duration::from_secs(30);
const START_POLL: Duration = Duration::from_millis(100);
/// The time after the last fault: recovery, and then requests that all must be served.
pub const CALM_TIME: Duration = Duration::from_secs(18);
/// Time with callers before the first fault.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// After the callers have ended, what is on its way may arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The file of a run folder that has all observations.
const OBSERVATIONS: &str = "observations.txt";

/// How a run is made.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Chooses the faults.
    pub seed: u64,
    /// Processes; three are control instances.
    pub processes: usize,
    /// The whole length, with its beginning and its calm end.
    pub length: Duration,
    /// Where logs and data go.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Requests sent.
    pub calls: usize,
    /// Requests with a whole success.
    pub served: usize,
    /// Faults that began, by kind.
    pub faults: BTreeMap<String, usize>,
    /// Broken promises, one line each.
    pub violations: Vec<String>,
}

/// Makes one run.
///
/// # Errors
/// [`SoakError`] if the system can't be started; what goes wrong later is a violation.
pub async fn run_soak(settings: &RunSettings) -> Result<RunOutcome, SoakError> {
    let plan = FaultPlan::draw(&PlanScope {
        seed: settings.seed,
        processes: settings.processes,
        upstreams: ENGINES + PLAIN_UPSTREAMS,
        length: settings.length.saturating_sub(CALM_TIME + LEAD_TIME),
    });
    let (sink, observations) = ObservationSink::open();
    let judging = tokio::spawn(judge(observations, settings.folder.clone()));
    let upstreams = bind_upstreams(&sink).await?;
    let list = Arc::new(ListStandIn::bind(Arc::clone(&upstreams)).await?);
    let system = SoakSystem::spawn(settings.processes, &settings.folder, list.address(), &sink)?;
    let system = Arc::new(system);
    let operators = OperatorSide::new(Arc::clone(&system), sink.clone());
    wait_serving(&system, &operators, &settings.folder).await?;
    let mut links = Vec::new();
    for place in CONTROL_COUNT..system.count() {
        links.push(LinkRelay::bind(system.callers(place)).await?);
    }
    let driver = FaultDriver {
        system: Arc::clone(&system),
        upstreams,
        list,
        caller_links: links.into(),
        operators: operators.clone(),
        sink: sink.clone(),
    };
    let (stop, stopped) = watch::channel(false);
    let callers = spawn_callers(&driver, stopped);
    let rounds = operators.spawn_rounds();
    tokio::time::sleep(LEAD_TIME).await;
    driver.run(&plan).await;
    tokio::time::sleep(CALM_TIME).await;
    stop.send_replace(true);
    callers.join_all().await;
    tokio::time::sleep(SETTLE_TIME).await;
    drop((rounds, driver, operators, system, sink));
    Ok(judging.await.unwrap_or_default())
}

/// The one place that says who calls.
fn spawn_callers(driver: &FaultDriver, stop: watch::Receiver<bool>) -> JoinSet<()> {
    let name = |place: usize| driver.system.name(CONTROL_COUNT + place);
    let links = driver.caller_links.iter().enumerate();
    let entries = links.map(|(place, link)| (name(place), link.address())).collect();
    PlainCaller::spawn(entries, driver.sink.clone(), stop)
}

async fn bind_upstreams(sink: &ObservationSink) -> Result<Arc<[UpstreamStandIn]>, SoakError> {
    let mut upstreams = Vec::new();
    for place in 0..ENGINES + PLAIN_UPSTREAMS {
        let service = if place < ENGINES { ENGINE_SERVICE } else { PLAIN_SERVICE };
        let (id, zone) = (format!("{service}-{place}").into(), format!("z{}", place % 2));
        upstreams.push(UpstreamStandIn::bind(id, service, &zone, sink.clone()).await?);
    }
    Ok(upstreams.into())
}

/// Has the first configuration accepted, and waits until all entries are ready.
async fn wait_serving(
    system: &SoakSystem,
    operators: &OperatorSide,
    folder: &Path,
) -> Result<(), SoakError> {
    let began = Instant::now();
    let late = |what: String| {
        let folder = folder.display().to_string();
        NotServingSnafu { what, limit: START_LIMIT, folder }.fail()
    };
    while !operators.change(0).await {
        if began.elapsed() > START_LIMIT {
            return late("the first configuration".to_owned());
        }
    }
    system.end_bootstrap()?;
    let caller = HttpCaller::default();
    for place in CONTROL_COUNT..system.count() {
        let is_ready = || async {
            let asking = caller.get(system.readiness(place), "/api/readiness");
            let reply = tokio::time::timeout(START_POLL * 10, asking).await;
            matches!(reply, Ok(Ok(reply)) if reply.status.is_success())
        };
        while !is_ready().await {
            if began.elapsed() > START_LIMIT {
                return late(format!("readiness of {}", system.name(place)));
            }
            tokio::time::sleep(START_POLL).await;
        }
    }
    Ok(())
}

/// Writes all observations down and counts; the checker's place.
async fn judge(
    mut observations: mpsc::UnboundedReceiver<Observation>,
    folder: PathBuf,
) -> RunOutcome {
    let mut outcome = RunOutcome::default();
    let mut log = File::create(folder.join(OBSERVATIONS)).map(BufWriter::new).ok();
    while let Some(observation) = observations.recv().await {
        match &observation.event {
            SeenEvent::CallSent { .. } => outcome.calls += 1,
            SeenEvent::CallEnded {
                end: CallEnd::Answered { status: 200, is_whole: true, .. },
                ..
            } => outcome.served += 1,
            SeenEvent::FaultBegan { kind, .. } => {
                *outcome.faults.entry(kind.to_string()).or_default() += 1;
            }
            SeenEvent::InvalidAccepted { version, process } => {
                outcome.violations.push(format!("{process} took the invalid version {version}"));
            }
            _ => {}
        }
        // Without the file, the run's verdict still holds.
        let _ = log.as_mut().map(|log| writeln!(log, "{observation:?}"));
    }
    outcome
}
