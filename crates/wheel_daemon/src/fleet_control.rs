//! A control instance of a fleet with service discovery.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use snafu::ResultExt;
use spdlog::{error, info};
use tokio::sync::watch;
use wheel_agreement::RoleName;
use wheel_control::{
    AddressResolver, ControlNode, ControlSettings, DocumentState, GroupClient, ManifestState,
};
use wheel_ingress::{DrainDeadline, HttpLimits, HttpServer};
use wheel_peer::{PeerAddress, PeerHub};
use wheel_placement::{
    AuthorityTimes, ConfigDialect, ConfigService, DirectorContext, DocumentFetch, DocumentSource,
    FleetDirector, FleetRegistry, ListSettings, ListWatch, OrderAuthority, ParentSync,
    SyncSettings,
};
use wheel_route::{ConfigProof, ControlEndpoint, FleetConfig};
use wheel_seams::boot_now;
use wheel_types::InstanceName;

use crate::allowance_sync::spawn_control_allowances;
use crate::fleet_ingress::follow_seeds;
use crate::fleet_parts::{LIST_INTERVAL, bind_fleet_hub};
use crate::fleet_router::{FleetRouter, RouterParts};
use crate::operator_service::OperatorService;
use crate::running_daemon::{ControlSnafu, ListenSnafu};
use crate::{FleetDialects, FleetRole, FleetSettings, StartError};

/// Time between two syncs with the leader.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Documents kept beside the newest one. Instances that hold one of them are sent what differs.
const OLD_DOCUMENTS: usize = 16;
/// Milliseconds for which the leader may delay its reply to wait for a change while requests wait.
const HOLD_MS: u32 = 100;
/// Validity of a leader's confirmation: four times a confirmation, which takes two round trips.
const AUTHORITY_VALIDITY: Duration = Duration::from_millis(600);
/// Time for open operators' calls during a shutdown: the 2.5 s of a change and its answer.
const OPERATOR_TIME: Duration = Duration::from_millis(2_600);
/// Time for the last answers to reach operators: a write and a round trip on a busy machine.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time reserved at the end of the grace period for handing over the leadership.
const STOP_TIME: Duration = Duration::from_millis(700);

/// Resolves control instances, whose names are their addresses.
struct NamedAddresses;

impl AddressResolver for NamedAddresses {
    fn peer_address(&self, instance: &InstanceName) -> Option<PeerAddress> {
        let address: SocketAddr = instance.as_str().parse().ok()?;
        Some(PeerAddress::new(instance.clone(), address))
    }
}

/// A running control instance.
pub(crate) struct FleetControl {
    control: ControlNode,
    authority: Arc<OrderAuthority>,
    operators: HttpServer,
    drain: DrainDeadline,
    grace: Duration,
}

impl FleetControl {
    pub(crate) async fn spawn(
        settings: &FleetSettings,
        dialects: &FleetDialects,
    ) -> Result<Self, StartError> {
        let FleetRole::Control { operators, folder, may_bootstrap, voters } = &settings.role else {
            return Err(StartError::WrongRole);
        };
        let router = FleetRouter::default();
        let hub = bind_fleet_hub(settings, router.clone())?;
        let documents = Arc::new(DocumentState::keeping(OLD_DOCUMENTS));
        let seeds: Vec<InstanceName> = settings.seeds.borrow().iter().map(name_of).collect();
        let control_settings = ControlSettings {
            instance: name_of(&settings.peer),
            voters: seeds.clone(),
            folder: folder.clone(),
            seed: rand::rng().random(),
            start: Instant::now(),
            may_bootstrap: *may_bootstrap,
            is_first_folder: *may_bootstrap,
            target_voters: Some(*voters),
            replace_voter_after: settings.bounds.contact_timeout,
        };
        let addresses: Arc<dyn AddressResolver> = Arc::new(NamedAddresses);
        let manifest: Arc<ManifestState> = Arc::default();
        let control = ControlNode::spawn(
            control_settings,
            hub.clone(),
            Arc::clone(&addresses),
            manifest,
            Arc::clone(&documents),
        )
        .context(ControlSnafu)?;
        let group = GroupClient::new(hub.clone(), addresses, Some(control.clone()), &seeds);
        let list = ListSettings { address: settings.list_address, interval: LIST_INTERVAL };
        let list = ListWatch::spawn(list, Arc::clone(&dialects.fleet), || true, Vec::new);
        let proof: Arc<ConfigProof> = Arc::default();
        let registry = FleetRegistry::open(Arc::clone(&list), Arc::clone(&proof));
        registry.allowances().set_bounds(settings.bounds.allowances);
        let config = follow_documents(&documents, Arc::clone(&dialects.config));
        spawn_control_allowances(
            settings.peer.to_string().into(),
            control.clone(),
            hub.clone(),
            Arc::clone(&registry),
            config.clone(),
        );
        let own = ControlEndpoint { address: settings.peer, centre: Arc::clone(&settings.centre) };
        registry.add_control(own.clone());
        let times =
            AuthorityTimes { validity: AUTHORITY_VALIDITY, pause: settings.bounds.holder_pause };
        let authority = OrderAuthority::spawn(times, control.clone(), proof);
        FleetDirector::spawn(DirectorContext {
            holder: settings.label.to_string(),
            authority: Arc::clone(&authority),
            list,
            registry: Arc::clone(&registry),
            dialect: Arc::clone(&dialects.fleet),
            config,
            store_window: settings.bounds.store_window,
            store_burst: settings.bounds.store_burst,
            controls_load: settings.controls_load && settings.plans_by_time,
        });
        router.set_parts(RouterParts {
            own: own.clone(),
            control: control.clone(),
            documents: Arc::clone(&documents),
            source: DocumentSource::new(Arc::clone(&documents)),
            registry: Arc::clone(&registry),
        });
        let configs =
            ConfigService::new(group.clone(), Arc::clone(&documents), Arc::clone(&dialects.config));
        let configs = Arc::new(configs);
        spawn_leader_sync(settings, hub, &control, &group, (registry, documents), own);
        let drain = DrainDeadline::default();
        let service = OperatorService {
            configs,
            dialect: Arc::clone(&dialects.operator),
            limits: HttpLimits::default(),
            drain: drain.clone(),
        };
        let operators = bind_operators(*operators, service).await?;
        Ok(Self { control, authority, operators, drain, grace: settings.bounds.grace })
    }

