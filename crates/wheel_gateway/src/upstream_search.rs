//! Finds the upstream for a request, and waits while its model is being loaded.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use wheel_policy::{ModelResidency, UpstreamCandidate};
use wheel_route::{DemandKey, EngineId, EngineInfo, FleetView, RouteSpec};
use wheel_seams::boot_now;
use wheel_types::UpstreamName;

use crate::IngressRequest;
use crate::blocked_time::BlockedTime;
use crate::limit_wait::LimitWait;
use crate::load_wait::LoadWait;
use crate::no_upstream::NoUpstream;
use crate::proxy_context::ProxyContext;
use crate::request_log::RequestLog;
use crate::room_gate::{GateAnswer, RoomGate, able_engines, usual_slots};
use crate::room_wait::RoomWait;
use crate::tried_upstreams::TriedUpstreams;
use crate::wait_guard::WaitGuard;

/// Bounds of the time for which a request waits until a load of its model is reported; half of its
/// objective within these bounds. The minimum covers two syncs and a placement round. Beyond the
/// maximum, a request that is refused in the end would have waited in vain.
pub(crate) const REPORT_WAIT: [Duration; 2] =
    [Duration::from_millis(800), Duration::from_millis(2_000)];
/// Minimum time for an answer; a request with less time left doesn't wait for a load.
pub(crate) const MIN_ANSWER_TIME: Duration = Duration::from_millis(300);
/// `Retry-After` of a refusal for lack of capacity.
pub(crate) const CAPACITY_RETRY: Duration = Duration::from_millis(400);

/// `Retry-After` of a refusal because of a barred part: how long a part stays barred after the last
/// request with it, unless one that is under way ends well.
const BARRED_RETRY: Duration = Duration::from_secs(10);

/// A search for an upstream, with its inputs.
pub(crate) struct UpstreamSearch<'a> {
    pub(crate) context: &'a ProxyContext,
    pub(crate) route: &'a RouteSpec,
    pub(crate) request: &'a IngressRequest,
    /// The request's rank.
    pub(crate) rank: u8,
    /// The name of the caller's team.
    pub(crate) team: Option<&'a Arc<str>>,
    pub(crate) service: &'a Arc<str>,
    /// Upstreams that the request was sent to before.
    pub(crate) tried: &'a TriedUpstreams,
    pub(crate) deadline: Instant,
    /// Whether the caller has a part of the answer, and the search is for the rest.
    pub(crate) is_resumption: bool,
    pub(crate) log: &'a RequestLog,
}

