//! What a control instance knows about the fleet, and the syncs of the instances below it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::warn;
use tokio::sync::Notify;
use tokio::time::Instant;
use wheel_policy::CrashLedger;
use wheel_route::{
    ConfigProof, ControlEndpoint, CrashedPart, DemandCount, DemandKey, EngineId, EngineInfo,
    FleetView, HeldModel, LimitGrant, OpenRequestCount, SoundPart, SyncReply, SyncRequest,
    UpstreamCrash, UpstreamState, ViewStamp, ViewUpdate,
};
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;

use crate::limit_registry::LimitRegistry;
use crate::published_views::PublishedViews;
use crate::speed_registry::SpeedRegistry;
use crate::{AllowanceRegistry, ListWatch};

/// Time without a sync after which an instance counts as gone.
const CHILD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the leader's view takes precedence over the list.
const LEADER_VIEW_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which the report that an upstream is leaving is passed on.
const LEAVING_LIFETIME: Duration = Duration::from_secs(6);
/// Maximum number of known control instances.
const MAX_CONTROL_ENDPOINTS: usize = 64;

/// Time between two evaluations of upstreams that ended.
const CRASH_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of reports of upstreams that ended in one sync with the leader.
const MAX_FORWARDED_CRASHES: usize = 64;
/// Maximum number of barred parts taken over from one sync.
const MAX_BARRED_REQUESTS: usize = 64;

/// The models that each engine has loaded, as known to the instance that sends the orders.
pub(crate) type HeldTable = HashMap<EngineId, Vec<HeldModel>>;

/// The models that engines have loaded, and the models that are being loaded with the milliseconds
/// until they are available.
pub(crate) type HeldState = (HeldTable, Vec<(Arc<str>, u64)>);

#[derive(Debug, Default)]
struct RegistryState {
    children: HashMap<Arc<str>, (SyncRequest, Instant)>,
    /// Weighted and plain counts of arrivals since the last sync was prepared.
    arrivals: BTreeMap<DemandKey, (f64, u32)>,
    stale_engines: BTreeSet<EngineId>,
    leaving: HashMap<EngineId, Instant>,
    control: BTreeSet<ControlEndpoint>,
    /// The leader's view and when it was received, at an instance that doesn't lead.
    leader_view: Option<(FleetView, Instant)>,
    /// The engines' state according to the orders of this instance, while it leads.
    held: Option<HeldState>,
    /// What the instances below saw of upstreams that ended.
    crash_ledger: CrashLedger,
    /// When the ledger was last evaluated.
    crashes_updated: Option<MonotonicTime>,
    /// Barred parts with which requests came since the last sync was prepared.
    barred_requests: BTreeSet<u64>,
}

impl RegistryState {
    /// Records what an instance below saw of upstreams that ended.
    fn record_crashes(&mut self, request: &SyncRequest) {
        let now = boot_now();
        for crash in &request.crashes {
            self.crash_ledger.record_crash(now, crash);
        }
        for sound in &request.sound_parts {
            self.crash_ledger.record_sound(now, sound.id, Duration::from_millis(sound.age_ms));
        }
        for part in &request.barred_requests {
            self.crash_ledger.record_request(now, *part);
        }
        self.barred_requests.extend(request.barred_requests.iter().take(MAX_BARRED_REQUESTS));
    }

    /// Evaluates the crashes while no leader does that for this instance.
    fn update_crashes(&mut self) {
        let now = boot_now();
        let has_leader = self.held.is_none()
            && self.leader_view.as_ref().is_some_and(|(_, at)| at.elapsed() < LEADER_VIEW_LIFETIME);
        let is_due =
            self.crashes_updated.is_none_or(|updated| now.since(updated) >= CRASH_UPDATE_INTERVAL);
        if has_leader || !is_due {
            return;
        }
        self.crashes_updated = Some(now);
        for part in self.crash_ledger.update(now) {
            warn!("part_barred", kv: { part = format!("{part:x}") });
        }
    }

    /// The crashes that the instances below report at present.
    fn crashes(&self) -> Vec<UpstreamCrash> {
        let aged = |crash: &UpstreamCrash, passed: u64| UpstreamCrash {
            age_ms: crash.age_ms + passed,
            parts: crash
                .parts
                .iter()
                .map(|part| CrashedPart { sent_age_ms: part.sent_age_ms + passed, ..part.clone() })
                .collect(),
            ..crash.clone()
        };
        let reports = self.children.values().flat_map(|(request, received)| {
            let passed = received.elapsed().as_millis() as u64;
            request.crashes.iter().map(move |crash| aged(crash, passed))
        });
        reports.take(MAX_FORWARDED_CRASHES).collect()
    }

