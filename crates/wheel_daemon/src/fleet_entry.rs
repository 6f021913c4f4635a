//! An entry of a discovered fleet.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use snafu::ResultExt;
use spdlog::{error, info};
use tokio::time::Instant;
use wheel_entry::{AnswerBody, DrainDeadline, HttpLimits, HttpServer, full_body};
use wheel_gateway::{FleetState, ProxySettings, RequestProxy};
use wheel_peer::PeerHub;
use wheel_placement::{ListSettings, ListWatch, ParentSync, SyncOutcome, SyncSettings};
use wheel_route::{EngineInfo, FleetView};
use wheel_seams::is_planted;

use crate::fleet_parts::{LIST_INTERVAL, bind_fleet_hub};
use crate::fleet_router::FleetRouter;
use crate::running_daemon::ListenSnafu;
use crate::{FleetDialects, FleetRole, FleetSettings, OperatorCall, StartError};

/// Time between two syncs with a control instance: a change of what engines hold is known within it.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Age of the fleet's view from which an entry reads the list by itself.
const OWN_LIST_AGE: Duration = Duration::from_millis(1_500);
/// Time between the signal and the end of accepting, in which the balancer notices: two questions, one a
/// second, and the connections that were on their way.
const NOTICE_TIME: Duration = Duration::from_millis(3_200);
/// Time before the end of the grace by which all that was taken in has an answer: the last answers are written
/// in it, and the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time for the way of a request to answer before the server does it in its place.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Share of the deployment's retries that the entries use together: each counts by itself, and the
/// windows of the rule aren't aligned with theirs.
const RETRY_SHARE: f64 = 0.7;
/// Room for what is read beyond a head of the largest size.
const HEAD_ROOM_BYTES: usize = 8 << 10;
/// Entries that are assumed for the shared reserve.
const ASSUMED_ENTRIES: f64 = 10.0;

/// A running entry.
pub(crate) struct FleetEntry {
    callers: HttpServer,
    is_draining: Arc<AtomicBool>,
    drain: DrainDeadline,
    grace: Duration,
}

