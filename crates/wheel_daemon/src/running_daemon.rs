//! Creates and connects all parts and runs them until they are drained.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;
use rand::Rng;
use snafu::{ResultExt, Snafu};
use spdlog::{info, warn};
use tokio::runtime::Handle;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wheel_control::{
    AddressResolver, ControlError, ControlNode, ControlSettings, FollowerSettings, GroupClient,
    ManifestFollower, ManifestState,
};
use wheel_director::{CentreDirector, DirectorSettings, LeaseDriver};
use wheel_ingress::{
    AdminService, AdminSettings, CallerService, CallerSettings, DrainDeadline, HttpError,
    HttpLimits, HttpServer, ManifestSource, RequestHandler, RequestMetrics,
};
use wheel_lease::LeaseSettings;
use wheel_peer::{PeerError, PeerHub, PeerSecret, PeerSettings};
use wheel_policy::PlacementSettings;
use wheel_serving::{
    DecisionLog, OwnerSettings, OwnerTable, PipelineContext, ProcessClock, RelayClients, RelayKey,
    RelayService, ReplicaDirectory, RequestPipeline,
};
use wheel_types::{IncarnationId, ManifestRevision};

use crate::daemon_parts::ManifestView;
use crate::daemon_parts::NEIGHBOUR_LIMIT;
use crate::demand_sender::DemandSender;
use crate::director_bridge::DirectorBridge;
use crate::list_reader::ListReader;
use crate::metrics_recorder::{UPKEEP_INTERVAL, install_recorder};
use crate::peer_metrics::describe_peer_metrics;
use crate::{
    AdminOperations, DaemonParts, DaemonSettings, ExitStatus, GroupClaimStore, InstanceDirectory,
    MemberDriver, PeerRouter, ReportSender,
};

/// Time between two checks for silent owners.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for other instances to notice that this one drains, before it accepts no more work.
const DRAIN_NOTICE: Duration = Duration::from_millis(300);
/// Time for the last answers to reach their callers: a write and a round trip on a busy machine.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time for open operators' calls once no other request is open: that of the longest call, a change
/// of the manifest.
const OPERATOR_TIME: Duration = Duration::from_secs(12);
/// Time after the last answers for settling claims: the election of a leader and a few attempts.
/// The outcome of a claim that isn't settled by then stays unknown.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The lease's term divided by this is the time by which the holder's authority ends before the
/// grants do.
const MARGIN_DIVISOR: u32 = 10;

/// Why an instance couldn't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// The server's error.
        source: HttpError,
    },
    /// The port for other instances can't be listened on.
    #[snafu(display("{source}"))]
    Peer {
        /// The hub's error.
        source: PeerError,
    },
    /// The replicated log can't be opened.
    #[snafu(display("{source}"))]
    Control {
        /// The log's error.
        source: ControlError,
    },
    /// The recorder of metrics can't be installed.
    #[snafu(display("metrics can't be recorded: {reason}"))]
    Metrics {
        /// The recorder's error.
        reason: String,
    },
    /// A part was started with another role's settings.
    #[snafu(display("the settings don't fit the role"))]
    WrongRole,
}

/// A running daemon.
pub struct RunningDaemon {
    parts: Arc<DaemonParts>,
    callers: HttpServer,
    operators: HttpServer,
    relay: HttpServer,
    shutdown: CancellationToken,
}

impl RunningDaemon {
    /// Starts every part.
    ///
    /// # Errors
    /// [`StartError`] if one can't start.
    pub async fn spawn(settings: DaemonSettings) -> Result<Self, StartError> {
        let recorder = install_recorder(UPKEEP_INTERVAL)?;
        describe_peer_metrics();
        let router = PeerRouter::default();
        let incarnation = new_incarnation();
        let hub = bind_hub(&settings, incarnation, &router)?;
        let parts = create_parts(settings, incarnation, hub)?;
        router.set_parts(Arc::clone(&parts));
        let shutdown = CancellationToken::new();
        let relay = bind_relay(&parts).await?;
        let callers = bind_callers(&parts, incarnation).await?;
        let operations = AdminOperations::new(Arc::clone(&parts), recorder, shutdown.clone());
        let admin = AdminService::new(
            AdminSettings {
                limits: limits_of(&parts.settings),
                token_hash: parts.settings.admin_token_hash,
            },
            Arc::new(operations),
        );
        let operators = HttpServer::bind(
            parts.settings.admin_listen,
            limits_of(&parts.settings),
            move |request| admin.clone().answer(request),
        )
        .await
        .context(ListenSnafu)?;
        spawn_loops(&parts);
        info!("daemon_started", kv: {
            instance = parts.settings.instance.as_str(),
            data_centre = parts.settings.centre.as_str(),
            callers = callers.local_addr().to_string(),
            operators = operators.local_addr().to_string(),
            control = parts.control.is_some()
        });
        Ok(Self { parts, callers, operators, relay, shutdown })
    }