    /// The watched parts that the instances below have seen to end well, with the latest end.
    fn sound_parts(&self) -> Vec<SoundPart> {
        let mut ages: BTreeMap<u64, u64> = BTreeMap::new();
        for (request, received) in self.children.values() {
            let passed = received.elapsed().as_millis() as u64;
            for sound in &request.sound_parts {
                let age_ms = sound.age_ms + passed;
                let known = ages.entry(sound.id).or_insert(age_ms);
                *known = (*known).min(age_ms);
            }
        }
        ages.into_iter().map(|(id, age_ms)| SoundPart { id, age_ms }).collect()
    }
}

/// Collects the syncs of the instances below and provides the fleet view for replies.
///
/// The state, the limits and the speeds have a lock each, which is only held for a few lines, none while the
/// other one is held. That of the published views is held while a view is built.
pub struct FleetRegistry {
    list: Arc<ListWatch>,
    proof: Arc<ConfigProof>,
    state: Mutex<RegistryState>,
    limits: Mutex<LimitRegistry>,
    speeds: Mutex<SpeedRegistry>,
    allowances: AllowanceRegistry,
    published: Mutex<PublishedViews>,
    /// Whether the engines' loaded models have changed since a view was published.
    is_changed: AtomicBool,
    urgent: Notify,
    urgent_sync: Notify,
    changed: Notify,
}

