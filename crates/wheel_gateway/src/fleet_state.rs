//! What an ingress instance knows about the fleet, and its own counts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use wheel_policy::LimitShare;
use wheel_route::{
    ConfigProof, DemandCount, DemandKey, EngineId, EngineInfo, FleetConfig, FleetView,
    OpenRequestCount, SyncReply, SyncRequest, UpstreamState,
};
use wheel_seams::{boot_now, is_planted};

use crate::crash_reports::CrashReports;
use crate::engine_measures::EngineMeasures;
use crate::hold_samples::HoldSamples;
use crate::{ActiveConfig, AllowanceTable, PromptPart};

/// How long an upstream is avoided after it refused a request because it is shutting down or isn't
/// the intended one, unless the list reports a new start of it earlier. Longer than the list's
/// delay and its polling interval together.
const LEAVING_LIFETIME: Duration = Duration::from_secs(5);

/// How long an upstream is avoided after it announced that it leaves, which it never takes back.
/// Longer than any upstream goes on after that.
const ANNOUNCED_LIFETIME: Duration = Duration::from_secs(600);

/// Age of a control instance's proof of its configuration up to which it is taken to know a leader.
const MAX_LED_AGE: Duration = Duration::from_secs(1);

/// How long a control instance may delay its reply until a change while requests wait here, in
/// milliseconds.
const HOLD_MS: u32 = 150;

/// Requests that this instance has open at one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct OwnRequests {
    active: u32,
    tokens: i64,
    /// The value of `tokens` in the last sync.
    reported_tokens: i64,
    /// The value of `active` in the last sync, which the fleet's sums include.
    reported: u32,
}

/// Demand for one model between two syncs.
#[derive(Clone, Copy, Debug, Default)]
struct DemandTally {
    worth: f64,
    arrived: u32,
    waiting: u32,
}

/// The configuration in force, the fleet, and the requests that this instance has open.
///
/// Each table has a lock of its own; no lock is taken while another one is held.
pub struct FleetState {
    config: watch::Sender<Option<Arc<ActiveConfig>>>,
    proof: Arc<ConfigProof>,
    view: watch::Sender<Arc<FleetView>>,
    view_at: Mutex<Instant>,
    own_requests: Mutex<HashMap<EngineId, OwnRequests>>,
    demand: Mutex<HashMap<DemandKey, DemandTally>>,
    /// Until when each upstream counts as leaving.
    leaving: Mutex<HashMap<EngineId, Instant>>,
    stale_engines: Mutex<HashSet<EngineId>>,
    crash_reports: Mutex<CrashReports>,
    limits: Mutex<LimitShare>,
    pub(crate) measures: EngineMeasures,
    allowances: AllowanceTable,
    urgent: Notify,
    /// Tells that a request of this instance has ended at its upstream.
    ended: Notify,
    pub(crate) holds: HoldSamples,
}

impl Default for FleetState {
    fn default() -> Self {
        Self {
            config: watch::Sender::new(None),
            proof: Arc::default(),
            view: watch::Sender::new(Arc::default()),
            view_at: Mutex::new(Instant::now()),
            own_requests: Mutex::default(),
            demand: Mutex::default(),
            leaving: Mutex::default(),
            stale_engines: Mutex::default(),
            crash_reports: Mutex::default(),
            limits: Mutex::new(LimitShare::open(rand::random())),
            measures: EngineMeasures::default(),
            allowances: AllowanceTable::default(),
            urgent: Notify::new(),
            ended: Notify::new(),
            holds: HoldSamples::default(),
        }
    }
}