    /// Where callers connect.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    /// Where operators connect.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Completes when an operator requests a shutdown.
    pub async fn shutdown_requested(&self) {
        self.shutdown.cancelled().await;
    }

    /// Shuts down gracefully: accepts no new work, completes open requests and hands over the rest.
    /// A second signal, `abort`, ends the drain immediately. Requests that still wait then are
    /// answered before the end.
    pub async fn drain(self, abort: CancellationToken) -> ExitStatus {
        let limit = self.parts.settings.drain_limit;
        info!("drain_started", kv: { limit_s = limit.as_secs() });
        let drain = self.parts.drain.clone();
        drain.begin(tokio::time::Instant::now() + DRAIN_NOTICE + limit);
        self.parts.draining.store(true, Ordering::Release);
        self.parts.members.drain();
        self.parts.director.stop();
        tokio::time::sleep(DRAIN_NOTICE).await;
        // Requests that wait for a slot move to the new owners, through the ingress instances.
        self.parts.owners.give_up_all();
        let all_ended = tokio::select! {
            biased;
            () = abort.cancelled() => false,
            () = drain.passed() => false,
            all_ended = self.drain_requests(limit + ANSWER_TIME) => all_ended,
        };
        // Operators are served until the end, and the control node must run until their calls are
        // answered.
        tokio::select! {
            biased;
            () = abort.cancelled() => {}
            () = drain.passed() => {}
            _ = self.operators.drain(OPERATOR_TIME) => {}
        }
        // Calls whose callers have disconnected are also completed.
        self.parts.detached.close();
        tokio::select! {
            biased;
            () = abort.cancelled() => {}
            () = drain.passed() => {}
            () = self.parts.detached.wait() => {}
        }
        // All requests that still wait are answered now.
        drain.begin(tokio::time::Instant::now());
        tokio::join!(self.drain_requests(ANSWER_TIME), self.operators.drain(ANSWER_TIME));
        let settled = tokio::time::timeout(SETTLE_TIME, self.parts.detached.wait()).await.is_ok();
        if !settled {
            warn!("claims_left_open", kv: { tasks = self.parts.detached.len() });
        }
        self.parts.members.leave();
        if let Some(control) = self.parts.control.clone() {
            let _ = tokio::task::spawn_blocking(move || control.stop()).await;
        }
        tokio::time::sleep(DRAIN_NOTICE).await;
        info!("drain_ended", kv: { all_ended });
        match all_ended {
            true => ExitStatus::Done,
            false => ExitStatus::CutShort,
        }
    }

    /// Waits for requests of callers and of other instances. True if all ended within `limit`.
    async fn drain_requests(&self, limit: Duration) -> bool {
        let (callers, relay) = tokio::join!(self.callers.drain(limit), self.relay.drain(limit));
        callers && relay
    }
}

fn bind_hub(
    settings: &DaemonSettings,
    incarnation: IncarnationId,
    router: &PeerRouter,
) -> Result<PeerHub, StartError> {
    let mut peer = PeerSettings::new(
        Arc::clone(&settings.group),
        settings.instance.clone(),
        Handle::current(),
    )
    .incarnation(incarnation)
    .listen(settings.peer_listen);
    if let Some(secret) = &settings.secret {
        peer = peer.secret(PeerSecret::new(Arc::clone(secret)));
    }
    PeerHub::bind(peer, Arc::new(router.clone())).context(PeerSnafu)
}

