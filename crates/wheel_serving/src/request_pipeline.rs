//! The ingress side of serving a request.

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
use wheel_policy::{RetryBudget, RouteDecision, RouteQuery};
use wheel_types::{AdapterName, IncarnationId, InstanceName, ModelName, UpstreamName};

use crate::generate_run::GenerateRun;
use crate::plain_run::PlainRun;
use crate::relay_refusal::RelayRefusal;
use crate::{
    ClaimStore, DecisionLog, DemandTracker, OwnerRoute, OwnerTable, RelayCall, RelayClients,
    RelayKey, ReplicaDirectory,
};

/// Interval for checking the directory again while no change is signalled.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the end of a drain for the stages of the pipeline to give their own answers.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Share of a load's expected time that a load takes even from the nearest checkpoint; a request
/// with less time left is refused at once.
const FASTEST_LOAD_SHARE: f64 = 0.02;

/// The dependencies of [`RequestPipeline`].
pub struct PipelineContext {
    /// This instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Source of the active manifest.
    pub source: Arc<dyn ManifestSource>,
    /// Where models are loaded.
    pub directory: Arc<ReplicaDirectory>,
    /// Upstreams that this instance owns.
    pub owners: Arc<OwnerTable>,
    /// Connections to other owners.
    pub relays: Arc<RelayClients>,
    /// Signs relayed calls.
    pub key: Option<RelayKey>,
    /// Demand for the lease holder.
    pub demand: Arc<DemandTracker>,
    /// Claims of calls that must not run twice.
    pub claims: Arc<dyn ClaimStore>,
    /// Recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// By when a draining instance must have answered.
    pub drain: DrainDeadline,
    /// Tasks that continue without a caller: calls that must not be cut off, and settling of
    /// claims.
    pub detached: TaskTracker,
}

/// Serves each request to exactly one final answer.
#[derive(Clone)]
pub struct RequestPipeline {
    pub(crate) context: Arc<PipelineContext>,
    budget: Arc<Mutex<RetryBudget>>,
}

/// A request's search for a replica.
pub(crate) struct RouteSearch {
    pub(crate) query: RouteQuery,
    pub(crate) request: CallerRequest,
    /// Whether a model may be loaded for it.
    pub(crate) may_load: bool,
}

impl RequestPipeline {
    /// Creates the pipeline.
    pub fn new(context: PipelineContext) -> Self {
        Self { context: Arc::new(context), budget: Arc::default() }
    }

    /// Finds the owner of a replica, waiting for a load if there is no replica.
    pub(crate) async fn locate(
        &self,
        search: &mut RouteSearch,
    ) -> Result<OwnerRoute, RequestRefusal> {
        let (mut waiting, mut checked_deadline) = (None, None);
        let started = Instant::now();
        let mut drain_end = self.context.drain.watch();
        loop {
            drain_end.mark_unchanged();
            let deadline = self.context.drain.bound(search.request.deadline);
            let changed = self.context.directory.changed();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            match self.context.directory.choose(&search.query) {
                RouteDecision::Engine { upstream, reason, .. } => {
                    if let Some(route) = self.context.directory.owner_of(&upstream) {
                        self.record_decision(
                            search,
                            format!("routed to {upstream}"),
                            format!("{reason:?}"),
                        );
                        if waiting.is_some() {
                            let span = started.elapsed().as_secs_f64();
                            histogram!("wheel_cold_wait_seconds").record(span);
                        }
                        return Ok(route);
                    }
                }
                // A replica whose owner is unreachable needs another owner, not a load.
                RouteDecision::Cold
                    if self.context.directory.waits_for_owner(&search.query.model) => {}
                RouteDecision::Cold if search.may_load => {
                    // A drain that began in the meantime leaves less time.
                    if checked_deadline != Some(deadline) {
                        self.check_load_time(search, deadline)?;
                        checked_deadline = Some(deadline);
                    }
                    if waiting.is_none() {
                        waiting = Some(self.wait_for_load(search));
                    }
                }
                RouteDecision::Cold => {}
                // All have failed once; the next iteration may try them again.
                RouteDecision::Exhausted => search.query.tried.clear(),
            }
            if Instant::now() >= deadline {
                return Err(self.late_refusal(search));
            }
            let recheck = deadline.min(Instant::now() + RECHECK_INTERVAL);
            tokio::select! {
                _ = timeout_at(recheck, changed) => {}
                // The sender lives as long as the pipeline.
                _ = drain_end.changed() => {}
            }
        }
    }

    /// Whether a failed call may be retried; excludes the failed upstream from the search.
    pub(crate) fn may_retry(&self, search: &mut RouteSearch, failed: &UpstreamName) -> bool {
        search.query.tried.push(failed.clone());
        let in_time = Instant::now() < self.context.drain.bound(search.request.deadline);
        in_time && self.budget.lock().try_retry(failed)
    }