impl FleetState {
    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.borrow().clone()
    }

    /// The proof that the configuration in force is the newest one.
    pub fn proof(&self) -> &Arc<ConfigProof> {
        &self.proof
    }

    /// The configuration in force, with the age of the proof that it is the newest one. The proof is
    /// read first, so that it can't be one of a newer configuration.
    pub(crate) fn proven_config(&self) -> (Option<Arc<ActiveConfig>>, Option<Duration>) {
        let proof_age = self.proof.age(boot_now());
        (self.config(), proof_age)
    }

    /// Whether requests with keys can be served: either the configuration has no teams, or the proof
    /// that it is the newest one isn't older than `limit`.
    pub fn can_serve_keys(&self, limit: Option<Duration>) -> bool {
        let (config, proof_age) = self.proven_config();
        let requires_key = config.is_some_and(|active| active.teams.requires_key());
        let is_proven = |limit: Duration| proof_age.is_some_and(|age| age <= limit);
        !requires_key || limit.is_none_or(is_proven)
    }

    /// Subscribes to changes of the configuration in force.
    pub fn watch_config(&self) -> watch::Receiver<Option<Arc<ActiveConfig>>> {
        self.config.subscribe()
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it did.
    pub fn adopt(&self, config: FleetConfig) -> bool {
        self.config.send_if_modified(|current| {
            let is_newer = current.as_ref().is_none_or(|active| {
                (active.config.version < config.version) != is_planted("old_config")
            });
            if is_newer {
                let config = match current.as_ref() {
                    Some(active) if is_planted("withdrawn_key_kept") => {
                        active.keep_withdrawn_keys(config)
                    }
                    _ => config,
                };
                *current = Some(Arc::new(ActiveConfig::new(config)));
            }
            is_newer
        })
    }

    /// The version in force; 0 without a configuration.
    pub fn version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |active| active.config.version)
    }

    /// The fleet as of the last sync.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.borrow().clone()
    }

    /// Subscribes to changes of the fleet.
    pub fn watch_view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.subscribe()
    }

    /// The age of the fleet view: time since it was received, plus the age of the list in it.
    pub fn view_age(&self) -> Duration {
        self.view_at.lock().elapsed() + Duration::from_millis(self.view().age_ms)
    }

    /// Stores a new view of the fleet.
    pub fn set_view(&self, view: FleetView) {
        *self.view_at.lock() = Instant::now();
        self.measures.prefixes.lock().retain_loaded(&view.engines);
        self.view.send_replace(Arc::new(view));
    }

    /// Indices into `view.engines` of the upstreams of a service that accept requests.
    pub fn ready_indices(&self, view: &FleetView, service: &str) -> Vec<usize> {
        let leaving = self.leaving.lock();
        let is_leaving =
            |id: &EngineId| leaving.get(id).is_some_and(|until| Instant::now() < *until);
        let accepts_work = |info: &EngineInfo| {
            info.state == UpstreamState::Ready && !is_leaving(&info.id)
                || is_planted("leaving_ignored")
        };
        let is_ready = |info: &EngineInfo| &*info.service == service && accepts_work(info);
        let engines = view.engines.iter().enumerate();
        engines.filter(|(_, info)| is_ready(info)).map(|(index, _)| index).collect()
    }

    /// Open requests at each of the engines with the given indices in `view`: those of this
    /// instance, and those of other instances as of the last sync.
    pub fn active_at(&self, view: &FleetView, indices: &[usize]) -> Vec<u32> {
        self.loads_at(view, indices).into_iter().map(|(active, _)| active).collect()
    }

    /// Open requests and their prompt tokens at each of the engines with the given indices in `view`.
    pub(crate) fn loads_at(&self, view: &FleetView, indices: &[usize]) -> Vec<(u32, u64)> {
        let counts = view.open_requests.iter();
        let totals: HashMap<&EngineId, (u32, u64)> =
            counts.map(|count| (&count.engine, (count.active, count.tokens))).collect();
        let own_requests = self.own_requests.lock();
        let load = |index: &usize| {
            let id = &view.engines[*index].id;
            let own = own_requests.get(id).copied().unwrap_or_default();
            let (active, tokens) = totals.get(id).copied().unwrap_or_default();
            let tokens = tokens.saturating_add_signed(-own.reported_tokens.max(0));
            let active = active.saturating_sub(own.reported) + own.active;
            (active, tokens.saturating_add_signed(own.tokens.max(0)))
        };
        indices.iter().map(load).collect()
    }

    /// Adjusts the counts of this instance's open requests and their tokens at an upstream.
    pub fn count_request(&self, engine: &EngineId, active: i32, tokens: i64) {
        let mut own_requests = self.own_requests.lock();
        let own = own_requests.entry(engine.clone()).or_default();
        own.active = own.active.saturating_add_signed(active);
        own.tokens += tokens;
        drop(own_requests);
        if active < 0 {
            self.ended.notify_one();
        }
    }

    /// Completes when a request of this instance has ended at its upstream.
    pub(crate) async fn request_ended(&self) {
        self.ended.notified().await;
    }

    /// Records the arrival of a request for a model.
    pub fn record_demand(&self, key: &DemandKey, worth: f64) {
        let mut demand = self.demand.lock();
        let tally = demand.entry(key.clone()).or_default();
        tally.worth += worth;
        tally.arrived += 1;
    }

    /// Adjusts the number of requests that wait for a load. The first one triggers a sync at once.
    pub fn count_waiting(&self, key: &DemandKey, change: i32) {
        let mut demand = self.demand.lock();
        let tally = demand.entry(key.clone()).or_default();
        tally.waiting = tally.waiting.saturating_add_signed(change);
        if change > 0 && tally.waiting == 1 {
            self.urgent.notify_one();
        }
    }

    /// Records that an upstream refuses requests because it is shutting down or isn't the intended
    /// one.
    pub fn record_leaving(&self, engine: &EngineId) {
        self.leave_out(engine, LEAVING_LIFETIME);
    }

    /// Records that an upstream announced that it leaves.
    pub fn record_announced_leaving(&self, engine: &EngineId) {
        // Without the time of its start, a new start can't be told from the one that leaves.
        let lifetime = match engine.started_unix_ms {
            0 => LEAVING_LIFETIME,
            _ => ANNOUNCED_LIFETIME,
        };
        self.leave_out(engine, lifetime);
    }

    fn leave_out(&self, engine: &EngineId, lifetime: Duration) {
        let now = Instant::now();
        let mut leaving = self.leaving.lock();
        leaving.retain(|_, until| now < *until);
        let until = leaving.entry(engine.clone()).or_insert(now);
        *until = (*until).max(now + lifetime);
    }

    /// Records that an engine's reported state may be out of date: the engine lacks a model that it
    /// was reported to hold, or it can't be reached.
    pub fn record_stale_engine(&self, engine: &EngineId) {
        self.stale_engines.lock().insert(engine.clone());
    }

    /// Records that an upstream closed the connection under a request, which was sent there at
    /// `sent` and has `parts` in its prompt.
    pub(crate) fn record_crash(&self, engine: &EngineId, sent: Instant, parts: &[PromptPart]) {
        if !parts.is_empty() {
            self.crash_reports.lock().record_crash(engine, sent, parts);
        }
    }

    /// Records that a request with `parts` in its prompt ended well.
    pub(crate) fn record_sound(&self, parts: &[PromptPart]) {
        if !parts.is_empty() {
            self.crash_reports.lock().record_sound(parts);
        }
    }

    /// The first of `parts` with which requests aren't sent. Records that a request with it came.
    pub(crate) fn barred_part(&self, parts: &[PromptPart]) -> Option<u64> {
        let view = self.view();
        let is_barred = |part: &&PromptPart| view.barred_parts.iter().any(|bar| bar.id == part.id);
        let barred = parts.iter().find(is_barred)?.id;
        self.crash_reports.lock().record_barred_request(barred);
        Some(barred)
    }

    /// The part of upstreams' limits that this instance has.
    pub(crate) fn limits(&self) -> MutexGuard<'_, LimitShare> {
        self.limits.lock()
    }

    /// The part of teams' allowances that this instance has, with the requests that wait for more.
    pub fn allowance_table(&self) -> &AllowanceTable {
        &self.allowances
    }

    /// Adjusts the number of requests of `rank` that wait until an upstream's limit lets them be
    /// sent there. The first one triggers a sync at once.
    pub(crate) fn count_limit_waiting(&self, engines: &[EngineId], rank: u8, change: i32) {
        let mut limits = self.limits.lock();
        let counts = engines.iter().map(|engine| limits.count_waiting(engine, rank, change));
        let has_first = counts.filter(|count| *count == 1).count() > 0;
        drop(limits);
        if change > 0 && has_first {
            self.urgent.notify_one();
        }
    }

    /// Completes when a sync should happen at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Builds the next sync to the control instance. Its contents count as reported from then on.
    pub fn prepare_sync(&self, instance: Arc<str>) -> SyncRequest {
        let mut own_requests = self.own_requests.lock();
        own_requests.retain(|_, own| own.active > 0 || own.reported > 0);
        let mut counts = Vec::new();
        for (engine, own) in own_requests.iter_mut() {
            (own.reported, own.reported_tokens) = (own.active, own.tokens);
            if own.active > 0 {
                let tokens = own.tokens.max(0) as u64;
                counts.push(OpenRequestCount {
                    engine: engine.clone(),
                    active: own.active,
                    tokens,
                });
            }
        }
        drop(own_requests);
        let leaving = {
            let mut leaving = self.leaving.lock();
            leaving.retain(|_, until| Instant::now() < *until);
            leaving.keys().cloned().collect()
        };
        let stale_engines = std::mem::take(&mut *self.stale_engines.lock()).into_iter().collect();
        let view = self.view();
        let (crashes, sound_parts, barred_requests) = {
            let mut reports = self.crash_reports.lock();
            (reports.crashes(), reports.sound_parts(&view), reports.take_barred_requests())
        };
        let (limits, limit_demand) = {
            let (now, mut limits) = (boot_now(), self.limits.lock());
            (limits.reports(now), limits.demand(now))
        };
        let (speeds, rates) = self.measures.speeds.lock().take_reports(self.measures.now());
        SyncRequest {
            instance,
            is_ingress: true,
            version: self.version(),
            control: None,
            open_requests: counts,
            demand: self.take_demand(),
            leaving,
            stale_engines,
            ingress_count: 1,
            crashes,
            sound_parts,
            barred_requests,
            limits,
            limit_demand,
            speeds,
            rates,
            held_view: None,
            hold_ms: if self.has_waiting() { HOLD_MS } else { 0 },
        }
    }

    /// Stores the fleet view of a reply. Its configuration needs a dialect and is handled
    /// elsewhere.
    pub fn apply_reply(&self, reply: &SyncReply) {
        let is_led = reply.proof_age().is_some_and(|age| age <= MAX_LED_AGE);
        let now = boot_now();
        let mut limits = self.limits.lock();
        limits.receive(now, &reply.limit_grants, is_led);
        if let Some(view) = &reply.fleet {
            limits.merge(now, &view.limits, view.ingress_count);
            limits.retain(|id| view.engines.iter().any(|info| info.id == *id));
        }
        drop(limits);
        if let Some(view) = &reply.fleet {
            self.set_view(view.clone());
        }
    }

    fn has_waiting(&self) -> bool {
        self.demand.lock().values().any(|tally| tally.waiting > 0)
    }

    fn take_demand(&self) -> Vec<DemandCount> {
        let mut demand = self.demand.lock();
        let counts = demand.iter().map(|(key, tally)| DemandCount {
            key: key.clone(),
            worth: tally.worth,
            arrived: tally.arrived,
            waiting: tally.waiting,
        });
        let counts = counts.collect();
        demand.retain(|_, tally| tally.waiting > 0);
        for tally in demand.values_mut() {
            *tally = DemandTally { waiting: tally.waiting, ..DemandTally::default() };
        }
        counts
    }
}
