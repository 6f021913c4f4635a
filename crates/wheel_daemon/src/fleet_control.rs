//! A control instance of a discovered fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use snafu::ResultExt;
use spdlog::{error, info};
use tokio::sync::watch;
use wheel_control::{
    AddressBook, ControlNode, ControlSettings, DocumentState, GroupClient, TextState,
};
use wheel_entry::{DrainDeadline, HttpLimits, HttpServer};
use wheel_peer::{PeerAddress, PeerHub};
use wheel_placement::{
    AuthorityTimes, ConfigDialect, ConfigService, DirectorContext, FleetDirector, FleetRegistry,
    ListSettings, ListWatch, OrderAuthority, ParentSync, SyncOutcome, SyncSettings,
};
use wheel_route::{ControlEndpoint, FleetConfig};
use wheel_types::InstanceName;

use crate::fleet_entry::follow_seeds;
use crate::fleet_parts::{LIST_INTERVAL, bind_fleet_hub};
use crate::fleet_router::{FleetRouter, RouterParts};
use crate::operator_service::OperatorService;
use crate::running_daemon::{ControlSnafu, ListenSnafu};
use crate::{FleetDialects, FleetRole, FleetSettings, StartError};

/// Time between two syncs with the leader.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Milliseconds that the leader may hold its reply for a change while requests wait.
const HOLD_MS: u32 = 100;
/// Age of a leader's own touch with the group, in milliseconds, above which it may be deposed.
const LEADER_AGE_MS: u64 = 600;
/// How long a confirmation of the leader carries: four confirmations, one of which takes two round trips.
const RIGHT_SPAN: Duration = Duration::from_millis(600);
/// Time for operators' calls in hand at the end: a change's 2.5 s and its answer.
const OPERATOR_TIME: Duration = Duration::from_millis(2_600);
/// Time in which the last answers reach operators: a write and a round trip on a busy machine.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time before the end of the grace that handing the leadership over takes.
const STOP_TIME: Duration = Duration::from_millis(700);

/// Names of control instances are their addresses.
struct NamedAddresses;

impl AddressBook for NamedAddresses {
    fn peer(&self, instance: &InstanceName) -> Option<PeerAddress> {
        let address: SocketAddr = instance.as_str().parse().ok()?;
        Some(PeerAddress::new(instance.clone(), address))
    }
}

/// A running control instance.
pub(crate) struct FleetControl {
    control: ControlNode,
    right: Arc<OrderAuthority>,
    operators: HttpServer,
    drain: DrainDeadline,
    grace: Duration,
}

impl FleetControl {
    pub(crate) async fn spawn(
        settings: &FleetSettings,
        dialects: &FleetDialects,
    ) -> Result<Self, StartError> {
        let FleetRole::Control { operators, folder, may_form, voters } = &settings.role else {
            return Err(StartError::WrongRole);
        };
        let router = FleetRouter::default();
        let hub = bind_fleet_hub(settings, router.clone())?;
        let documents: Arc<DocumentState> = Arc::default();
        let seeds: Vec<InstanceName> = settings.seeds.borrow().iter().map(name_of).collect();
        let control_settings = ControlSettings {
            instance: name_of(&settings.peer),
            voters: seeds.clone(),
            folder: folder.clone(),
            seed: rand::rng().random(),
            start: Instant::now(),
            may_form: *may_form,
            target_voters: Some(*voters),
            exchange_after: settings.bounds.contact,
        };
        let book: Arc<dyn AddressBook> = Arc::new(NamedAddresses);
        let text: Arc<TextState> = Arc::default();
        let control = ControlNode::spawn(
            control_settings,
            hub.clone(),
            Arc::clone(&book),
            text,
            Arc::clone(&documents),
        )
        .context(ControlSnafu)?;
        let group = GroupClient::new(hub.clone(), book, Some(control.clone()), &seeds);
        let list = ListSettings { address: settings.list, interval: LIST_INTERVAL };
        let list = ListWatch::spawn(list, Arc::clone(&dialects.fleet), || true);
        let board = FleetRegistry::open(Arc::clone(&list));
        let own = ControlEndpoint { address: settings.peer, centre: Arc::clone(&settings.centre) };
        board.add_control(own.clone());
        let times = AuthorityTimes { span: RIGHT_SPAN, pause: settings.bounds.holder_pause };
        let right = OrderAuthority::spawn(times, control.clone());
        FleetDirector::spawn(DirectorContext {
            holder: settings.label.to_string(),
            authority: Arc::clone(&right),
            list,
            registry: Arc::clone(&board),
            dialect: Arc::clone(&dialects.fleet),
            config: follow_documents(&documents, Arc::clone(&dialects.config)),
            store_window: settings.bounds.store_window,
            store_burst: settings.bounds.store_burst,
        });
        router.wire(RouterParts {
            own: own.clone(),
            control: control.clone(),
            documents: Arc::clone(&documents),
            board: Arc::clone(&board),
        });
        spawn_leader_sync(settings, hub, &control, &group, board, own);
        let desk = Arc::new(ConfigService::new(group, Arc::clone(&dialects.config)));
        let drain = DrainDeadline::default();
        let service = OperatorService {
            desk,
            dialect: Arc::clone(&dialects.operator),
            limits: HttpLimits::default(),
            drain: drain.clone(),
        };
        let operators = bind_operators(*operators, service).await?;
        Ok(Self { control, right, operators, drain, grace: settings.bounds.grace })
    }