fn create_parts(
    settings: DaemonSettings,
    incarnation: IncarnationId,
    hub: PeerHub,
) -> Result<Arc<DaemonParts>, StartError> {
    let start = Instant::now();
    let clock = ProcessClock::starting_at(start);
    let seed = rand::rng().random();
    let instances = InstanceDirectory::open(
        settings.own_entry(),
        incarnation,
        &settings.peers,
        &settings.control,
    );
    let members =
        MemberDriver::spawn(start, incarnation, hub.clone(), Arc::clone(&instances), seed);
    let manifest = Arc::new(ManifestState::default());
    let control = spawn_control(&settings, start, seed, &hub, &instances, &manifest)?;
    let own_control = control.clone();
    let addresses: Arc<dyn AddressResolver> = instances.clone();
    let group = GroupClient::new(hub.clone(), addresses, own_control, &settings.control);
    let follower = FollowerSettings {
        instance: settings.instance.clone(),
        // Only for instances without control: a control instance has the manifest in its log.
        folder: settings.data_folder.clone().filter(|_| control.is_none()),
    };
    let followed = Arc::clone(&manifest);
    ManifestFollower::spawn(follower, hub.clone(), instances.clone(), instances.clone(), followed);
    let directory = ReplicaDirectory::open(clock, settings.centre.clone(), seed);
    let sender = ReportSender::new(hub.clone(), Arc::clone(&instances), &directory);
    let owner_settings = OwnerSettings {
        instance: settings.instance.clone(),
        relay: settings.own_entry().relay,
        order_life: settings.order_life,
    };
    let owners = OwnerTable::open(owner_settings, clock, sender.clone());
    let decisions: Arc<DecisionLog> = Arc::default();
    let director_settings = DirectorSettings {
        instance: settings.instance.clone(),
        incarnation,
        centre: settings.centre.clone(),
        lease: lease_settings(&settings),
        placement: PlacementSettings {
            min_residence: settings.min_residence,
            ..PlacementSettings::default()
        },
        start,
        seed,
    };
    let lease = LeaseDriver::spawn(director_settings.clone(), hub.clone(), instances.clone());
    let bridge = DirectorBridge {
        directory: Arc::clone(&directory),
        owners: Arc::clone(&owners),
        sender: Arc::clone(&sender),
        decisions: Arc::clone(&decisions),
    };
    let director = CentreDirector::spawn(
        director_settings,
        Arc::clone(&lease),
        Arc::new(bridge),
        manifest.subscribe(),
    );
    Ok(Arc::new(DaemonParts {
        settings,
        hub,
        instances,
        members,
        manifest,
        control,
        group,
        lease,
        director,
        reports: sender,
        directory,
        owners,
        demand: Arc::default(),
        decisions,
        metrics: Arc::new(RequestMetrics::default()),
        draining: AtomicBool::new(false),
        drain: DrainDeadline::default(),
        detached: TaskTracker::new(),
        manifest_since: Mutex::new((ManifestRevision::default(), Instant::now())),
    }))
}

fn spawn_control(
    settings: &DaemonSettings,
    start: Instant,
    seed: u64,
    hub: &PeerHub,
    instances: &Arc<InstanceDirectory>,
    manifest: &Arc<ManifestState>,
) -> Result<Option<ControlNode>, StartError> {
    let Some(folder) = settings.data_folder.clone().filter(|_| settings.is_control()) else {
        return Ok(None);
    };
    let control = ControlSettings {
        instance: settings.instance.clone(),
        voters: settings.control.clone(),
        folder,
        seed,
        start,
        may_bootstrap: true,
        is_first_folder: false,
        target_voters: None,
        replace_voter_after: Duration::MAX,
    };
    let addresses: Arc<dyn AddressResolver> = instances.clone();
    let node =
        ControlNode::spawn(control, hub.clone(), addresses, Arc::clone(manifest), Arc::default());
    node.context(ControlSnafu).map(Some)
}

fn lease_settings(settings: &DaemonSettings) -> LeaseSettings {
    LeaseSettings {
        term: settings.lease_term,
        longest_term: settings.lease_term,
        margin: settings.lease_term / MARGIN_DIVISOR,
        order_life: settings.order_life,
        ..LeaseSettings::default()
    }
}

