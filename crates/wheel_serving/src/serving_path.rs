//! The entry's side of a request's way.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use metrics::histogram;
use parking_lot::Mutex;
use spdlog::info;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;
use wheel_ingress::{
    CallerAnswer, CallerRequest, DrainDeadline, ManifestSource, RefusalCode, RequestHandler,
    RequestRefusal, RequestTarget,
};
use wheel_policy::{RetryBudget, RouteAnswer, RouteQuery};
use wheel_types::{AdapterName, IncarnationId, InstanceName, ModelName, UpstreamName};

use crate::generate_run::GenerateRun;
use crate::plain_run::PlainRun;
use crate::relay_refusal::RelayRefusal;
use crate::{
    ClaimKeeper, DecisionLog, DemandBoard, OwnerRoute, OwnerTable, RelayCall, RelayClients,
    RelayKey, ReplicaDirectory,
};

/// The least time between two looks at the directory while nothing changes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the end of a drain in which each part of the path gives its own answer.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Share of a load's expected time that even the nearest checkpoint takes; a wait that is shorter
/// is hopeless.
const FASTEST_LOAD_SHARE: f64 = 0.02;

/// Everything that the entry's side works with.
pub struct ServingParts {
    /// This instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// The text in force.
    pub source: Arc<dyn ManifestSource>,
    /// Where models are loaded.
    pub directory: Arc<ReplicaDirectory>,
    /// Upstreams that this instance owns itself.
    pub owners: Arc<OwnerTable>,
    /// Connections to other owners.
    pub relays: Arc<RelayClients>,
    /// Signs what is relayed.
    pub key: Option<RelayKey>,
    /// Demand for the lease holder.
    pub demand: Arc<DemandBoard>,
    /// Claims of calls that must not run twice.
    pub claims: Arc<dyn ClaimKeeper>,
    /// Recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// When a draining instance must have answered.
    pub drain: DrainDeadline,
    /// What goes on without a caller: calls that must not be cut off, and claims that are settled.
    pub detached: TaskTracker,
}

/// Serves callers' requests to their one final answer.
#[derive(Clone)]
pub struct ServingPath {
    pub(crate) parts: Arc<ServingParts>,
    budget: Arc<Mutex<RetryBudget>>,
}

/// What a request looks for.
pub(crate) struct RouteWish {
    pub(crate) query: RouteQuery,
    pub(crate) request: CallerRequest,
    /// Whether a model may be loaded for it.
    pub(crate) may_load: bool,
}

impl ServingPath {
    /// Makes the path over `parts`.
    pub fn new(parts: ServingParts) -> Self {
        Self { parts: Arc::new(parts), budget: Arc::default() }
    }

    /// Finds the owner of a replica, waiting for a load if there is none.
    pub(crate) async fn locate(&self, wish: &mut RouteWish) -> Result<OwnerRoute, RequestRefusal> {
        let (mut waiting, mut judged) = (None, None);
        let started = Instant::now();
        let mut end = self.parts.drain.watch();
        loop {
            end.mark_unchanged();
            let deadline = self.parts.drain.bound(wish.request.deadline);
            let changed = self.parts.directory.changed();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            match self.parts.directory.choose(&wish.query) {
                RouteAnswer::Engine { upstream, reason, .. } => {
                    if let Some(route) = self.parts.directory.owner_of(&upstream) {
                        self.note(wish, format!("routed to {upstream}"), format!("{reason:?}"));
                        if waiting.is_some() {
                            let span = started.elapsed().as_secs_f64();
                            histogram!("wheel_cold_wait_seconds").record(span);
                        }
                        return Ok(route);
                    }
                }
                // A replica whose owner is gone needs an owner, not a load.
                RouteAnswer::Cold if self.parts.directory.waits_for_owner(&wish.query.model) => {}
                RouteAnswer::Cold if wish.may_load => {
                    // A drain that began meanwhile leaves less time.
                    if judged != Some(deadline) {
                        self.refuse_hopeless(wish, deadline)?;
                        judged = Some(deadline);
                    }
                    if waiting.is_none() {
                        waiting = Some(self.wait_for_load(wish));
                    }
                }
                RouteAnswer::Cold => {}
                // All failed once: the next round may try them again.
                RouteAnswer::Exhausted => wish.query.tried.clear(),
            }
            if Instant::now() >= deadline {
                return Err(self.refuse_late(wish));
            }
            let recheck = deadline.min(Instant::now() + RECHECK_INTERVAL);
            tokio::select! {
                _ = timeout_at(recheck, changed) => {}
                // The sender lives as long as the path.
                _ = end.changed() => {}
            }
        }
    }

    /// Whether a failed call may be tried again, and where not.
    pub(crate) fn may_retry(&self, wish: &mut RouteWish, failed: &UpstreamName) -> bool {
        wish.query.tried.push(failed.clone());
        let in_time = Instant::now() < self.parts.drain.bound(wish.request.deadline);
        in_time && self.budget.lock().try_retry(failed)
    }

