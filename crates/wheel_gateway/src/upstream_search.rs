//! Finds the upstream for a request, and waits while its model is being loaded.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep_until};
use wheel_policy::{ModelResidency, UpstreamCandidate, choose_upstream};
use wheel_route::{DemandKey, EngineInfo, FleetView, RouteSpec};
use wheel_types::{MonotonicTime, UpstreamName};

use crate::IngressRequest;
use crate::proxy_context::ProxyContext;
use crate::request_log::RequestLog;
use crate::tried_upstreams::TriedUpstreams;
use crate::wait_guard::WaitGuard;

/// Bounds of the time for which a request waits until a load of its model is reported; half of its
/// objective within these bounds. The minimum covers two syncs and a placement round. Beyond the
/// maximum, a request that is refused in the end would have waited in vain.
const REPORT_WAIT: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(2_000)];
/// Age of the fleet view above which no load can be expected.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);
/// `Retry-After` of such a refusal: the partition may be over, and a retry may reach another
/// ingress instance.
const STALE_VIEW_RETRY: Duration = Duration::from_secs(1);
/// Minimum time for an answer; a request with less time left doesn't wait for a load.
pub(crate) const MIN_ANSWER_TIME: Duration = Duration::from_millis(300);
/// `Retry-After` of a refusal for lack of capacity.
pub(crate) const CAPACITY_RETRY: Duration = Duration::from_millis(400);

/// Why there is no upstream to send to.
#[derive(Debug)]
pub(crate) struct NoUpstream {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
    /// Time until the model should be available, if a load of it is reported.
    pub(crate) eta: Option<Duration>,
}

/// A search for an upstream, with its inputs.
pub(crate) struct UpstreamSearch<'a> {
    pub(crate) context: &'a ProxyContext,
    pub(crate) route: &'a RouteSpec,
    pub(crate) request: &'a IngressRequest,
    pub(crate) service: &'a Arc<str>,
    /// Upstreams that the request was sent to before.
    pub(crate) tried: &'a TriedUpstreams,
    pub(crate) deadline: Instant,
    pub(crate) log: &'a RequestLog,
}

impl NoUpstream {
    /// No upstream, and no load of the model is reported.
    pub(crate) fn new(reason: &'static str, retry_after: Duration) -> Self {
        Self { reason, retry_after, eta: None }
    }
}