    /// Answers operators' calls in hand, gives the right to order and leadership up, and ends.
    pub(crate) async fn drain(self) {
        let left = self.grace.saturating_sub(STOP_TIME + ANSWER_TIME).min(OPERATOR_TIME);
        self.drain.begin(tokio::time::Instant::now() + left);
        let all_ended = self.operators.drain(left + ANSWER_TIME).await;
        info!("operators_drained", kv: { all_ended });
        self.right.release();
        let control = self.control.clone();
        let _ = tokio::task::spawn_blocking(move || control.stop()).await;
    }
}

fn name_of(address: &SocketAddr) -> InstanceName {
    InstanceName::from(address.to_string().as_str())
}

/// Reads committed documents into configurations.
fn follow_documents(
    documents: &DocumentState,
    dialect: Arc<dyn ConfigDialect>,
) -> watch::Receiver<Option<Arc<FleetConfig>>> {
    let (sender, receiver) = watch::channel(None);
    let mut held = documents.subscribe();
    tokio::spawn(async move {
        loop {
            let document = held.borrow_and_update().clone();
            if let Some(document) = document {
                match dialect.read(&document.bytes) {
                    Ok(config) => drop(sender.send_replace(Some(Arc::new(config)))),
                    Err(fault) => error!("config_not_understood", kv: {
                        version = document.version, reason:? = fault.to_string()
                    }),
                }
            }
            if held.changed().await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// Tells the leader what the instances below tell, and takes its view over.
fn spawn_leader_sync(
    settings: &FleetSettings,
    hub: PeerHub,
    control: &ControlNode,
    group: &GroupClient,
    board: Arc<FleetRegistry>,
    own: ControlEndpoint,
) {
    let sync_settings = SyncSettings {
        own: settings.peer,
        centre: Arc::clone(&settings.centre),
        interval: SYNC_INTERVAL,
    };
    let sync = ParentSync::open(sync_settings, hub, &[]);
    follow_seeds(settings, Arc::clone(&sync));
    let (control, group) = (control.clone(), group.clone());
    let instance: Arc<str> = settings.peer.to_string().into();
    let seeds = settings.seeds.clone();
    tokio::spawn(async move {
        loop {
            if !board.has_waiting() {
                tokio::select! {
                    () = tokio::time::sleep(SYNC_INTERVAL) => {}
                    () = board.urgent_sync() => {}
                }
            }
            group.set_members(&known_control(&board, &seeds));
            let Some(status) = control.status().await else { return };
            let leader = status.leader.filter(|leader| leader.instance != status.id.instance);
            let Some(leader) = leader.and_then(|leader| leader.instance.as_str().parse().ok())
            else {
                tokio::time::sleep(SYNC_INTERVAL).await;
                continue;
            };
            let mut ask = board.prepare_sync(Arc::clone(&instance), 0);
            ask.version = u64::MAX;
            ask.control = Some(own.clone());
            ask.hold_ms = if board.has_waiting() { HOLD_MS } else { 0 };
            let SyncOutcome::Replied(reply) = sync.call(leader, &ask).await else {
                tokio::time::sleep(SYNC_INTERVAL).await;
                continue;
            };
            // A leader that was deposed without knowing it yet passes its own age on.
            if reply.group_age_ms < LEADER_AGE_MS {
                board.record_group_contact();
            }
            if let Some(view) = reply.fleet {
                board.set_leader_view(view, &reply.control);
            }
        }
    });
}

fn known_control(
    board: &FleetRegistry,
    seeds: &watch::Receiver<Vec<SocketAddr>>,
) -> Vec<InstanceName> {
    let known = board.control();
    let known = known.iter().map(|place| name_of(&place.address));
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
