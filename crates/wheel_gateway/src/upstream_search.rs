//! Finds the upstream that a request is sent to, and waits for it while it is being loaded.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep_until};
use wheel_policy::{ModelResidency, UpstreamCandidate, choose_upstream};
use wheel_route::{DemandKey, EngineCard, FleetView, RouteSpec};
use wheel_types::{MonotonicTime, UpstreamName};

use crate::IngressRequest;
use crate::path_parts::PathParts;
use crate::request_log::RequestLog;
use crate::tried_upstreams::TriedUpstreams;
use crate::wait_guard::WaitGuard;

/// How long a request waits to hear that what it lacks is being loaded: half of its objective, in these
/// bounds. Two syncs and a round of placement are the least; what is refused later was held for nothing.
const NOTICE_TIME: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(2_000)];
/// Age of the fleet's view from which no load can be expected.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);
/// When to come back then: a cut may be over, and a retry may reach another entry.
const UNHEARD_RETRY: Duration = Duration::from_secs(1);
/// Time that an answer needs at least; with less left a request isn't worth a wait for a load.
pub(crate) const MIN_ANSWER_TIME: Duration = Duration::from_millis(300);
/// When to come back after a refusal for want of room.
pub(crate) const ROOM_RETRY: Duration = Duration::from_millis(400);

/// Why there is no upstream to send to.
#[derive(Debug)]
pub(crate) struct NoUpstream {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
    /// When the model should be there, as far as told.
    pub(crate) eta: Option<Duration>,
}

/// One look for an upstream, with all that decides it.
pub(crate) struct UpstreamSearch<'a> {
    pub(crate) parts: &'a PathParts,
    pub(crate) route: &'a RouteSpec,
    pub(crate) ask: &'a IngressRequest,
    pub(crate) service: &'a Arc<str>,
    /// Upstreams that the request was sent to before.
    pub(crate) tried: &'a TriedUpstreams,
    pub(crate) deadline: Instant,
    pub(crate) log: &'a RequestLog,
}

impl NoUpstream {
    /// No upstream, without word of a load.
    pub(crate) fn new(reason: &'static str, retry_after: Duration) -> Self {
        Self { reason, retry_after, eta: None }
    }
}

