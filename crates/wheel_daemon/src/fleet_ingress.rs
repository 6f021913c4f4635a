//! An ingress instance of a fleet with service discovery.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use snafu::ResultExt;
use spdlog::{error, info};
use tokio::time::Instant;
use wheel_control::DocumentState;
use wheel_gateway::{FleetState, ProxySettings, RequestProxy};
use wheel_ingress::{AnswerBody, DrainDeadline, HttpLimits, HttpServer, full_body};
use wheel_peer::PeerHub;
use wheel_placement::{
    ConfigDialect, DocumentFetch, ListSettings, ListWatch, ParentSync, SyncSettings,
};
use wheel_policy::SharedBudgetSettings;
use wheel_route::{EngineInfo, FleetView, SyncReply};
use wheel_seams::is_planted;

use crate::allowance_sync::spawn_ingress_allowances;
use crate::fleet_parts::{LIST_INTERVAL, bind_fleet_hub};
use crate::fleet_router::FleetRouter;
use crate::running_daemon::ListenSnafu;
use crate::{FleetDialects, FleetRole, FleetSettings, OperatorCall, StartError};

/// Time between two syncs with a control instance, within which changes of the models on engines
/// become known.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Age of the fleet's view above which an ingress instance reads the list itself.
const LIST_FALLBACK_AGE: Duration = Duration::from_millis(1_500);
/// Time between the signal and the end of accepting, in which the load balancer notices: two
/// readiness checks, one per second, and the connections that were being opened.
const NOTICE_TIME: Duration = Duration::from_millis(3_200);
/// Time between the signal and the last request that is accepted while connections still are: the
/// platform lets a process cut what was sent within 3 s of the signal, less the time until a signal
/// is handled. Later requests are refused, so that their callers go elsewhere.
const ACCEPT_TIME: Duration = Duration::from_millis(2_950);
/// Time before the end of the grace period by which all accepted requests are answered. It is for
/// writing the last answers and for the process to exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time for the request path to answer after the deadline before the server answers instead.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Part of the deployment's retries that all ingress instances use together. Each counts the
/// requests that it has read, and the upstreams count what arrives.
const RETRY_SHARE: f64 = 0.7;
/// Share of the time within which a withdrawn key must not be accepted any more, up to which keys
/// are accepted without a new proof. The rest is for clocks that differ in speed.
const KEY_PROOF_SHARE: f64 = 0.95;
/// Buffer for bytes that are read beyond headers of the largest size.
const HEADER_MARGIN_BYTES: usize = 8 << 10;

/// A running ingress instance.
pub(crate) struct FleetIngress {
    callers: HttpServer,
    is_draining: Arc<AtomicBool>,
    drain: DrainDeadline,
    grace: Duration,
}