async fn bind_relay(parts: &Arc<DaemonParts>) -> Result<HttpServer, StartError> {
    let key = relay_key(&parts.settings);
    let limits = limits_of(&parts.settings);
    let service =
        RelayService::new(Arc::clone(&parts.owners), key, limits.clone(), parts.drain.clone());
    HttpServer::bind(parts.settings.relay_listen, limits, move |request| {
        service.clone().answer(request)
    })
    .await
    .context(ListenSnafu)
}

async fn bind_callers(
    parts: &Arc<DaemonParts>,
    incarnation: IncarnationId,
) -> Result<HttpServer, StartError> {
    let source: Arc<dyn ManifestSource> = Arc::new(ManifestView(Arc::clone(&parts.manifest)));
    let store =
        GroupClaimStore { client: parts.group.clone(), instances: Arc::clone(&parts.instances) };
    let pipeline = RequestPipeline::new(PipelineContext {
        instance: parts.settings.instance.clone(),
        incarnation,
        source: Arc::clone(&source),
        directory: Arc::clone(&parts.directory),
        owners: Arc::clone(&parts.owners),
        relays: RelayClients::open(),
        key: relay_key(&parts.settings),
        demand: Arc::clone(&parts.demand),
        claims: Arc::new(store),
        decisions: Arc::clone(&parts.decisions),
        drain: parts.drain.clone(),
        detached: parts.detached.clone(),
    });
    let handler: Arc<dyn RequestHandler> = Arc::new(pipeline);
    let settings = CallerSettings {
        limits: limits_of(&parts.settings),
        open_requests: parts.settings.open_requests,
    };
    let limits = settings.limits.clone();
    let service = CallerService::new(settings, source, handler, Arc::clone(&parts.metrics));
    HttpServer::bind(parts.settings.listen, limits, move |request| service.clone().answer(request))
        .await
        .context(ListenSnafu)
}

fn relay_key(settings: &DaemonSettings) -> Option<RelayKey> {
    settings.secret.as_deref().map(RelayKey::derive)
}

fn limits_of(settings: &DaemonSettings) -> HttpLimits {
    HttpLimits { body_bytes: settings.max_body, ..HttpLimits::default() }
}

/// Starts the tasks that update the parts when the manifest or the live instances change.
fn spawn_loops(parts: &Arc<DaemonParts>) {
    DemandSender::spawn(Arc::clone(parts));
    if let Some(address) = parts.settings.instance_list {
        ListReader::spawn(Arc::clone(parts), address);
    }
    tokio::spawn(update_loop(Arc::clone(parts)));
    tokio::spawn(expire_loop(Arc::clone(parts)));
}

async fn update_loop(parts: Arc<DaemonParts>) {
    let mut manifests = parts.manifest.subscribe();
    let mut views = parts.members.subscribe();
    let mut applied_revision = None;
    let started = Instant::now();
    loop {
        let manifest = manifests.borrow_and_update().clone();
        views.mark_unchanged();
        parts.mark_dead_owners_unreachable();
        if let Some(manifest) = &manifest {
            if applied_revision.is_none() {
                let reports = Arc::clone(&parts.reports);
                tokio::spawn(async move { reports.fetch_reports().await });
            }
            if applied_revision != Some(manifest.revision) {
                applied_revision = Some(manifest.revision);
                *parts.manifest_since.lock() = (manifest.revision, Instant::now());
                parts.directory.apply_manifest(manifest);
                parts.lease.apply_manifest(manifest);
            }
            if !parts.is_draining() && parts.knows_neighbours(started.elapsed()) {
                parts.update_ownership(manifest);
            }
        }
        tokio::select! {
            changed = manifests.changed() => if changed.is_err() { return },
            changed = views.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(NEIGHBOUR_LIMIT), if started.elapsed() < NEIGHBOUR_LIMIT => {}
        }
    }
}

async fn expire_loop(parts: Arc<DaemonParts>) {
    let mut ticks = tokio::time::interval(EXPIRE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        parts.directory.expire_reports();
    }
}

/// Increases with each start of the process, provided that the machine's clock does.
fn new_incarnation() -> IncarnationId {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since.as_micros() as u64)
}
