//! What a control instance knows of the fleet and hears from the instances below it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use wheel_route::{
    ControlPlace, DemandCount, DemandKey, EngineCard, EngineId, FleetView, HeldModel, LoadCount,
    SyncAsk, UpstreamState,
};

use crate::ListWatch;

/// Time after which an instance that told nothing counts as gone.
const CHILD_LIFE: Duration = Duration::from_secs(2);
/// Time for which the leader's knowledge goes before what the list says.
const LED_LIFE: Duration = Duration::from_secs(3);
/// Time for which a word that an upstream leaves is passed on.
const LEAVING_LIFE: Duration = Duration::from_secs(6);
/// Control instances that are remembered.
const MAX_CONTROL: usize = 64;

/// What an engine holds, by the knowledge of whoever orders it.
pub(crate) type HeldTable = HashMap<EngineId, Vec<HeldModel>>;

/// What engines hold, and the models that are on their way with the milliseconds until they are there.
pub(crate) type HeldState = (HeldTable, Vec<(Arc<str>, u64)>);

#[derive(Debug, Default)]
struct BoardState {
    children: HashMap<Arc<str>, (SyncAsk, Instant)>,
    /// Arrivals since they were taken last.
    arrived: BTreeMap<DemandKey, (f64, u32)>,
    doubtful: BTreeSet<EngineId>,
    leaving: HashMap<EngineId, Instant>,
    control: BTreeSet<ControlPlace>,
    /// The leader's view, at an instance that doesn't lead.
    led: Option<(FleetView, Instant)>,
    /// What the orders of this instance make of the engines, and what is being loaded, while it leads.
    held: Option<HeldState>,
}

/// Gathers and passes on. One lock, held for a few lines.
pub struct FleetBoard {
    list: Arc<ListWatch>,
    state: Mutex<BoardState>,
    in_touch: Mutex<Instant>,
    urgent: Notify,
    told_urgent: Notify,
    changed: Notify,
}