    /// Marks the owner as unreachable if the refusal says so. Returns true in that case: the call
    /// is treated as never sent, so it doesn't count as an attempt and waits for the next owner
    /// within its deadline.
    pub(crate) fn handle_unreachable_owner(
        &self,
        route: &OwnerRoute,
        refusal: &RelayRefusal,
    ) -> bool {
        if refusal.owner_gone {
            info!("owner_not_reached", kv: {
                owner = route.owner.as_str(),
                upstream = route.upstream.as_str()
            });
            self.context.directory.mark_owner_unreachable(&route.owner);
        }
        refusal.owner_gone
    }

    /// Counts a request's first attempt, for the retry budget.
    pub(crate) fn count_request(&self, upstream: &UpstreamName) {
        self.budget.lock().record_request(upstream);
    }

    pub(crate) fn record_decision(&self, search: &RouteSearch, decision: String, reason: String) {
        let subject = search.query.model.as_str();
        self.context.decisions.record(Some(&search.request.id), subject, decision, reason);
    }

    fn wait_for_load(&self, search: &RouteSearch) -> crate::DemandGuard {
        self.record_decision(
            search,
            "waits for a load".to_owned(),
            "no replica takes work".to_owned(),
        );
        let RouteQuery { model, adapter, rank, .. } = &search.query;
        let due = search.request.deadline.into_std();
        self.context.demand.count_waiting(model, adapter.as_ref(), *rank, due)
    }

    /// Refuses at once if the model can't be loaded by `deadline` even from the nearest checkpoint.
    fn check_load_time(
        &self,
        search: &RouteSearch,
        deadline: Instant,
    ) -> Result<(), RequestRefusal> {
        let RouteQuery { model, adapter, rank, .. } = &search.query;
        let load = self.load_time(model);
        let fastest = load.mul_f64(FASTEST_LOAD_SHARE);
        if Instant::now() + fastest <= deadline {
            return Ok(());
        }
        self.context.demand.expect_return(model, adapter.as_ref(), *rank, load);
        let message = format!("model {model} can't be loaded by the deadline");
        self.record_decision(search, "refused".to_owned(), message.clone());
        Err(RequestRefusal::new(RefusalCode::Unavailable, message).with_retry_after(load))
    }

    fn late_refusal(&self, search: &RouteSearch) -> RequestRefusal {
        let RouteQuery { model, adapter, rank, .. } = &search.query;
        let is_drained = Instant::now() < search.request.deadline;
        let message = match search.may_load {
            _ if is_drained => "this instance ends before an upstream is ready".to_owned(),
            true => format!("no replica of {model} was ready by the deadline"),
            false => format!("no upstream of {} was ready by the deadline", search.request.service),
        };
        self.record_decision(search, "refused".to_owned(), message.clone());
        let wait = self.load_time(model);
        if search.may_load {
            self.context.demand.expect_return(model, adapter.as_ref(), *rank, wait);
        }
        let code = if is_drained { RefusalCode::Unavailable } else { RefusalCode::DeadlinePassed };
        RequestRefusal::new(code, message).with_retry_after(wait)
    }

    fn load_time(&self, model: &ModelName) -> Duration {
        let manifest = self.context.source.current();
        let spec = manifest.as_ref().and_then(|manifest| manifest.index.model(model.as_str()));
        Duration::from_millis(spec.map_or(MIN_RETRY_MS, |spec| spec.load_ms.max(MIN_RETRY_MS)))
    }

    /// The relay metadata of a plain call; a generation adds its model.
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

    /// The caller's weight in the active manifest.
    fn weight(&self, request: &CallerRequest) -> u32 {
        let manifest = self.context.source.current();
        let spec =
            manifest.as_ref().and_then(|manifest| manifest.index.caller(request.caller.as_str()));
        spec.map_or(1, |spec| spec.weight)
    }

    pub(crate) fn new_search(
        &self,
        request: CallerRequest,
        model: ModelName,
        adapter: Option<AdapterName>,
        prefix: Option<u64>,
        may_load: bool,
    ) -> RouteSearch {
        let query = RouteQuery { model, adapter, rank: request.rank, prefix, tried: Vec::new() };
        RouteSearch { query, request, may_load }
    }
}

/// The shortest `Retry-After` of a refusal that waits for a load, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;

impl RequestHandler for RequestPipeline {
    fn serve(&self, request: CallerRequest) -> BoxFuture<'static, CallerAnswer> {
        let (pipeline, drain) = (self.clone(), self.context.drain.clone());
        async move {
            let serving = async {
                match &request.target {
                    RequestTarget::Generate(_) => GenerateRun::serve(pipeline, request).await,
                    RequestTarget::Plain(_) => Box::pin(PlainRun::serve(pipeline, request)).await,
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