impl FleetEntry {
    pub(crate) async fn spawn(
        settings: &FleetSettings,
        dialects: &FleetDialects,
    ) -> Result<Self, StartError> {
        let FleetRole::Entry { callers, readiness } = settings.role else {
            return Err(StartError::WrongRole);
        };
        let state: Arc<FleetState> = Arc::default();
        let hub = bind_fleet_hub(settings, FleetRouter::default())?;
        spawn_sync(settings, dialects, &state, hub);
        spawn_own_list(settings, dialects, &state);
        let path_settings = ProxySettings {
            centre: Arc::clone(&settings.centre),
            retry_share: settings.bounds.retry_share * RETRY_SHARE,
            retry_reserve: (settings.bounds.retry_extra * RETRY_SHARE / ASSUMED_ENTRIES).max(2.0),
        };
        let drain = DrainDeadline::default();
        let path = RequestProxy::new(
            path_settings,
            Arc::clone(&state),
            Arc::clone(&dialects.ingress),
            Arc::clone(&dialects.upstream),
            drain.clone(),
        );
        spawn_pruning(&state, path.clone());
        let limits = HttpLimits::default();
        let callers =
            HttpServer::bind(callers, limits.clone(), move |request| path.clone().answer(request))
                .await
                .context(ListenSnafu)?;
        follow_limits(&state, callers.clone());
        let is_draining: Arc<AtomicBool> = Arc::default();
        let (draining, operator) = (Arc::clone(&is_draining), Arc::clone(&dialects.operator));
        HttpServer::bind(readiness, limits, move |request: Request<Incoming>| {
            let (head, _) = request.into_parts();
            let is_ready = !draining.load(Ordering::Acquire) && is_able(&state);
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

    /// Says that no callers should come, serves those that come all the same, and ends once all have an answer.
    pub(crate) async fn drain(self) {
        let end = Instant::now() + self.grace.saturating_sub(EXIT_MARGIN);
        self.is_draining.store(!is_planted("drain_stays_ready"), Ordering::Release);
        self.drain.begin(end);
        self.callers.close_after_answers();
        tokio::time::sleep(NOTICE_TIME.min(self.grace / 2)).await;
        let left = end.saturating_duration_since(Instant::now()) + ANSWER_TIME;
        let connections = self.callers.open_connections();
        let all_ended = self.callers.drain(left).await;
        info!("drain_ended", kv: {
            all_ended, connections, left = self.callers.open_connections()
        });
    }
}

/// Bounds callers' connections as the configuration in force says. A connection that waits for its next
/// request may do so for the idle time, which bounds a request's head as well.
fn follow_limits(state: &Arc<FleetState>, callers: HttpServer) {
    let mut configs = state.watch_config();
    tokio::spawn(async move {
        while configs.changed().await.is_ok() {
            let Some(active) = configs.borrow_and_update().clone() else { continue };
            let ingress = active.config.limits;
            callers.set_limits(HttpLimits {
                header_timeout: ingress.idle_time.max(ingress.header_time),
                header_bytes: ingress.header_bytes + HEAD_ROOM_BYTES,
                body_bytes: ingress.body_bytes,
                ..HttpLimits::default()
            });
        }
    });
}

/// Whether requests can be served: there is a configuration and a fleet.
fn is_able(state: &FleetState) -> bool {
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
    let sync = ParentSync::open(sync_settings, hub, &seeds);
    follow_seeds(settings, Arc::clone(&sync));
    let instance: Arc<str> = settings.peer.to_string().into();
    let (asking, taking, waking) = (Arc::clone(state), Arc::clone(state), Arc::clone(state));
    let config = Arc::clone(&dialects.config);
    let prepare = move || asking.prepare_sync(Arc::clone(&instance));
    let take = move |end: SyncOutcome| {
        let SyncOutcome::Replied(reply) = end else { return };
        if let Some((version, bytes)) = &reply.document {
            let version = *version;
            match config.read(bytes) {
                Ok(read) => {
                    if taking.adopt(read) {
                        info!("config_in_force", kv: { version });
                    }
                }
                Err(fault) => error!("config_not_understood", kv: {
                    version, reason:? = fault.to_string()
                }),
            }
        }
        taking.take_reply(&reply);
    };
    let urgent = move || {
        let state = Arc::clone(&waking);
        async move { state.urgent().await }
    };
    tokio::spawn(sync.run(prepare, take, urgent));
}

/// Adds seeds as the settings change.
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

/// Reads the list here while no control instance tells about the fleet.
fn spawn_own_list(settings: &FleetSettings, dialects: &FleetDialects, state: &Arc<FleetState>) {
    let list = ListSettings { address: settings.list, interval: LIST_INTERVAL };
    let asking = Arc::clone(state);
    let watch = ListWatch::spawn(list, Arc::clone(&dialects.fleet), move || {
        asking.config().is_some() && asking.view_age() > OWN_LIST_AGE
    });
    let state = Arc::clone(state);
    tokio::spawn(async move {
        loop {
            watch.changed().await;
            if let Some((cards, _)) = watch.current()
                && state.view_age() > OWN_LIST_AGE
            {
                state.set_view(merge_list(&state.view(), &cards));
            }
        }
    });
}

/// The list's upstreams with what was known of them.
fn merge_list(known: &FleetView, cards: &[EngineInfo]) -> FleetView {
    let merge = |card: &EngineInfo| match known.engines.iter().find(|held| held.id == card.id) {
        Some(held) => EngineInfo { models: held.models.clone(), ..card.clone() },
        None => card.clone(),
    };
    let engines = cards.iter().map(merge).collect();
    FleetView { age_ms: 0, engines, loading: Vec::new(), ..known.clone() }
}

fn spawn_pruning(state: &Arc<FleetState>, path: RequestProxy) {
    let mut views = state.watch_view();
    tokio::spawn(async move {
        while views.changed().await.is_ok() {
            path.prune_departed();
        }
    });
}