impl FleetBoard {
    /// Makes a board beside the list.
    pub fn open(list: Arc<ListWatch>) -> Arc<Self> {
        Arc::new(Self {
            list,
            state: Mutex::default(),
            in_touch: Mutex::new(Instant::now()),
            urgent: Notify::new(),
            told_urgent: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Takes in what an instance tells.
    pub fn note(&self, ask: SyncAsk) {
        let now = Instant::now();
        let is_urgent = ask.demand.iter().any(|count| count.waiting > 0);
        let mut state = self.state.lock();
        for count in &ask.demand {
            let arrived = state.arrived.entry(count.key.clone()).or_default();
            arrived.0 += count.worth;
            arrived.1 += count.arrived;
        }
        state.doubtful.extend(ask.doubtful.iter().cloned());
        for engine in &ask.leaving {
            state.leaving.insert(engine.clone(), now);
        }
        if let Some(place) = ask.control.clone().filter(|_| state.control.len() < MAX_CONTROL) {
            state.control.insert(place);
        }
        state.children.insert(Arc::clone(&ask.instance), (ask, now));
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
            self.told_urgent.notify_one();
        }
    }

    /// Completes when the leader should be told at once that something waits for a load.
    pub async fn told_urgent(&self) {
        self.told_urgent.notified().await;
    }

    /// Notes that this instance is in touch with the group: it leads for sure, or the leader answered.
    pub fn note_group(&self) {
        *self.in_touch.lock() = Instant::now();
    }

    /// How long ago this instance was certainly in touch with the group.
    pub fn group_age(&self) -> Duration {
        self.in_touch.lock().elapsed()
    }

    /// Takes over the leader's view.
    pub fn set_led(&self, view: FleetView, control: &[ControlPlace]) {
        let mut state = self.state.lock();
        let models = |view: &FleetView| {
            view.engines.iter().map(|card| card.models.clone()).collect::<Vec<_>>()
        };
        if state.led.as_ref().is_none_or(|(held, _)| models(held) != models(&view)) {
            self.changed.notify_waiters();
        }
        state.led = Some((view, Instant::now()));
        state.held = None;
        let room = MAX_CONTROL.saturating_sub(state.control.len());
        state.control.extend(control.iter().take(room).cloned());
    }

    /// Takes over what the orders of this instance make of the engines; `None` once it doesn't lead.
    pub(crate) fn set_held(&self, held: Option<HeldState>) {
        let is_changed = {
            let mut state = self.state.lock();
            let models = |held: &Option<HeldState>| held.as_ref().map(|(models, _)| models.clone());
            let is_changed = models(&state.held) != models(&held);
            state.held = held;
            is_changed
        };
        if is_changed {
            self.changed.notify_waiters();
        }
    }

    /// Asks for a round of whoever orders engines.
    pub(crate) fn wake(&self) {
        self.urgent.notify_one();
    }

    /// Completes when what engines hold, or are about to, changes; for waits of a fraction of a second.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Completes when something waits for a load.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// The control instances that are known.
    pub fn control(&self) -> Vec<ControlPlace> {
        self.state.lock().control.iter().cloned().collect()
    }

    /// Adds a control instance that is known from elsewhere.
    pub fn add_control(&self, place: ControlPlace) {
        self.state.lock().control.insert(place);
    }

    /// Whether something waits for a load, as far as told.
    pub fn has_waiting(&self) -> bool {
        let state = self.state.lock();
        let mut counts = state.children.values().flat_map(|(ask, _)| &ask.demand);
        counts.any(|count| count.waiting > 0)
    }

    /// Sums up what the instances below told; arrivals are told once.
    pub fn prepare_ask(&self, instance: Arc<str>, version: u64) -> SyncAsk {
        let mut state = self.state.lock();
        state.children.retain(|_, (_, heard)| heard.elapsed() < CHILD_LIFE);
        state.leaving.retain(|_, noted| noted.elapsed() < LEAVING_LIFE);
        let mut demand: BTreeMap<DemandKey, DemandCount> = BTreeMap::new();
        for (key, (worth, arrived)) in std::mem::take(&mut state.arrived) {
            let count = DemandCount { key: key.clone(), worth, arrived, waiting: 0 };
            demand.insert(key, count);
        }
        let waits = state.children.values().flat_map(|(ask, _)| &ask.demand);
        for count in waits.filter(|count| count.waiting > 0) {
            let empty = DemandCount { worth: 0.0, arrived: 0, waiting: 0, ..count.clone() };
            demand.entry(count.key.clone()).or_insert(empty).waiting += count.waiting;
        }
        SyncAsk {
            instance,
            is_entry: false,
            version,
            control: None,
            loads: sum_loads(&state),
            demand: demand.into_values().collect(),
            leaving: state.leaving.keys().cloned().collect(),
            doubtful: std::mem::take(&mut state.doubtful).into_iter().collect(),
            entries: state.children.values().map(|(ask, _)| ask.entries).sum(),
            hold_ms: 0,
        }
    }

    /// The fleet as this instance knows it; `None` before the list was read.
    pub fn view(&self) -> Option<FleetView> {
        let (cards, age) = self.list.current()?;
        let state = self.state.lock();
        let is_left = |id: &EngineId| {
            state.leaving.get(id).is_some_and(|noted| noted.elapsed() < LEAVING_LIFE)
        };
        let led = state.led.as_ref().filter(|(_, heard)| heard.elapsed() < LED_LIFE);
        let led = led.map(|(view, _)| view);
        let models_of = |card: &EngineCard| match (&state.held, led) {
            (Some((held, _)), _) => held.get(&card.id).cloned(),
            (None, Some(view)) => view
                .engines
                .iter()
                .find(|known| known.id == card.id)
                .map(|known| known.models.clone()),
            (None, None) => None,
        };
        let engines = cards.iter().map(|card| {
            let mut card = card.clone();
            if let Some(models) = models_of(&card) {
                card.models = models;
            }
            if is_left(&card.id) {
                card.state = UpstreamState::Draining;
            }
            card
        });
        let (loads, loading, entries) = match (&state.held, led) {
            (None, Some(view)) => (view.loads.clone(), view.loading.clone(), view.entries),
            (held, _) => {
                let loading = held.as_ref().map(|(_, loading)| loading.clone());
                let entries = state.children.values().map(|(ask, _)| ask.entries).sum();
                (sum_loads(&state), loading.unwrap_or_default(), entries)
            }
        };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Some(FleetView { age_ms, engines: engines.collect(), loads, entries, loading })
    }
}

fn sum_loads(state: &BoardState) -> Vec<LoadCount> {
    let mut sums: BTreeMap<EngineId, (u32, u64)> = BTreeMap::new();
    let fresh = state.children.values().filter(|(_, heard)| heard.elapsed() < CHILD_LIFE);
    for load in fresh.flat_map(|(ask, _)| &ask.loads) {
        let sum = sums.entry(load.engine.clone()).or_default();
        sum.0 += load.active;
        sum.1 += load.tokens;
    }
    let counts = sums.into_iter();
    counts.map(|(engine, (active, tokens))| LoadCount { engine, active, tokens }).collect()
}