impl FleetRegistry {
    /// Creates an empty registry of the upstreams in `list`, at an instance whose configuration is
    /// proven by `proof`.
    pub fn open(list: Arc<ListWatch>, proof: Arc<ConfigProof>) -> Arc<Self> {
        Arc::new(Self {
            list,
            allowances: AllowanceRegistry::open(Arc::clone(&proof)),
            proof,
            state: Mutex::default(),
            limits: Mutex::default(),
            speeds: Mutex::default(),
            published: Mutex::new(PublishedViews::open()),
            is_changed: AtomicBool::new(false),
            urgent: Notify::new(),
            urgent_sync: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Records the sync of an instance.
    pub fn record(&self, request: SyncRequest) {
        self.limits.lock().record(boot_now(), &request);
        self.speeds.lock().record(&request);
        let now = Instant::now();
        let is_urgent = request.demand.iter().any(|count| count.waiting > 0);
        let mut state = self.state.lock();
        for count in &request.demand {
            let arrivals = state.arrivals.entry(count.key.clone()).or_default();
            arrivals.0 += count.worth;
            arrivals.1 += count.arrived;
        }
        state.stale_engines.extend(request.stale_engines.iter().cloned());
        for engine in &request.leaving {
            state.leaving.insert(engine.clone(), now);
        }
        if let Some(endpoint) =
            request.control.clone().filter(|_| state.control.len() < MAX_CONTROL_ENDPOINTS)
        {
            state.control.insert(endpoint);
        }
        state.record_crashes(&request);
        state.children.insert(Arc::clone(&request.instance), (request, now));
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
            self.urgent_sync.notify_one();
        }
    }

    /// Completes when the leader should be synced with at once because a request waits for a load.
    pub async fn urgent_sync(&self) {
        self.urgent_sync.notified().await;
    }

    /// Time since the last moment for which it is proven that this instance held the newest
    /// configuration; `None` without a proof.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof.age(boot_now())
    }

    /// Takes over the leader's reply to a sync made at `called`. The configuration arrives by the
    /// replicated log or by a transfer; only what is held here by then is proven by the reply.
    pub fn take_leader_reply(&self, called: MonotonicTime, reply: SyncReply, held_version: u64) {
        if let Some(age) = reply.proof_age().filter(|_| held_version >= reply.version) {
            self.proof.record(called.before(age));
        }
        let limits = reply.fleet.as_ref().map_or(&[][..], |view| &view.limits[..]);
        self.limits.lock().take_leader_reply(boot_now(), limits, &reply.limit_grants);
        if let Some(view) = reply.fleet {
            self.set_leader_view(view, &reply.control);
        }
    }

    /// Stores the leader's view.
    fn set_leader_view(&self, view: FleetView, control: &[ControlEndpoint]) {
        let mut state = self.state.lock();
        let models = |view: &FleetView| {
            view.engines.iter().map(|info| info.models.clone()).collect::<Vec<_>>()
        };
        if state.leader_view.as_ref().is_none_or(|(previous, _)| models(previous) != models(&view))
        {
            self.notify_changed();
        }
        state.crash_ledger.replace_barred(boot_now(), &view.barred_parts);
        state.leader_view = Some((view, Instant::now()));
        state.held = None;
        let room = MAX_CONTROL_ENDPOINTS.saturating_sub(state.control.len());
        state.control.extend(control.iter().take(room).cloned());
    }

    /// Stores the engines' state according to the orders of this instance; `None` once it doesn't
    /// lead.
    pub(crate) fn set_held(&self, held: Option<HeldState>) {
        let is_changed = {
            let mut state = self.state.lock();
            let models = |held: &Option<HeldState>| held.as_ref().map(|(models, _)| models.clone());
            let is_changed = models(&state.held) != models(&held);
            state.held = held;
            is_changed
        };
        if is_changed {
            self.notify_changed();
        }
    }

    fn notify_changed(&self) {
        self.is_changed.store(true, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Whether an upstream has named a limit on its requests.
    pub(crate) fn is_limited(&self, engine: &EngineId) -> bool {
        self.limits.lock().is_limited(engine)
    }

    /// Records whether this instance leads the control instances.
    pub fn set_leading(&self, is_leading: bool) {
        self.limits.lock().set_leading(is_leading);
        if !is_leading {
            self.allowances.set_leading(None);
        }
    }

    /// Teams' allowances.
    pub fn allowances(&self) -> &AllowanceRegistry {
        &self.allowances
    }

    /// The permits that an instance gets for its last sync.
    pub fn grant_limits(&self, instance: &str) -> Vec<LimitGrant> {
        self.limits.lock().grant(boot_now(), instance, self.proof_age())
    }

    /// Number of the instances below that haven't put `version` in force yet, by their last syncs.
    pub fn count_behind(&self, version: u64) -> usize {
        let state = self.state.lock();
        let mut fresh =
            state.children.values().filter(|(_, received)| received.elapsed() < CHILD_TIMEOUT);
        fresh.by_ref().filter(|(request, _)| request.version < version).count()
    }

    /// Requests a placement round from the director.
    pub(crate) fn wake(&self) {
        self.urgent.notify_one();
    }

    /// Completes when engines' loaded models differ from those in the view `held`, also if they
    /// changed before the call.
    pub async fn changed(&self, held: Option<ViewStamp>) {
        let changed = self.changed.notified();
        let has_news =
            self.is_changed.load(Ordering::Acquire) || self.published.lock().has_news(held);
        if !has_news {
            changed.await;
        }
    }

    /// Completes when a request waits for a load.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// The known control instances.
    pub fn control(&self) -> Vec<ControlEndpoint> {
        self.state.lock().control.iter().cloned().collect()
    }

    /// Adds a control instance that is known from another source.
    pub fn add_control(&self, endpoint: ControlEndpoint) {
        self.state.lock().control.insert(endpoint);
    }

    /// Whether any request waits for a load, by the last syncs.
    pub fn has_waiting(&self) -> bool {
        let state = self.state.lock();
        let mut counts = state.children.values().flat_map(|(request, _)| &request.demand);
        counts.any(|count| count.waiting > 0)
    }

    /// Sums up the syncs of the instances below. Each arrival is reported only once.
    pub fn prepare_sync(&self, instance: Arc<str>, version: u64) -> SyncRequest {
        let (limits, limit_demand) = {
            let (now, limits) = (boot_now(), self.limits.lock());
            (limits.table().reports(now), limits.unmet_demand(now))
        };
        let (speeds, rates) = self.speeds.lock().take_reports();
        let mut state = self.state.lock();
        state.children.retain(|_, (_, received)| received.elapsed() < CHILD_TIMEOUT);
        state.leaving.retain(|_, recorded| recorded.elapsed() < LEAVING_LIFETIME);
        let mut demand: BTreeMap<DemandKey, DemandCount> = BTreeMap::new();
        for (key, (worth, arrived)) in std::mem::take(&mut state.arrivals) {
            let count = DemandCount { key: key.clone(), worth, arrived, waiting: 0 };
            demand.insert(key, count);
        }
        let counts = state.children.values().flat_map(|(request, _)| &request.demand);
        for count in counts.filter(|count| count.waiting > 0) {
            let empty = DemandCount { worth: 0.0, arrived: 0, waiting: 0, ..count.clone() };
            demand.entry(count.key.clone()).or_insert(empty).waiting += count.waiting;
        }
        SyncRequest {
            instance,
            is_ingress: false,
            version,
            control: None,
            open_requests: sum_open_requests(&state),
            demand: demand.into_values().collect(),
            leaving: state.leaving.keys().cloned().collect(),
            stale_engines: std::mem::take(&mut state.stale_engines).into_iter().collect(),
            ingress_count: state.children.values().map(|(request, _)| request.ingress_count).sum(),
            crashes: state.crashes(),
            sound_parts: state.sound_parts(),
            barred_requests: std::mem::take(&mut state.barred_requests).into_iter().collect(),
            limits,
            limit_demand,
            speeds,
            rates,
            held_view: None,
            hold_ms: 0,
        }
    }

    /// The fleet as known to this instance, as changes since `held`; `None` until the list has been
    /// read.
    pub fn view_update(&self, held: Option<ViewStamp>) -> Option<ViewUpdate> {
        let mut published = self.published.lock();
        let is_changed = self.is_changed.swap(false, Ordering::AcqRel);
        published.update_since(held, is_changed, || self.view())
    }

    /// Whether views are those of another instance, which leads.
    fn has_leader_view(&self) -> bool {
        let state = self.state.lock();
        let view = state.leader_view.as_ref().filter(|_| state.held.is_none());
        view.is_some_and(|(_, received)| received.elapsed() < LEADER_VIEW_LIFETIME)
    }

    /// The fleet as known to this instance; `None` until the list has been read.
    pub fn view(&self) -> Option<FleetView> {
        let (listed, age) = self.list.current()?;
        let limits = {
            let mut limits = self.limits.lock();
            limits.retain(|id| listed.iter().any(|info| info.id == *id));
            limits.limits(boot_now())
        };
        let own_speeds = match self.has_leader_view() {
            true => Default::default(),
            false => self.speeds.lock().publish(&listed),
        };
        let mut state = self.state.lock();
        state.update_crashes();
        let is_leaving = |id: &EngineId| {
            state.leaving.get(id).is_some_and(|recorded| recorded.elapsed() < LEAVING_LIFETIME)
        };
        let leader_view = state
            .leader_view
            .as_ref()
            .filter(|(_, received)| received.elapsed() < LEADER_VIEW_LIFETIME);
        let leader_view = leader_view.map(|(view, _)| view);
        let models_of = |info: &EngineInfo| match (&state.held, leader_view) {
            (Some((held, _)), _) => held.get(&info.id).cloned(),
            (None, Some(view)) => view
                .engines
                .iter()
                .find(|known| known.id == info.id)
                .map(|known| known.models.clone()),
            (None, None) => None,
        };
        let engines = listed.iter().map(|info| {
            let mut info = info.clone();
            if let Some(models) = models_of(&info) {
                info.models = models;
            }
            if is_leaving(&info.id) {
                info.state = UpstreamState::Draining;
            }
            info
        });
        let (open_requests, loading, ingress_count) = match (&state.held, leader_view) {
            (None, Some(view)) => {
                (view.open_requests.clone(), view.loading.clone(), view.ingress_count)
            }
            (held, _) => {
                let loading = held.as_ref().map(|(_, loading)| loading.clone());
                let ingress_count =
                    state.children.values().map(|(request, _)| request.ingress_count).sum();
                (sum_open_requests(&state), loading.unwrap_or_default(), ingress_count)
            }
        };
        let (speeds, rates) = match (&state.held, leader_view) {
            (None, Some(view)) => (view.speeds.clone(), view.rates.clone()),
            _ => own_speeds,
        };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let watched_parts = match (&state.held, leader_view) {
            (None, Some(view)) => view.watched_parts.clone(),
            _ => state.crash_ledger.watched().to_vec(),
        };
        Some(FleetView {
            age_ms,
            engines: engines.collect(),
            open_requests,
            ingress_count,
            loading,
            watched_parts,
            barred_parts: state.crash_ledger.barred(boot_now()),
            limits,
            speeds,
            rates,
        })
    }
}

fn sum_open_requests(state: &RegistryState) -> Vec<OpenRequestCount> {
    let mut sums: BTreeMap<EngineId, (u32, u64)> = BTreeMap::new();
    let fresh = state.children.values().filter(|(_, received)| received.elapsed() < CHILD_TIMEOUT);
    for count in fresh.flat_map(|(request, _)| &request.open_requests) {
        let sum = sums.entry(count.engine.clone()).or_default();
        sum.0 += count.active;
        sum.1 += count.tokens;
    }
    let counts = sums.into_iter();
    counts.map(|(engine, (active, tokens))| OpenRequestCount { engine, active, tokens }).collect()
}