impl FleetIngress {
    pub(crate) async fn spawn(
        settings: &FleetSettings,
        dialects: &FleetDialects,
    ) -> Result<Self, StartError> {
        let FleetRole::Entry { callers, readiness } = settings.role else {
            return Err(StartError::WrongRole);
        };
        let state: Arc<FleetState> = Arc::default();
        state.allowance_table().set_bounds(settings.bounds.allowances);
        let hub = bind_fleet_hub(settings, FleetRouter::default())?;
        spawn_sync(settings, dialects, &state, hub);
        spawn_list_fallback(settings, dialects, &state);
        let max_key_proof_age =
            settings.bounds.key_withdrawal.map(|limit| limit.mul_f64(KEY_PROOF_SHARE));
        let proxy_settings = ProxySettings {
            centre: Arc::clone(&settings.centre),
            retries: SharedBudgetSettings {
                share: settings.bounds.retry_share * RETRY_SHARE,
                extra: settings.bounds.extra_retries * RETRY_SHARE,
                window: settings.bounds.retry_window,
            },
            max_key_proof_age,
            controls_load: settings.controls_load,
            waits_for_room: settings.controls_load && settings.waits_for_room,
        };
        let drain = DrainDeadline::default();
        let proxy = RequestProxy::new(
            proxy_settings,
            Arc::clone(&state),
            Arc::clone(&dialects.ingress),
            Arc::clone(&dialects.upstream),
            drain.clone(),
        );
        spawn_pruning(&state, proxy.clone());
        let limits = HttpLimits::default();
        let callers =
            HttpServer::bind(callers, limits.clone(), move |request| proxy.clone().answer(request))
                .await
                .context(ListenSnafu)?;
        follow_limits(&state, callers.clone());
        let is_draining: Arc<AtomicBool> = Arc::default();
        let (draining, operator) = (Arc::clone(&is_draining), Arc::clone(&dialects.operator));
        HttpServer::bind(readiness, limits, move |request: Request<Incoming>| {
            let (head, _) = request.into_parts();
            let is_ready = !draining.load(Ordering::Acquire)
                && can_serve(&state)
                && state.can_serve_keys(max_key_proof_age);
            let status = match operator.read(&head) {
                OperatorCall::Readiness if is_ready => StatusCode::OK,
                OperatorCall::Readiness => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NOT_FOUND,
            };
            std::future::ready(status_answer(status))
        })
        .await
        .context(ListenSnafu)?;
        Ok(Self { callers, is_draining, drain, grace: settings.bounds.grace })
    }

    /// Reports unreadiness, still serves new requests for a while, and ends once all are answered.
    pub(crate) async fn drain(self) {
        let grace = match is_planted("drain_without_deadline") {
            true => Duration::from_secs(3_600),
            false => self.grace,
        };
        let end = Instant::now() + grace.saturating_sub(EXIT_MARGIN);
        self.is_draining.store(!is_planted("drain_stays_ready"), Ordering::Release);
        self.drain.begin(end);
        self.drain.refuse_after(Instant::now() + ACCEPT_TIME);
        self.callers.close_after_answers();
        tokio::time::sleep(NOTICE_TIME.min(self.grace / 2)).await;
        let left = match is_planted("drain_cut_short") {
            true => ANSWER_TIME,
            false => end.saturating_duration_since(Instant::now()) + ANSWER_TIME,
        };
        let connections = self.callers.open_connections();
        let all_ended = self.callers.drain(left).await;
        info!("drain_ended", kv: {
            all_ended, connections, left = self.callers.open_connections()
        });
    }
}

/// Applies the limits of the configuration in force to callers' connections. A connection may wait
/// for its next request for the idle time, so the limit on a request's headers is at least that
/// long.
fn follow_limits(state: &Arc<FleetState>, callers: HttpServer) {
    let mut configs = state.watch_config();
    tokio::spawn(async move {
        while configs.changed().await.is_ok() {
            let Some(active) = configs.borrow_and_update().clone() else { continue };
            let configured = active.config.limits;
            callers.set_limits(HttpLimits {
                header_timeout: configured.idle_time.max(configured.header_time),
                header_bytes: configured.header_bytes + HEADER_MARGIN_BYTES,
                body_bytes: configured.body_bytes,
                ..HttpLimits::default()
            });
        }
    });
}

/// Whether requests can be served: a configuration and engines are known.
fn can_serve(state: &FleetState) -> bool {
    state.config().is_some() && !state.view().engines.is_empty()
}

pub(crate) fn status_answer(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(format!("{status}\n")));
    *response.status_mut() = status;
    response
}

