//! What an entry knows and counts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use wheel_route::{
    DemandCount, DemandKey, EngineCard, EngineId, FleetConfig, FleetView, LoadCount, SyncAsk,
    SyncReply, UpstreamState,
};
use wheel_seams::is_planted;

use crate::ActiveConfig;

/// How long an upstream that refused work because it leaves, or wasn't the one meant, is avoided
/// unless the list says otherwise earlier. Longer than the list's lag and its reading together.
const LEAVING_MEMORY: Duration = Duration::from_secs(5);

/// Milliseconds that a control instance may hold its reply for a change while requests wait here.
const HOLD_MS: u32 = 150;

/// What is under way at one upstream from here.
#[derive(Clone, Copy, Debug, Default)]
struct OwnLoad {
    active: u32,
    tokens: i64,
    /// What was told last: the fleet's sums contain it.
    told: u32,
}

/// One kind of demand between two reports.
#[derive(Clone, Copy, Debug, Default)]
struct DemandTally {
    worth: f64,
    arrived: u32,
    waiting: u32,
}

/// The configuration in force, the fleet, and what is under way from here.
///
/// Each table has a lock of its own; none is taken while another is held.
pub struct FleetState {
    config: watch::Sender<Option<Arc<ActiveConfig>>>,
    view: watch::Sender<Arc<FleetView>>,
    view_at: Mutex<Instant>,
    loads: Mutex<HashMap<EngineId, OwnLoad>>,
    demand: Mutex<HashMap<DemandKey, DemandTally>>,
    leaving: Mutex<HashMap<EngineId, Instant>>,
    doubtful: Mutex<HashSet<EngineId>>,
    urgent: Notify,
}

impl Default for FleetState {
    fn default() -> Self {
        Self {
            config: watch::Sender::new(None),
            view: watch::Sender::new(Arc::default()),
            view_at: Mutex::new(Instant::now()),
            loads: Mutex::default(),
            demand: Mutex::default(),
            leaving: Mutex::default(),
            doubtful: Mutex::default(),
            urgent: Notify::new(),
        }
    }
}

impl FleetState {
    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ActiveConfig>> {
        self.config.borrow().clone()
    }

    /// Follows the configuration in force.
    pub fn watch_config(&self) -> watch::Receiver<Option<Arc<ActiveConfig>>> {
        self.config.subscribe()
    }

    /// Puts a configuration in force, unless one as new is. True if it was put in force.
    pub fn adopt(&self, config: FleetConfig) -> bool {
        self.config.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|held| held.config.version < config.version)
                || is_planted("old_config");
            if is_newer {
                *held = Some(Arc::new(ActiveConfig::new(config)));
            }
            is_newer
        })
    }

    /// The version in force; 0 without a configuration.
    pub fn version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |held| held.config.version)
    }

    /// The fleet as it was told last.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.borrow().clone()
    }

    /// Follows the fleet.
    pub fn watch_view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.subscribe()
    }

    /// How old the knowledge of the fleet is.
    pub fn view_age(&self) -> Duration {
        self.view_at.lock().elapsed() + Duration::from_millis(self.view().age_ms)
    }

    /// Takes over what is known of the fleet.
    pub fn set_view(&self, view: FleetView) {
        *self.view_at.lock() = Instant::now();
        self.view.send_replace(Arc::new(view));
    }

    /// The upstreams of a service that take work, as places in a view.
    pub fn ready_places(&self, view: &FleetView, service: &str) -> Vec<usize> {
        let leaving = self.leaving.lock();
        let is_left =
            |id: &EngineId| leaving.get(id).is_some_and(|noted| noted.elapsed() < LEAVING_MEMORY);
        let takes_work = |card: &EngineCard| {
            card.state == UpstreamState::Ready && !is_left(&card.id)
                || is_planted("leaving_ignored")
        };
        let is_ready = |card: &EngineCard| &*card.service == service && takes_work(card);
        let cards = view.engines.iter().enumerate();
        cards.filter(|(_, card)| is_ready(card)).map(|(place, _)| place).collect()
    }

    /// Requests under way at each of some places of a view: from here, and as far as told from elsewhere.
    pub fn active_at(&self, view: &FleetView, places: &[usize]) -> Vec<u32> {
        let told: HashMap<&EngineId, u32> =
            view.loads.iter().map(|load| (&load.engine, load.active)).collect();
        let loads = self.loads.lock();
        let active = |place: &usize| {
            let id = &view.engines[*place].id;
            let own = loads.get(id).copied().unwrap_or_default();
            let all = told.get(id).copied().unwrap_or(0);
            all.saturating_sub(own.told) + own.active
        };
        places.iter().map(active).collect()
    }

    /// Changes what is under way at an upstream from here.
    pub fn count_load(&self, engine: &EngineId, active: i32, tokens: i64) {
        let mut loads = self.loads.lock();
        let load = loads.entry(engine.clone()).or_default();
        load.active = load.active.saturating_add_signed(active);
        load.tokens += tokens;
    }

    /// Notes an arrival of demand.
    pub fn note_demand(&self, key: &DemandKey, worth: f64) {
        let mut demand = self.demand.lock();
        let tally = demand.entry(key.clone()).or_default();
        tally.worth += worth;
        tally.arrived += 1;
    }

    /// Changes how many requests wait for something to be loaded; the first one is told at once.
    pub fn count_waiting(&self, key: &DemandKey, change: i32) {
        let mut demand = self.demand.lock();
        let tally = demand.entry(key.clone()).or_default();
        tally.waiting = tally.waiting.saturating_add_signed(change);
        if change > 0 && tally.waiting == 1 {
            self.urgent.notify_one();
        }
    }

    /// Notes that an upstream refuses work because it leaves or isn't the one meant.
    pub fn note_leaving(&self, engine: &EngineId) {
        let mut leaving = self.leaving.lock();
        leaving.retain(|_, noted| noted.elapsed() < LEAVING_MEMORY);
        leaving.insert(engine.clone(), Instant::now());
    }

    /// Notes that an engine doesn't hold what it was said to hold.
    pub fn note_doubtful(&self, engine: &EngineId) {
        self.doubtful.lock().insert(engine.clone());
    }

    /// Completes when something should be told at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// What to tell the control instance. What it carries counts as told.
    pub fn prepare_ask(&self, instance: Arc<str>) -> SyncAsk {
        let mut loads = self.loads.lock();
        loads.retain(|_, load| load.active > 0 || load.told > 0);
        let mut told = Vec::new();
        for (engine, load) in loads.iter_mut() {
            load.told = load.active;
            if load.active > 0 {
                let tokens = load.tokens.max(0) as u64;
                told.push(LoadCount { engine: engine.clone(), active: load.active, tokens });
            }
        }
        drop(loads);
        let leaving = self.leaving.lock().keys().cloned().collect();
        let doubtful = std::mem::take(&mut *self.doubtful.lock()).into_iter().collect();
        SyncAsk {
            instance,
            is_entry: true,
            version: if is_planted("old_config") { 0 } else { self.version() },
            control: None,
            loads: told,
            demand: self.take_demand(),
            leaving,
            doubtful,
            entries: 1,
            hold_ms: if self.has_waiting() { HOLD_MS } else { 0 },
        }
    }

    /// Takes over the fleet of a reply; the configuration is the dialect's business.
    pub fn take_reply(&self, reply: &SyncReply) {
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
