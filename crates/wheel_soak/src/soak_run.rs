//! One run: a system, what is around it, and its faults.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use wheel_harness::{HttpClient, LinkRelay};
use wheel_platform::wire_names;

use crate::config_document::{
    CLOSED_PREFIX, ENGINE_SERVICE, IDEMPOTENT_PREFIX, LOADS_PER_S, MODEL_PREFIX, MODELS,
    ONCE_PREFIX, PLAIN_SERVICE, RESUMABLE_PREFIX, ROUTE_HOST,
};
use crate::soak_error::{IoSnafu, NotServingSnafu};
use crate::soak_system::{CONTROL_COUNT, LEASE, process_name};
use crate::{
    CallEnd, CallKind, CallRoute, CallerSettings, FailedCall, FaultDriver, FaultPlan, ListStandIn,
    LogCoverage, Observation, ObservationSink, OperatorSide, PlanScope, PromiseBounds,
    PromiseChecker, PromiseViolation, SeenEvent, SoakCaller, SoakError, SoakReport, SoakSystem,
    UpstreamStandIn,
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
/// The file with its plan.
const PLAN: &str = "plan.txt";
/// Callers, and how many requests a second each of them sends.
const CALLERS: u64 = 3;
const CALL_RATE: f64 = 15.0;
/// How long beyond its time a caller waits.
const PATIENCE: Duration = Duration::from_secs(5);

/// Prefix, amount of work, kind, the caller's time in milliseconds, and whether a model is named.
type RouteRow = (&'static str, &'static str, CallKind, u64, bool);

/// What callers ask for; the last streams take longer than the grace.
const ROUTES: [RouteRow; 7] = [
    (RESUMABLE_PREFIX, "8x60", CallKind::ResumableStream, 5_000, true),
    (CLOSED_PREFIX, "6x100", CallKind::ClosedStream, 5_000, true),
    (MODEL_PREFIX, "1000x50", CallKind::Idempotent, 4_000, true),
    (IDEMPOTENT_PREFIX, "100x30", CallKind::Idempotent, 4_000, false),
    (ONCE_PREFIX, "10x200", CallKind::NonIdempotent, 4_000, false),
    (RESUMABLE_PREFIX, "50x100", CallKind::ResumableStream, 8_000, true),
    (CLOSED_PREFIX, "50x100", CallKind::ClosedStream, 8_000, true),
];

/// How a run is made.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Chooses the faults.
    pub seed: u64,
    /// Processes; three are control instances.
    pub processes: usize,
    /// The whole length, with its beginning and its calm end.
    pub length: Duration,
    /// Whether the program has the seams of tests.
    pub has_seams: bool,
    /// Where logs and data go.
    pub folder: PathBuf,
}