impl UpstreamSearch<'_> {
    /// The best upstream. Waits for a load of the model if it can end in time.
    pub(crate) async fn find(&self) -> Result<EngineInfo, NoUpstream> {
        let wait = (self.route.objective / 2).clamp(REPORT_WAIT[0], REPORT_WAIT[1]);
        let mut report_deadline = Instant::now() + wait;
        let mut views = self.context.state.watch_view();
        let mut drain = self.context.drain.watch();
        let mut waiting = None;
        let mut logged = None;
        let mut limit_waiting = None;
        let mut was_reported = false;
        let mut gate = RoomGate::begin(self);
        loop {
            views.mark_unchanged();
            drain.mark_unchanged();
            if self.has_no_time() {
                return Err(NoUpstream::new("draining", CAPACITY_RETRY));
            }
            if let Some(part) = self.barred_part() {
                self.log.step("part_barred", &format!("{part:x}"));
                return Err(NoUpstream::new("part_barred", BARRED_RETRY));
            }
            let view = self.context.state.view();
            let ready = self.context.state.ready_indices(&view, self.service);
            // Read once, so that a rest can't end between the choice and the decision to wait.
            let rests = self.rests_of(&view, &ready);
            let limits = self.limit_waits(&view, &ready);
            let candidates = self.candidates(&view, &ready, &rests, &limits);
            let answer = self.check_gate(&mut gate, &view, &ready, &candidates);
            if let GateAnswer::Refuse(after) = answer {
                let reason = "no_room_in_time";
                return Err(NoUpstream { reason, retry_after: after, eta: Some(after) });
            }
            if let Some(index) = self.choose(&view, &ready, &candidates, &answer) {
                if self.take_permit(&view, index, &ready, &limits) {
                    return Ok(view.engines[index].clone());
                }
                continue;
            }
            let rest = self.shortest(&view, &ready, &rests);
            let limit = self.shortest(&view, &ready, &limits);
            if limit.is_some() {
                limit_waiting.get_or_insert_with(|| self.begin_limit_wait(&view, &ready, &limits));
            }
            let blocked = BlockedTime { rest, limit };
            // A model can only be loaded if its service has an upstream.
            let key = self.demand_key().filter(|_| !ready.is_empty());
            let load = key.as_ref().and_then(|key| shortest_load(&view, key));
            if std::mem::replace(&mut was_reported, load.is_some()) && load.is_none() {
                // Between two orders for a load, a view may show neither.
                report_deadline = report_deadline.max(Instant::now() + REPORT_WAIT[0]);
            }
            // Engines hold the model, and none has room.
            let is_full = !gate.is_open() && !able_engines(&view, &ready, &candidates).is_empty();
            let room_wait = RoomWait::new(self, &answer);
            let wait_end = match &key {
                None if blocked.shortest().is_none() => {
                    return Err(NoUpstream::new("no_upstream", CAPACITY_RETRY));
                }
                _ if is_full => room_wait.end()?,
                _ => LoadWait { search: self, load, blocked, report_deadline }.end()?,
            };
            if logged.replace(is_full) != Some(is_full) {
                match is_full {
                    true => room_wait.log(wait_end),
                    false => self.log_wait(wait_end, blocked),
                }
            }
            let key = key.filter(|_| !is_full || room_wait.exceeds_objective());
            if waiting.is_none() {
                waiting = key.map(|key| WaitGuard::begin(&self.context.state, key));
            }
            let block_end = blocked.shortest().map(|time| Instant::now() + time);
            let retry_at = self.tried.next_end().into_iter().chain(block_end).min();
            let retry_at = retry_at.unwrap_or(wait_end);
            tokio::select! {
                _ = views.changed() => {}
                _ = drain.changed() => {}
                () = gate.decided() => {}
                () = sleep_until(retry_at), if retry_at < wait_end => {}
                () = sleep_until(wait_end) => {
                    if is_full {
                        return Err(room_wait.refusal());
                    }
                    let retry_after = blocked.shortest().unwrap_or(CAPACITY_RETRY);
                    let reason = blocked.reason().unwrap_or("model_not_loaded");
                    return Err(NoUpstream::new(reason, retry_after));
                }
            }
        }
    }

    /// An upstream that can serve the request at once and that nothing speaks against, to replace
    /// one that may still answer.
    pub(crate) fn find_now(&self) -> Option<EngineInfo> {
        if self.has_no_time() || self.barred_part().is_some() {
            return None;
        }
        let view = self.context.state.view();
        let ready = self.context.state.ready_indices(&view, self.service);
        let rests = self.rests_of(&view, &ready);
        let limits = self.limit_waits(&view, &ready);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let is_late = |expected: Duration| expected > left;
        if self.context.settings.controls_load
            && self.expected_time(&view, &ready).is_some_and(is_late)
        {
            return None;
        }
        let candidates = self.candidates(&view, &ready, &rests, &limits);
        let index = self.choose(&view, &ready, &candidates, &GateAnswer::Open)?;
        let info = &view.engines[index];
        let active = self.context.state.active_at(&view, &[index]);
        let is_full = info.slots > 0 && active.first().is_some_and(|active| *active >= info.slots);
        let name = UpstreamName::from(&*info.id.name);
        let is_suspect = self.context.outliers.lock().is_ejected(self.context.now(), &name);
        let is_usable = !is_full && !is_suspect;
        (is_usable && self.take_permit(&view, index, &ready, &limits)).then(|| info.clone())
    }

    /// A part of the request's prompt with which requests aren't sent.
    fn barred_part(&self) -> Option<u64> {
        let parts = self.request.generation.as_ref()?.shared_parts();
        self.context.state.barred_part(parts)
    }

    /// Whether the drain deadline passes before an answer can arrive. Any other ingress instance
    /// can still serve the request.
    fn has_no_time(&self) -> bool {
        let end = self.context.drain.end();
        end.is_some_and(|end| end < self.deadline && Instant::now() + MIN_ANSWER_TIME > end)
    }

    /// Logs the maximum wait, what it waits for, and the age of the view on which it is based.
    fn log_wait(&self, wait_end: Instant, blocked: BlockedTime) {
        let now = Instant::now();
        let wait = wait_end.saturating_duration_since(now).as_millis();
        let left = self.deadline.saturating_duration_since(now).as_millis();
        let age = self.context.state.view_age().as_millis();
        let reason = blocked.reason().unwrap_or("model_not_loaded");
        let inputs = format!("{reason}, wait_ms {wait}, left_ms {left}, view_age_ms {age}");
        self.log.step("waits", &inputs);
    }

    /// The time until the first upstream that has all that the request needs may be called again, of
    /// those in `times`.
    fn shortest(
        &self,
        view: &FleetView,
        ready: &[usize],
        times: &[Option<Duration>],
    ) -> Option<Duration> {
        let usable =
            ready.iter().zip(times).filter(|(index, _)| self.is_usable(&view.engines[**index]));
        usable.filter_map(|(_, time)| *time).min()
    }

    /// Whether the upstream has all that the request needs and the request wasn't sent there yet.
    fn is_usable(&self, info: &EngineInfo) -> bool {
        self.residency(info) == ModelResidency::Full && !self.tried.contains(&info.id)
    }

    /// How long the limit of each of the `ready` upstreams keeps the request away.
    fn limit_waits(&self, view: &FleetView, ready: &[usize]) -> Vec<Option<Duration>> {
        let now = boot_now();
        let mut limits = self.context.state.limits();
        let wait = |index: &usize| limits.wait(now, &view.engines[*index].id, self.rank);
        ready.iter().map(wait).collect()
    }

    /// The usable upstreams whose limits keep the request away.
    fn limited<'v>(
        &self,
        view: &'v FleetView,
        ready: &[usize],
        limits: &[Option<Duration>],
    ) -> Vec<&'v EngineId> {
        let limited = ready.iter().zip(limits).filter(|(_, limit)| limit.is_some());
        let limited = limited.map(|(index, _)| &view.engines[*index]);
        limited.filter(|info| self.is_usable(info)).map(|info| &info.id).collect()
    }

    /// Uses a permit for the chosen upstream if it has a limit; false if another request has
    /// taken the last one. Upstreams that the request would have gone to as well are recorded.
    fn take_permit(
        &self,
        view: &FleetView,
        index: usize,
        ready: &[usize],
        limits: &[Option<Duration>],
    ) -> bool {
        let missed = self.limited(view, ready, limits);
        let mut share = self.context.state.limits();
        missed.into_iter().for_each(|engine| share.record_missed(engine));
        share.take(boot_now(), &view.engines[index].id, self.rank)
    }

    fn begin_limit_wait(
        &self,
        view: &FleetView,
        ready: &[usize],
        limits: &[Option<Duration>],
    ) -> LimitWait {
        let engines = self.limited(view, ready, limits).into_iter().cloned().collect();
        LimitWait::begin(&self.context.state, engines, self.rank)
    }

    /// When a request that upstreams refused may come back: once the first one that has all that it
    /// needs may be called, if none may be called now.
    pub(crate) fn retry_after(&self) -> Duration {
        let view = self.context.state.view();
        let mut ready = self.context.state.ready_indices(&view, self.service);
        ready.retain(|index| self.residency(&view.engines[*index]) == ModelResidency::Full);
        let rests = self.rests_of(&view, &ready).into_iter();
        let blocked = rests.zip(self.limit_waits(&view, &ready));
        let blocked: Option<Vec<Duration>> = blocked.map(|(rest, limit)| rest.max(limit)).collect();
        blocked.and_then(|blocked| blocked.into_iter().min()).unwrap_or(CAPACITY_RETRY)
    }

    /// What remains of the rest of each of the `ready` upstreams.
    fn rests_of(&self, view: &FleetView, ready: &[usize]) -> Vec<Option<Duration>> {
        let now = self.context.now();
        let rests = self.context.rests.lock();
        ready.iter().map(|index| rests.remaining(now, &view.engines[*index].id)).collect()
    }

    /// Asks for the request's turn.
    fn check_gate(
        &self,
        gate: &mut RoomGate,
        view: &FleetView,
        ready: &[usize],
        candidates: &[UpstreamCandidate],
    ) -> GateAnswer {
        if gate.is_open() {
            return GateAnswer::Open;
        }
        let load = self.demand_key().and_then(|key| shortest_load(view, &key));
        let load = load.map(|load| (load, usual_slots(view, ready)));
        gate.check(self, &able_engines(view, ready, candidates), load)
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

/// The time until the first of the loads of a model ends that are reported.
fn shortest_load(view: &FleetView, key: &DemandKey) -> Option<Duration> {
    let loads = view.loading.iter().filter(|(model, _)| *model == key.model);
    loads.map(|(_, ms)| Duration::from_millis(*ms)).min()
}