fn spawn_sync(
    settings: &FleetSettings,
    dialects: &FleetDialects,
    state: &Arc<FleetState>,
    hub: PeerHub,
) {
    let sync_settings = SyncSettings {
        own: settings.peer,
        centre: Arc::clone(&settings.centre),
        interval: SYNC_INTERVAL,
    };
    let seeds = settings.seeds.borrow().clone();
    let documents: Arc<DocumentState> = Arc::default();
    follow_documents(&documents, Arc::clone(&dialects.config), Arc::clone(state));
    let fetch = DocumentFetch::spawn(hub.clone(), documents);
    let proof = Arc::clone(state.proof());
    let sync = ParentSync::open(sync_settings, hub.clone(), fetch, proof, &seeds);
    follow_seeds(settings, Arc::clone(&sync));
    let instance: Arc<str> = settings.peer.to_string().into();
    spawn_ingress_allowances(Arc::clone(&instance), Arc::clone(&sync), hub, Arc::clone(state));
    let (request_state, reply_state, urgent_state) =
        (Arc::clone(state), Arc::clone(state), Arc::clone(state));
    let prepare = move || request_state.prepare_sync(Arc::clone(&instance));
    let take = move |reply: &SyncReply| {
        reply_state.apply_reply(reply);
        reply_state.version()
    };
    let urgent = move || {
        let state = Arc::clone(&urgent_state);
        async move { state.urgent().await }
    };
    tokio::spawn(sync.run(prepare, take, urgent));
}

/// Puts each document in force that is fetched.
fn follow_documents(
    documents: &DocumentState,
    dialect: Arc<dyn ConfigDialect>,
    state: Arc<FleetState>,
) {
    let mut changes = documents.subscribe();
    tokio::spawn(async move {
        while changes.changed().await.is_ok() {
            let Some(document) = changes.borrow_and_update().clone() else { continue };
            let version = document.version;
            match dialect.read(&document.bytes).map(|config| state.adopt(config)) {
                Ok(is_adopted) if is_adopted => info!("config_in_force", kv: { version }),
                Ok(_) => {}
                Err(fault) => error!("config_not_understood", kv: {
                    version, reason:? = fault.to_string()
                }),
            }
        }
    });
}

/// Adds seeds when the settings change.
pub(crate) fn follow_seeds(settings: &FleetSettings, sync: Arc<ParentSync>) {
    let mut seeds = settings.seeds.clone();
    tokio::spawn(async move {
        while seeds.changed().await.is_ok() {
            let named = seeds.borrow_and_update().clone();
            info!("seeds_changed", kv: { seeds = named.len() });
            sync.add_seeds(&named);
        }
    });
}

/// Reads the list directly while no control instance provides a recent view of the fleet.
fn spawn_list_fallback(
    settings: &FleetSettings,
    dialects: &FleetDialects,
    state: &Arc<FleetState>,
) {
    let list = ListSettings { address: settings.list_address, interval: LIST_INTERVAL };
    let (request_state, known_state) = (Arc::clone(state), Arc::clone(state));
    let is_needed =
        move || request_state.config().is_some() && request_state.view_age() > LIST_FALLBACK_AGE;
    let known = move || known_state.view().engines.clone();
    let watch = ListWatch::spawn(list, Arc::clone(&dialects.fleet), is_needed, known);
    let state = Arc::clone(state);
    tokio::spawn(async move {
        loop {
            watch.changed().await;
            if let Some((listed, _)) = watch.current()
                && state.view_age() > LIST_FALLBACK_AGE
            {
                state.set_view(merge_list(&state.view(), &listed));
            }
        }
    });
}

/// The upstreams of the list, with the models that were known of them.
fn merge_list(known: &FleetView, listed: &[EngineInfo]) -> FleetView {
    let merge = |info: &EngineInfo| match known.engines.iter().find(|engine| engine.id == info.id) {
        Some(engine) => EngineInfo { models: engine.models.clone(), ..info.clone() },
        None => info.clone(),
    };
    let engines = listed.iter().map(merge).collect();
    let (loading, speeds) = (Vec::new(), Vec::new());
    FleetView { age_ms: 0, engines, loading, speeds, ..known.clone() }
}

fn spawn_pruning(state: &Arc<FleetState>, proxy: RequestProxy) {
    let mut views = state.watch_view();
    tokio::spawn(async move {
        while views.changed().await.is_ok() {
            proxy.prune_departed();
        }
    });
}