impl RunSettings {
    /// The faults of the run.
    pub fn plan(&self) -> FaultPlan {
        FaultPlan::draw(&PlanScope {
            seed: self.seed,
            processes: self.processes,
            upstreams: ENGINES + PLAIN_UPSTREAMS,
            has_seams: self.has_seams,
            length: self.length.saturating_sub(CALM_TIME + LEAD_TIME),
        })
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Requests sent.
    pub calls: usize,
    /// Requests with a whole success.
    pub served: usize,
    /// Faults that began, by kind.
    pub faults: BTreeMap<Arc<str>, usize>,
    /// Broken promises.
    pub violations: Vec<PromiseViolation>,
    /// Requests that failed, which logs have to explain.
    failed: Vec<FailedCall>,
}

/// Makes one run, which `report` hears of.
///
/// # Errors
/// [`SoakError`] if the system can't be started; what goes wrong later is a violation.
pub async fn run_soak(
    settings: &RunSettings,
    report: &mut SoakReport,
) -> Result<RunOutcome, SoakError> {
    let plan = settings.plan();
    let plan_text = plan.to_string();
    let what = || format!("write into {}", settings.folder.display());
    std::fs::write(settings.folder.join(PLAN), plan_text)
        .with_context(|_| IoSnafu { what: what() })?;
    report.begin(settings.seed);
    let (sink, observations) = ObservationSink::open();
    let judging = judge(observations, &settings.folder, report);
    let (driven, mut outcome) = tokio::join!(drive(settings, &plan, sink), judging);
    driven?;
    let logs: Vec<PathBuf> = (0..settings.processes)
        .map(|place| settings.folder.join(format!("{}.log", process_name(place))))
        .collect();
    let unexplained = match LogCoverage::read(&outcome.failed, &logs) {
        Ok(coverage) => coverage.unexplained(&outcome.failed),
        Err(source) => return Err(SoakError::Log { source }),
    };
    report.add(unexplained.clone());
    outcome.violations.extend(unexplained);
    Ok(outcome)
}

/// Runs the system, what is around it and the plan; ends all of it.
async fn drive(
    settings: &RunSettings,
    plan: &FaultPlan,
    sink: ObservationSink,
) -> Result<(), SoakError> {
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
    let caller_links = links.into();
    let (stop, stopped) = watch::channel(false);
    let rounds = operators.spawn_rounds();
    let driver = FaultDriver { system, upstreams, list, caller_links, operators, sink };
    let callers = spawn_callers(&driver, settings.seed, &stopped);
    tokio::time::sleep(LEAD_TIME).await;
    driver.run(plan).await;
    tokio::time::sleep(CALM_TIME).await;
    stop.send_replace(true);
    for caller in callers {
        caller.ended().await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    drop(rounds);
    Ok(())
}

/// The one place that says who calls.
fn spawn_callers(driver: &FaultDriver, seed: u64, stop: &watch::Receiver<bool>) -> Vec<SoakCaller> {
    let name = |place: usize| driver.system.name(CONTROL_COUNT + place);
    let links = driver.caller_links.iter().enumerate();
    let processes: Vec<_> = links.map(|(place, link)| (name(place), link.address())).collect();
    let route = |&(prefix, amount, kind, deadline_ms, has_model): &RouteRow| CallRoute {
        host: ROUTE_HOST.into(),
        path: format!("{prefix}{amount}").into(),
        kind,
        deadline: Duration::from_millis(deadline_ms),
        has_model,
    };
    let caller = |number: u64| CallerSettings {
        name: format!("caller{number}").into(),
        processes: processes.clone(),
        routes: ROUTES.iter().map(route).collect(),
        models: MODELS.iter().map(|(model, _)| Arc::from(*model)).collect(),
        rate_per_s: CALL_RATE,
        seed: seed.wrapping_mul(CALLERS).wrapping_add(number),
        patience: PATIENCE,
    };
    let spawn = |number| SoakCaller::spawn(caller(number), driver.sink.clone(), stop.clone());
    (0..CALLERS).map(spawn).collect()
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
    let caller = HttpClient::default();
    for place in CONTROL_COUNT..system.count() {
        let is_ready = || async {
            let asking = caller.get(system.readiness(place), wire_names::READINESS_PATH);
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

/// Judges all observations until nobody is left to tell any, and writes them down.
async fn judge(
    mut observations: mpsc::UnboundedReceiver<Observation>,
    folder: &Path,
    report: &mut SoakReport,
) -> RunOutcome {
    let mut outcome = RunOutcome::default();
    let mut checker = PromiseChecker::open(PromiseBounds {
        loads_per_s: LOADS_PER_S,
        lease_pause: LEASE,
        control: (0..CONTROL_COUNT).map(process_name).collect(),
        ..PromiseBounds::default()
    });
    let mut log = File::create(folder.join(OBSERVATIONS)).map(BufWriter::new).ok();
    while let Some(observation) = observations.recv().await {
        match &observation.event {
            SeenEvent::CallSent { .. } => outcome.calls += 1,
            SeenEvent::CallEnded {
                end: CallEnd::Answered { status, is_whole: true, .. }, ..
            } => {
                outcome.served += usize::from(*status == 200);
            }
            SeenEvent::FaultBegan { kind, .. } => {
                *outcome.faults.entry(Arc::clone(kind)).or_default() += 1;
            }
            _ => {}
        }
        // Without the file, the run's verdict still holds.
        let _ = log.as_mut().map(|log| writeln!(log, "{observation:?}"));
        report.observe(&observation);
        outcome.violations.extend(checker.observe(&observation));
        outcome.failed.extend(checker.take_failed());
    }
    outcome.violations.extend(checker.finish());
    outcome.failed.extend(checker.take_failed());
    report.add(outcome.violations.clone());
    outcome
}
