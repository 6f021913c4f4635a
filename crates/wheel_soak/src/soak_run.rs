//! One run: a system with its environment and the faults injected into it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use snafu::ResultExt;
use tokio::sync::{mpsc, watch};
use wheel_harness::{HttpClient, LinkRate, LinkRelay};
use wheel_platform::wire_names;

use crate::config_document::{
    CLOSED_PREFIX, ENGINE_SERVICE, IDEMPOTENT_PREFIX, LIMITED_PREFIX, LOADS_PER_S, MODEL_PREFIX,
    MODELS, ONCE_PREFIX, PLAIN_SERVICE, RESUMABLE_PREFIX, ROUTE_HOST, max_engines,
};
use crate::soak_error::{IoSnafu, NotServingSnafu};
use crate::soak_system::{CONTROL_COUNT, LEASE, SPARE_NAME, process_name};
use crate::{
    CallEnd, CallKind, CallRoute, CallerHabit, CallerSettings, FailedCall, FaultDriver, FaultPlan,
    FaultTarget, GuaranteeBounds, GuaranteeChecker, GuaranteeViolation, KeyCaller, ListStub,
    LogCoverage, Observation, ObservationSink, OperatorClient, PlanScope, PlannedFault, SeenEvent,
    SoakCaller, SoakError, SoakReport, SoakSystem, SystemGuarantee, TeamKey, UpstreamStub,
    WireCaller, check_membership,
};

/// Number of upstreams with and without models.
const ENGINES: usize = 4;
const PLAIN_UPSTREAMS: usize = 2;
/// Time limit for a new system to become ready.
const START_LIMIT: Duration = Duration::from_secs(30);
const START_POLL: Duration = Duration::from_millis(100);
/// Time after the last fault, which covers the recovery and then a phase whose requests must be served.
pub const FAULT_FREE_TIME: Duration = Duration::from_secs(18);
/// Time between the start of the callers and the first fault.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Time after the end of the callers in which the last observations may arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// File in the run folder with all observations.
const OBSERVATIONS: &str = "observations.txt";
/// Bytes of a body that are written to it.
const LOGGED_BYTES: usize = 4 << 10;
/// File in the run folder with the fault plan.
const PLAN: &str = "plan.txt";
/// Number of callers, and the requests per second that each sends.
const CALLERS: u64 = 3;
const CALL_RATE: f64 = 15.0;
/// The callers on plain connections: their habits, names, and connections that each opens per second.
const HABITS: [(CallerHabit, &str, f64); 3] = [
    (CallerHabit::Pipelines, "pipelines", 3.0),
    (CallerHabit::HasSlowLink, "slow", 3.0),
    (CallerHabit::StopsReading, "pauses", 3.0),
];
/// Bytes per second that pass over the slow link from each ingress instance.
const SLOW_BYTES_PER_S: f64 = 400_000.0;
/// Time after its deadline at which a caller gives up.
const DEADLINE_SLACK: Duration = Duration::from_secs(5);

/// Path prefix, workload, kind, the caller's deadline in milliseconds, and whether a model is named.
type RouteRow = (&'static str, &'static str, CallKind, u64, bool);

/// The routes that callers use; the last two streams take longer than the grace period.
const ROUTES: [RouteRow; 7] = [
    (RESUMABLE_PREFIX, "8x60", CallKind::ResumableStream, 5_000, true),
    (CLOSED_PREFIX, "6x100", CallKind::ClosedStream, 5_000, true),
    (MODEL_PREFIX, "1000x50", CallKind::Idempotent, 4_000, true),
    (IDEMPOTENT_PREFIX, "100x30", CallKind::Idempotent, 4_000, false),
    (ONCE_PREFIX, "10x200", CallKind::NonIdempotent, 4_000, false),
    (LIMITED_PREFIX, "50x100", CallKind::ResumableStream, 8_000, true),
    (CLOSED_PREFIX, "50x100", CallKind::ClosedStream, 8_000, true),
];