    /// Takes note of an owner that can't be reached. True if the call can go on as if it hadn't
    /// been made: it never left, and waits for the next owner within its deadline.
    pub(crate) fn note_owner(&self, route: &OwnerRoute, refusal: &RelayRefusal) -> bool {
        if refusal.owner_gone {
            info!("owner_not_reached", kv: {
                owner = route.owner.as_str(),
                upstream = route.upstream.as_str()
            });
            self.parts.directory.note_owner_gone(&route.owner);
        }
        refusal.owner_gone
    }

    /// Counts a first request to an upstream.
    pub(crate) fn count_request(&self, upstream: &UpstreamName) {
        self.budget.lock().record_request(upstream);
    }

    pub(crate) fn note(&self, wish: &RouteWish, decision: String, reason: String) {
        let subject = wish.query.model.as_str();
        self.parts.decisions.record(Some(&wish.request.id), subject, decision, reason);
    }

    fn wait_for_load(&self, wish: &RouteWish) -> crate::DemandGuard {
        self.note(wish, "waits for a load".to_owned(), "no replica takes work".to_owned());
        let RouteQuery { model, adapter, rank, .. } = &wish.query;
        let due = wish.request.deadline.into_std();
        self.parts.demand.wait(model, adapter.as_ref(), *rank, due)
    }

    /// Refuses at once what can't be loaded by `deadline` even from the nearest checkpoint.
    fn refuse_hopeless(&self, wish: &RouteWish, deadline: Instant) -> Result<(), RequestRefusal> {
        let RouteQuery { model, adapter, rank, .. } = &wish.query;
        let load = self.load_time(model);
        let fastest = load.mul_f64(FASTEST_LOAD_SHARE);
        if Instant::now() + fastest <= deadline {
            return Ok(());
        }
        self.parts.demand.expect_return(model, adapter.as_ref(), *rank, load);
        let message = format!("model {model} can't be loaded by the deadline");
        self.note(wish, "refused".to_owned(), message.clone());
        Err(RequestRefusal::new(RefusalCode::Unavailable, message).with_retry_after(load))
    }

    fn refuse_late(&self, wish: &RouteWish) -> RequestRefusal {
        let RouteQuery { model, adapter, rank, .. } = &wish.query;
        let is_cut = Instant::now() < wish.request.deadline;
        let message = match wish.may_load {
            _ if is_cut => "this instance ends before an upstream is ready".to_owned(),
            true => format!("no replica of {model} was ready by the deadline"),
            false => format!("no upstream of {} was ready by the deadline", wish.request.service),
        };
        self.note(wish, "refused".to_owned(), message.clone());
        let wait = self.load_time(model);
        if wish.may_load {
            self.parts.demand.expect_return(model, adapter.as_ref(), *rank, wait);
        }
        let code = if is_cut { RefusalCode::Unavailable } else { RefusalCode::DeadlinePassed };
        RequestRefusal::new(code, message).with_retry_after(wait)
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        let text = self.parts.source.current();
        let spec = text.as_ref().and_then(|text| text.index.model(model.as_str()));
        Duration::from_millis(spec.map_or(MIN_RETRY_MS, |spec| spec.load_ms.max(MIN_RETRY_MS)))
    }

    /// What an owner is told of a plain call; a generation adds its model.
    pub(crate) fn relay_call(
        &self,
        request: &CallerRequest,
        route: &OwnerRoute,
        cost: Duration,
    ) -> RelayCall {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        RelayCall {
            request_id: request.id.clone(),
            upstream: route.upstream.clone(),
            caller: request.caller.clone(),
            weight: self.weight(request),
            rank: request.rank,
            model: None,
            adapter: None,
            stream: false,
            resume_from: 0,
            repeatable: false,
            age_ms: request.arrival.elapsed().as_millis() as u64,
            remaining_ms: remaining.as_millis() as u64,
            cost_ms: cost.as_millis() as u64,
        }
    }

    /// The caller's weight in the text in force.
    fn weight(&self, request: &CallerRequest) -> u32 {
        let text = self.parts.source.current();
        let spec = text.as_ref().and_then(|text| text.index.caller(request.caller.as_str()));
        spec.map_or(1, |spec| spec.weight)
    }

    pub(crate) fn wish(
        &self,
        request: CallerRequest,
        model: ModelName,
        adapter: Option<AdapterName>,
        prefix: Option<u64>,
        may_load: bool,
    ) -> RouteWish {
        let query = RouteQuery { model, adapter, rank: request.rank, prefix, tried: Vec::new() };
        RouteWish { query, request, may_load }
    }
}

/// The shortest time after which a caller is told to come back, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;

impl RequestHandler for ServingPath {
    fn serve(&self, request: CallerRequest) -> BoxFuture<'static, CallerAnswer> {
        let (path, drain) = (self.clone(), self.parts.drain.clone());
        async move {
            let serving = async {
                match &request.target {
                    RequestTarget::Generate(_) => GenerateRun::serve(path, request).await,
                    RequestTarget::Plain(_) => Box::pin(PlainRun::serve(path, request)).await,
                }
            };
            let ended = async {
                drain.passed().await;
                tokio::time::sleep(LAST_ANSWER_TIME).await;
            };
            let served = tokio::select! {
                biased;
                served = serving => served,
                () = ended => Err(RelayRefusal::drain_ended().into_refusal()),
            };
            served.unwrap_or_else(RequestRefusal::into_answer)
        }
        .boxed()
    }
}