    /// Answers open operators' calls, gives up the order authority and the leadership, and stops.
    pub(crate) async fn drain(self) {
        let left = self.grace.saturating_sub(STOP_TIME + ANSWER_TIME).min(OPERATOR_TIME);
        self.drain.begin(tokio::time::Instant::now() + left);
        let all_ended = self.operators.drain(left + ANSWER_TIME).await;
        info!("operators_drained", kv: { all_ended });
        self.authority.release();
        let control = self.control.clone();
        let _ = tokio::task::spawn_blocking(move || control.stop()).await;
    }
}

fn name_of(address: &SocketAddr) -> InstanceName {
    InstanceName::from(address.to_string().as_str())
}

/// Parses committed documents into configurations.
fn follow_documents(
    documents: &DocumentState,
    dialect: Arc<dyn ConfigDialect>,
) -> watch::Receiver<Option<Arc<FleetConfig>>> {
    let (sender, receiver) = watch::channel(None);
    let mut changes = documents.subscribe();
    tokio::spawn(async move {
        loop {
            let document = changes.borrow_and_update().clone();
            if let Some(document) = document {
                match dialect.read(&document.bytes) {
                    Ok(config) => drop(sender.send_replace(Some(Arc::new(config)))),
                    Err(fault) => error!("config_not_understood", kv: {
                        version = document.version, reason:? = fault.to_string()
                    }),
                }
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// Forwards what instances report here to the leader, and adopts the leader's view.
fn spawn_leader_sync(
    settings: &FleetSettings,
    hub: PeerHub,
    control: &ControlNode,
    group: &GroupClient,
    (registry, documents): (Arc<FleetRegistry>, Arc<DocumentState>),
    own: ControlEndpoint,
) {
    let sync_settings = SyncSettings {
        own: settings.peer,
        centre: Arc::clone(&settings.centre),
        interval: SYNC_INTERVAL,
    };
    let fetch = DocumentFetch::spawn(hub.clone(), Arc::clone(&documents));
    let sync = ParentSync::open(sync_settings, hub, Arc::clone(&fetch), Arc::default(), &[]);
    follow_seeds(settings, Arc::clone(&sync));
    let (control, group) = (control.clone(), group.clone());
    let instance: Arc<str> = settings.peer.to_string().into();
    let seeds = settings.seeds.clone();
    tokio::spawn(async move {
        let mut contacts = Vec::new();
        loop {
            if !registry.has_waiting() {
                tokio::select! {
                    () = tokio::time::sleep(SYNC_INTERVAL) => {}
                    () = registry.urgent_sync() => {}
                }
            }
            let known = known_control(&registry, &seeds);
            if known != contacts {
                group.set_control_instances(&known);
                control.set_contacts(known.clone());
                contacts = known;
            }
            let Some(status) = control.status().await else { return };
            registry.set_leading(status.role == RoleName::Leader);
            let leader = status.leader.filter(|leader| leader.instance != status.id.instance);
            let Some(leader) = leader.and_then(|leader| leader.instance.as_str().parse().ok())
            else {
                tokio::time::sleep(SYNC_INTERVAL).await;
                continue;
            };
            let mut request = registry.prepare_sync(Arc::clone(&instance), documents.version());
            request.control = Some(own.clone());
            request.hold_ms = if registry.has_waiting() { HOLD_MS } else { 0 };
            let called = boot_now();
            let Some(reply) = sync.call(leader, &request).await else {
                tokio::time::sleep(SYNC_INTERVAL).await;
                continue;
            };
            fetch.request(reply.version, leader);
            registry.take_leader_reply(called, reply, documents.version());
        }
    });
}

fn known_control(
    registry: &FleetRegistry,
    seeds: &watch::Receiver<Vec<SocketAddr>>,
) -> Vec<InstanceName> {
    let known = registry.control();
    let known = known.iter().map(|endpoint| name_of(&endpoint.address));
    let mut all: Vec<InstanceName> = seeds.borrow().iter().map(name_of).chain(known).collect();
    all.sort();
    all.dedup();
    all
}

async fn bind_operators(
    address: SocketAddr,
    service: OperatorService,
) -> Result<HttpServer, StartError> {
    let limits = service.limits.clone();
    let server = HttpServer::bind(address, limits, move |request| service.clone().answer(request));
    server.await.context(ListenSnafu)
}