/// Routes with answers that a slow caller takes a while for, beside the streams of [`ROUTES`].
const LARGE_ROUTES: [RouteRow; 2] = [
    (IDEMPOTENT_PREFIX, "200000x100", CallKind::Idempotent, 8_000, false),
    (ONCE_PREFIX, "120000x300", CallKind::NonIdempotent, 8_000, false),
];

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed of the fault plan and of the callers.
    pub seed: u64,
    /// Number of processes, of which three are control instances.
    pub processes: usize,
    /// Total duration, including the fault-free start and end.
    pub length: Duration,
    /// Whether the program has test seams.
    pub has_seams: bool,
    /// Whether configurations have teams, whose keys callers send.
    pub has_teams: bool,
    /// Whether a spare control instance replaces those that are away, and faults bring that about.
    pub has_spare: bool,
    /// Folder for logs and data.
    pub folder: PathBuf,
}

impl RunSettings {
    /// The fault plan of the run.
    pub fn plan(&self) -> FaultPlan {
        FaultPlan::draw(&PlanScope {
            seed: self.seed,
            processes: self.processes,
            upstreams: ENGINES + PLAIN_UPSTREAMS,
            has_seams: self.has_seams,
            has_spare: self.has_spare,
            length: self.length.saturating_sub(FAULT_FREE_TIME + LEAD_TIME),
        })
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Number of requests sent.
    pub calls: usize,
    /// Number of requests with a complete, successful answer.
    pub served: usize,
    /// Number of faults by kind.
    pub faults: BTreeMap<Arc<str>, usize>,
    /// Violations of guarantees.
    pub violations: Vec<GuaranteeViolation>,
    /// Failed requests, which logs must explain.
    failed: Vec<FailedCall>,
}

/// Makes one run and adds it to `report`.
///
/// # Errors
/// [`SoakError`] if the system can't be started; later failures of the system are violations.
pub async fn run_soak(
    settings: &RunSettings,
    report: &mut SoakReport,
) -> Result<RunOutcome, SoakError> {
    let plan = settings.plan();
    let plan_text = plan.to_string();
    let what = || format!("write into {}", settings.folder.display());
    std::fs::write(settings.folder.join(PLAN), plan_text)
        .with_context(|_| IoSnafu { what: what() })?;
    report.begin_run(settings.seed);
    let (sink, observations) = ObservationSink::open();
    let checking = check(observations, &settings.folder, report);
    let (system_result, mut outcome) = tokio::join!(run_system(settings, &plan, sink), checking);
    match system_result {
        // The loss of one control instance may delay the first start, and must not prevent it.
        Err(fault @ SoakError::NotServing { .. }) if plan.start_loss.is_some() => {
            let line = fault.to_string();
            let guarantee = SystemGuarantee::ServedAgain;
            let violation = GuaranteeViolation::new(guarantee, START_LIMIT, &[], line);
            report.add_violations(vec![violation.clone()]);
            outcome.violations.push(violation);
        }
        result => result?,
    }
    let logs: Vec<PathBuf> = (0..settings.processes)
        .map(|index| settings.folder.join(format!("{}.log", process_name(index))))
        .collect();
    let unexplained = match LogCoverage::read(&outcome.failed, &logs) {
        Ok(coverage) => coverage.unexplained(&outcome.failed),
        Err(source) => return Err(SoakError::Log { source }),
    };
    let spare = settings.has_spare.then(|| Arc::from(SPARE_NAME));
    let mut found = unexplained;
    for name in (0..CONTROL_COUNT).map(process_name).chain(spare) {
        let log = settings.folder.join(format!("{name}.log"));
        let outside = check_membership(&name, &log).map_err(|source| SoakError::Log { source })?;
        found.extend(outside);
    }
    report.add_violations(found.clone());
    outcome.violations.extend(found);
    Ok(outcome)
}

/// Runs the system with its environment, callers and fault plan, and stops everything.
async fn run_system(
    settings: &RunSettings,
    plan: &FaultPlan,
    sink: ObservationSink,
) -> Result<(), SoakError> {
    let upstreams = bind_upstreams(&sink).await?;
    let list = Arc::new(ListStub::bind(Arc::clone(&upstreams)).await?);
    let system = SoakSystem::spawn(
        settings.processes,
        &settings.folder,
        list.address(),
        &sink,
        (settings.has_teams, settings.has_spare),
    )?;
    let system = Arc::new(system);
    let operators = OperatorClient::new(Arc::clone(&system), sink.clone(), settings.has_teams);
    let starting = wait_serving(&system, &operators, &settings.folder);
    let losing = lose_at_start(&system, plan, &sink);
    let (started, lost) = tokio::join!(starting, losing);
    lost?;
    started?;
    let mut links = Vec::new();
    for index in CONTROL_COUNT..system.count() {
        links.push(LinkRelay::bind(system.caller_address(index)).await?);
    }
    let caller_links = links.into();
    let mut slow_links = Vec::new();
    for index in CONTROL_COUNT..system.count() {
        let (any, rate) = (([127, 0, 0, 1], 0).into(), Arc::new(LinkRate::new(SLOW_BYTES_PER_S)));
        let target = system.caller_address(index);
        slow_links.push(LinkRelay::bind_at(any, target, Some(rate)).await?);
    }
    let (stop, stopped) = watch::channel(false);
    let loops = operators.spawn_loops();
    let driver = FaultDriver { system, upstreams, list, caller_links, operators, sink };
    let callers = spawn_callers(&driver, settings, &stopped);
    let wire_callers = spawn_wire_callers(&driver, &slow_links, settings, &stopped);
    let key_caller = settings.has_teams.then(|| KeyCaller::spawn(&driver, settings.seed, stopped));
    tokio::time::sleep(LEAD_TIME).await;
    driver.run(plan).await;
    tokio::time::sleep(FAULT_FREE_TIME).await;
    stop.send_replace(true);
    for caller in callers {
        caller.ended().await;
    }
    for caller in wire_callers {
        caller.ended().await;
    }
    if let Some(caller) = key_caller {
        caller.ended().await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    drop(loops);
    Ok(())
}

/// Injects the plan's loss of a control instance during the first start.
async fn lose_at_start(
    system: &SoakSystem,
    plan: &FaultPlan,
    sink: &ObservationSink,
) -> Result<(), SoakError> {
    let Some(PlannedFault { at, duration, name, target: FaultTarget::Process(index), .. }) =
        plan.start_loss
    else {
        return Ok(());
    };
    tokio::time::sleep(at).await;
    let (kind, target): (Arc<str>, _) = (name.into(), system.name(index));
    sink.record(SeenEvent::FaultBegan { kind: Arc::clone(&kind), target: Arc::clone(&target) });
    system.lose_at_start(index, duration)?;
    sink.record(SeenEvent::FaultEnded { kind, target });
    Ok(())
}

/// Starts all callers of the run.
fn spawn_callers(
    driver: &FaultDriver,
    &RunSettings { seed, has_teams, .. }: &RunSettings,
    stop: &watch::Receiver<bool>,
) -> Vec<SoakCaller> {
    let name = |index: usize| driver.system.name(CONTROL_COUNT + index);
    let links = driver.caller_links.iter().enumerate();
    let processes: Vec<_> = links.map(|(index, link)| (name(index), link.address())).collect();
    let caller = |number: u64| CallerSettings {
        name: format!("caller{number}").into(),
        processes: processes.clone(),
        routes: ROUTES.iter().map(call_route).collect(),
        models: MODELS.iter().map(|(model, _)| Arc::from(*model)).collect(),
        rate_per_s: CALL_RATE,
        seed: seed.wrapping_mul(CALLERS).wrapping_add(number),
        deadline_slack: DEADLINE_SLACK,
        key: has_teams.then(|| TeamKey::lasting(number)),
    };
    let spawn = |number| SoakCaller::spawn(caller(number), driver.sink.clone(), stop.clone());
    (0..CALLERS).map(spawn).collect()
}

/// Starts the callers on plain connections. Those that stop reading have no link between themselves and the
/// process, which would read on.
fn spawn_wire_callers(
    driver: &FaultDriver,
    slow_links: &[LinkRelay],
    &RunSettings { seed, has_teams, .. }: &RunSettings,
    stop: &watch::Receiver<bool>,
) -> Vec<WireCaller> {
    let spawn = |(number, (habit, name, rate_per_s)): (u64, (CallerHabit, &str, f64))| {
        let address = |index: usize| match habit {
            CallerHabit::Pipelines => driver.caller_links[index].address(),
            CallerHabit::HasSlowLink => slow_links[index].address(),
            CallerHabit::StopsReading => driver.system.caller_address(CONTROL_COUNT + index),
        };
        let ingresses = 0..driver.caller_links.len();
        let process = |index| (driver.system.name(CONTROL_COUNT + index), address(index));
        let large = if habit == CallerHabit::Pipelines { &[] } else { &LARGE_ROUTES[..] };
        // Half of the requests to a slow caller have a large answer.
        let large = large.iter().cycle().take(large.len() * 3);
        let settings = CallerSettings {
            name: name.into(),
            processes: ingresses.map(process).collect(),
            routes: ROUTES.iter().chain(large).map(call_route).collect(),
            models: MODELS.iter().map(|(model, _)| Arc::from(*model)).collect(),
            rate_per_s,
            seed: seed.wrapping_mul(HABITS.len() as u64).wrapping_add(number),
            deadline_slack: DEADLINE_SLACK,
            key: has_teams.then(|| TeamKey::lasting(number)),
        };
        WireCaller::spawn(habit, settings, driver.sink.clone(), stop.clone())
    };
    (0..).zip(HABITS).map(spawn).collect()
}

fn call_route(&(prefix, amount, kind, deadline_ms, has_model): &RouteRow) -> CallRoute {
    CallRoute {
        host: ROUTE_HOST.into(),
        path: format!("{prefix}{amount}").into(),
        kind,
        deadline: Duration::from_millis(deadline_ms),
        max_engines: max_engines(prefix),
        has_model,
    }
}

async fn bind_upstreams(sink: &ObservationSink) -> Result<Arc<[UpstreamStub]>, SoakError> {
    let mut upstreams = Vec::new();
    for index in 0..ENGINES + PLAIN_UPSTREAMS {
        let service = if index < ENGINES { ENGINE_SERVICE } else { PLAIN_SERVICE };
        let (id, zone) = (format!("{service}-{index}").into(), format!("z{}", index % 2));
        upstreams.push(UpstreamStub::bind(id, service, &zone, sink.clone()).await?);
    }
    Ok(upstreams.into())
}

/// Applies the initial configuration and waits until all ingress instances are ready.
async fn wait_serving(
    system: &SoakSystem,
    operators: &OperatorClient,
    folder: &Path,
) -> Result<(), SoakError> {
    let began = Instant::now();
    let not_serving = |what: String| {
        let folder = folder.display().to_string();
        NotServingSnafu { what, limit: START_LIMIT, folder }.fail()
    };
    while !operators.change(0).await {
        if began.elapsed() > START_LIMIT {
            return not_serving("the initial configuration".to_owned());
        }
    }
    system.end_bootstrap()?;
    let client = HttpClient::default();
    for index in CONTROL_COUNT..system.count() {
        let is_ready = || async {
            let response = client.get(system.readiness_address(index), wire_names::READINESS_PATH);
            let reply = tokio::time::timeout(START_POLL * 10, response).await;
            matches!(reply, Ok(Ok(reply)) if reply.status.is_success())
        };
        while !is_ready().await {
            if began.elapsed() > START_LIMIT {
                return not_serving(format!("readiness of {}", system.name(index)));
            }
            tokio::time::sleep(START_POLL).await;
        }
    }
    Ok(())
}

/// Checks all observations until all sinks are dropped, and writes them to a file.
async fn check(
    mut observations: mpsc::UnboundedReceiver<Observation>,
    folder: &Path,
    report: &mut SoakReport,
) -> RunOutcome {
    let mut outcome = RunOutcome::default();
    let mut checker = GuaranteeChecker::open(GuaranteeBounds {
        loads_per_s: LOADS_PER_S,
        lease_pause: LEASE,
        control: (0..CONTROL_COUNT).map(process_name).chain([SPARE_NAME.into()]).collect(),
        ..GuaranteeBounds::default()
    });
    let mut log = File::create(folder.join(OBSERVATIONS)).map(BufWriter::new).ok();
    while let Some(mut observation) = observations.recv().await {
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
        report.observe(&observation);
        outcome.violations.extend(checker.observe(&observation));
        outcome.failed.extend(checker.take_failed());
        observation.event.shorten_bodies(LOGGED_BYTES);
        // The result of the run is valid without the file.
        let _ = log.as_mut().map(|log| writeln!(log, "{observation:?}"));
    }
    outcome.violations.extend(checker.finish());
    outcome.failed.extend(checker.take_failed());
    report.add_violations(outcome.violations.clone());
    outcome
}