impl UpstreamSearch<'_> {
    /// The best upstream, after a wait for a load where that is worth it.
    pub(crate) async fn find(&self) -> Result<EngineCard, NoUpstream> {
        let notice = (self.route.objective / 2).clamp(NOTICE_TIME[0], NOTICE_TIME[1]);
        let notice_end = Instant::now() + notice;
        let mut views = self.parts.state.watch_view();
        let mut drain = self.parts.drain.watch();
        let mut waiting = None;
        loop {
            views.mark_unchanged();
            drain.mark_unchanged();
            if self.has_no_time() {
                return Err(NoUpstream::new("draining", ROOM_RETRY));
            }
            let view = self.parts.state.view();
            let ready = self.parts.state.ready_places(&view, self.service);
            if let Some(place) = self.choose(&view, &ready) {
                return Ok(view.engines[place].clone());
            }
            // Only what an upstream is there for can be loaded.
            let Some(key) = self.demand_key().filter(|_| !ready.is_empty()) else {
                return Err(NoUpstream::new("no_upstream", ROOM_RETRY));
            };
            let wait_end = self.wait_end(&key, notice_end)?;
            waiting.get_or_insert_with(|| {
                self.log_wait(wait_end);
                WaitGuard::begin(&self.parts.state, key)
            });
            let again = self.tried.next_end().unwrap_or(wait_end);
            tokio::select! {
                _ = views.changed() => {}
                _ = drain.changed() => {}
                () = sleep_until(again), if again < wait_end => {}
                () = sleep_until(wait_end) => {
                    return Err(NoUpstream::new("model_not_loaded", ROOM_RETRY));
                }
            }
        }
    }

    /// Whether this instance ends before an answer can come; any other entry can do better.
    fn has_no_time(&self) -> bool {
        let end = self.parts.drain.end();
        end.is_some_and(|end| end < self.deadline && Instant::now() + MIN_ANSWER_TIME > end)
    }

    /// Tells how long the request expects to wait at most, and of how old a view.
    fn log_wait(&self, wait_end: Instant) {
        let now = Instant::now();
        let wait = wait_end.saturating_duration_since(now).as_millis();
        let left = self.deadline.saturating_duration_since(now).as_millis();
        let age = self.parts.state.view_age().as_millis();
        let inputs = format!("model_not_loaded, wait_ms {wait}, left_ms {left}, view_age_ms {age}");
        self.log.step("waits", &inputs);
    }

    /// How long a wait for a load makes sense.
    fn wait_end(&self, key: &DemandKey, notice_end: Instant) -> Result<Instant, NoUpstream> {
        let now = Instant::now();
        let view = self.parts.state.view();
        let eta = view.loading.iter().find(|(model, _)| *model == key.model);
        let eta = eta.map(|(_, ms)| Duration::from_millis(*ms));
        let deadline = self.parts.drain.bound(self.deadline);
        let is_draining = deadline < self.deadline;
        let left = deadline.saturating_duration_since(now);
        match eta {
            Some(eta) if eta + MIN_ANSWER_TIME <= left => {
                Ok(deadline.min(now + eta + NOTICE_TIME[0]))
            }
            Some(eta) => {
                let reason = if is_draining { "draining" } else { "load_too_late" };
                Err(NoUpstream { reason, retry_after: eta, eta: Some(eta) })
            }
            None if left <= MIN_ANSWER_TIME => Err(NoUpstream::new("no_time_left", ROOM_RETRY)),
            // Nobody hears what is missing here, so that no load will come of it.
            None if self.parts.state.view_age() > MAX_VIEW_AGE => {
                Err(NoUpstream::new("control_unheard", UNHEARD_RETRY))
            }
            None if now >= notice_end => Err(NoUpstream::new("load_not_begun", ROOM_RETRY)),
            None => Ok(notice_end.min(deadline)),
        }
    }

    /// The place in the view of the best of the `ready` upstreams.
    fn choose(&self, view: &FleetView, ready: &[usize]) -> Option<usize> {
        let active = self.parts.state.active_at(view, ready);
        let now = MonotonicTime::default() + self.parts.start.elapsed();
        let outliers = self.parts.outliers.lock();
        let mut reach = self.parts.reach.lock();
        let offer = |(place, active): (&usize, u32)| {
            let card = &view.engines[*place];
            UpstreamCandidate {
                slots: card.slots,
                active,
                is_local: card.centre == self.parts.settings.centre,
                residency: self.held_part(card),
                is_suspect: outliers.is_ejected(now, &UpstreamName::from(&*card.id.name)),
                is_unreachable: reach.is_avoided(now, &card.id, &card.centre),
                was_tried: self.tried.contains(&card.id),
                cached_share: 0.0,
            }
        };
        let offers: Vec<UpstreamCandidate> = ready.iter().zip(active).map(offer).collect();
        let place = ready[choose_upstream(&offers, rand::rng().random())?];
        reach.begin_probe(now, &view.engines[place].centre);
        Some(place)
    }

    fn held_part(&self, card: &EngineCard) -> ModelResidency {
        match &self.ask.generation {
            None => ModelResidency::Full,
            Some(ask) if card.holds(&ask.model, ask.adapter.as_deref()) => ModelResidency::Full,
            Some(ask) if card.holds(&ask.model, None) => ModelResidency::ModelOnly,
            Some(_) => ModelResidency::Absent,
        }
    }

    /// What the request needs to be loaded; `None` for a plain one.
    pub(crate) fn demand_key(&self) -> Option<DemandKey> {
        let generation = self.ask.generation.as_ref()?;
        Some(DemandKey {
            service: Arc::clone(self.service),
            model: Arc::clone(&generation.model),
            adapter: generation.adapter.clone(),
        })
    }
}