impl UpstreamSearch<'_> {
    /// The best upstream. Waits for a load of the model if it can end in time.
    pub(crate) async fn find(&self) -> Result<EngineInfo, NoUpstream> {
        let wait = (self.route.objective / 2).clamp(REPORT_WAIT[0], REPORT_WAIT[1]);
        let report_deadline = Instant::now() + wait;
        let mut views = self.context.state.watch_view();
        let mut drain = self.context.drain.watch();
        let mut waiting = None;
        loop {
            views.mark_unchanged();
            drain.mark_unchanged();
            if self.has_no_time() {
                return Err(NoUpstream::new("draining", CAPACITY_RETRY));
            }
            let view = self.context.state.view();
            let ready = self.context.state.ready_indices(&view, self.service);
            if let Some(index) = self.choose(&view, &ready) {
                return Ok(view.engines[index].clone());
            }
            // A model can only be loaded if its service has an upstream.
            let Some(key) = self.demand_key().filter(|_| !ready.is_empty()) else {
                return Err(NoUpstream::new("no_upstream", CAPACITY_RETRY));
            };
            let wait_end = self.wait_end(&key, report_deadline)?;
            waiting.get_or_insert_with(|| {
                self.log_wait(wait_end);
                WaitGuard::begin(&self.context.state, key)
            });
            let retry_at = self.tried.next_end().unwrap_or(wait_end);
            tokio::select! {
                _ = views.changed() => {}
                _ = drain.changed() => {}
                () = sleep_until(retry_at), if retry_at < wait_end => {}
                () = sleep_until(wait_end) => {
                    return Err(NoUpstream::new("model_not_loaded", CAPACITY_RETRY));
                }
            }
        }
    }

    /// Whether the drain deadline passes before an answer can arrive. Any other ingress instance
    /// can still serve the request.
    fn has_no_time(&self) -> bool {
        let end = self.context.drain.end();
        end.is_some_and(|end| end < self.deadline && Instant::now() + MIN_ANSWER_TIME > end)
    }

    /// Logs the maximum wait and the age of the view on which it is based.
    fn log_wait(&self, wait_end: Instant) {
        let now = Instant::now();
        let wait = wait_end.saturating_duration_since(now).as_millis();
        let left = self.deadline.saturating_duration_since(now).as_millis();
        let age = self.context.state.view_age().as_millis();
        let inputs = format!("model_not_loaded, wait_ms {wait}, left_ms {left}, view_age_ms {age}");
        self.log.step("waits", &inputs);
    }

    /// When to stop waiting for a load; an error if a wait is pointless.
    fn wait_end(&self, key: &DemandKey, report_deadline: Instant) -> Result<Instant, NoUpstream> {
        let now = Instant::now();
        let view = self.context.state.view();
        let eta = view.loading.iter().find(|(model, _)| *model == key.model);
        let eta = eta.map(|(_, ms)| Duration::from_millis(*ms));
        let deadline = self.context.drain.bound(self.deadline);
        let is_draining = deadline < self.deadline;
        let left = deadline.saturating_duration_since(now);
        match eta {
            Some(eta) if eta + MIN_ANSWER_TIME <= left => {
                Ok(deadline.min(now + eta + REPORT_WAIT[0]))
            }
            Some(eta) => {
                let reason = if is_draining { "draining" } else { "load_too_late" };
                Err(NoUpstream { reason, retry_after: eta, eta: Some(eta) })
            }
            None if left <= MIN_ANSWER_TIME => Err(NoUpstream::new("no_time_left", CAPACITY_RETRY)),
            // Syncs don't reach the control plane, so it won't order a load for this request.
            None if self.context.state.view_age() > MAX_VIEW_AGE => {
                Err(NoUpstream::new("control_unheard", STALE_VIEW_RETRY))
            }
            None if now >= report_deadline => {
                Err(NoUpstream::new("load_not_begun", CAPACITY_RETRY))
            }
            None => Ok(report_deadline.min(deadline)),
        }
    }

    /// The index in `view.engines` of the best of the `ready` upstreams.
    fn choose(&self, view: &FleetView, ready: &[usize]) -> Option<usize> {
        let active = self.context.state.active_at(view, ready);
        let now = MonotonicTime::default() + self.context.start.elapsed();
        let outliers = self.context.outliers.lock();
        let mut reach = self.context.reach.lock();
        let candidate = |(index, active): (&usize, u32)| {
            let info = &view.engines[*index];
            UpstreamCandidate {
                slots: info.slots,
                active,
                is_local: info.centre == self.context.settings.centre,
                residency: self.residency(info),
                is_suspect: outliers.is_ejected(now, &UpstreamName::from(&*info.id.name)),
                is_unreachable: reach.is_avoided(now, &info.id, &info.centre),
                was_tried: self.tried.contains(&info.id),
                cached_share: 0.0,
            }
        };
        let candidates: Vec<UpstreamCandidate> = ready.iter().zip(active).map(candidate).collect();
        let index = ready[choose_upstream(&candidates, rand::rng().random())?];
        reach.begin_probe(now, &view.engines[index].centre);
        Some(index)
    }

    fn residency(&self, info: &EngineInfo) -> ModelResidency {
        match &self.request.generation {
            None => ModelResidency::Full,
            Some(request) if info.holds(&request.model, request.adapter.as_deref()) => {
                ModelResidency::Full
            }
            Some(request) if info.holds(&request.model, None) => ModelResidency::ModelOnly,
            Some(_) => ModelResidency::Absent,
        }
    }

    /// The model that the request needs; `None` for a request without a generation.
    pub(crate) fn demand_key(&self) -> Option<DemandKey> {
        let generation = self.request.generation.as_ref()?;
        Some(DemandKey {
            service: Arc::clone(self.service),
            model: Arc::clone(&generation.model),
            adapter: generation.adapter.clone(),
        })
    }
}
