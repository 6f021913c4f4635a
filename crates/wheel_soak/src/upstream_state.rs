//! What an upstream stand-in holds and is told.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};

use crate::config_document::{ENGINE_SERVICE, LOAD_S, MODELS, ROOM_MB, SLOTS};
use crate::{SeenOrder, UpstreamFault};

/// Whether an upstream takes part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamPhase {
    Ready,
    Draining,
    Off,
}

/// The order that an upstream carries out.
#[derive(Clone, Debug)]
enum CurrentChange {
    Load { model: String, done: Instant },
    Unload { model: String },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireOrder {
    operation: String,
    model: String,
    expect: Option<u64>,
    holder: Arc<str>,
    fencing_token: u64,
}

/// Why a request isn't run, or the leave to run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunAdmission {
    Runs,
    /// Another upstream or model is meant.
    Misdirected,
    /// There is no room, or its model is under way.
    Busy,
}

/// One life after another of an upstream at an address.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) id: Arc<str>,
    pub(crate) service: &'static str,
    pub(crate) phase: UpstreamPhase,
    pub(crate) fault: Option<UpstreamFault>,
    born: u64,
    models: BTreeSet<String>,
    in_memory: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    change: Option<CurrentChange>,
    /// Orders that were accepted in this life.
    accepted: u64,
    fencing: u64,
    /// Running requests by their model.
    runs: BTreeMap<String, usize>,
}

impl UpstreamState {
    pub(crate) fn new(id: Arc<str>, service: &'static str) -> Self {
        Self {
            id,
            service,
            phase: UpstreamPhase::Ready,
            fault: None,
            born: unix_millis(),
            models: BTreeSet::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            change: None,
            accepted: 0,
            fencing: 0,
            runs: BTreeMap::new(),
        }
    }

    /// Begins a life that knows nothing of the one before; with the same id, the disk stays.
    pub(crate) fn begin_life(&mut self, id: Arc<str>, service: &'static str) {
        let disk = std::mem::take(&mut self.on_disk);
        let keeps_disk = self.id == id;
        // Two lives of one id never have one birth.
        let born = unix_millis().max(self.born + 1);
        *self = Self { born, ..Self::new(id, service) };
        if keeps_disk {
            self.on_disk = disk;
        }
    }

    fn settle(&mut self) {
        match &self.change {
            Some(CurrentChange::Load { model, done }) if Instant::now() >= *done => {
                self.models.insert(model.clone());
                self.in_memory.insert(model.clone());
                self.on_disk.insert(model.clone());
                self.change = None;
            }
            Some(CurrentChange::Unload { model }) if !self.runs.contains_key(model) => {
                self.models.remove(model);
                self.change = None;
            }
            _ => {}
        }
    }

    /// The memory that all it holds and loads takes, in megabytes.
    fn held_mb(&self) -> u64 {
        let loading = match &self.change {
            Some(CurrentChange::Load { model, .. }) => Some(model),
            _ => None,
        };
        self.models.iter().chain(loading).filter_map(|model| size_mb(model)).sum()
    }

    /// Decides about a request and counts it, if it runs.
    pub(crate) fn admit(&mut self, target: Option<&str>, model: &str) -> RunAdmission {
        self.settle();
        let is_engine = self.service == ENGINE_SERVICE;
        let is_changing = match &self.change {
            Some(CurrentChange::Load { model: changing, .. })
            | Some(CurrentChange::Unload { model: changing }) => changing == model,
            None => false,
        };
        if target.is_some_and(|target| target != &*self.id) {
            RunAdmission::Misdirected
        } else if is_engine && is_changing {
            RunAdmission::Busy
        } else if is_engine && !self.models.contains(model) {
            RunAdmission::Misdirected
        } else if self.runs.values().sum::<usize>() >= SLOTS {
            RunAdmission::Busy
        } else {
            *self.runs.entry(model.to_owned()).or_default() += 1;
            RunAdmission::Runs
        }
    }

    /// Counts a run's end.
    pub(crate) fn end_run(&mut self, model: &str) {
        let left = self.runs.get(model).map_or(0, |count| count.saturating_sub(1));
        if left == 0 {
            self.runs.remove(model);
        } else {
            self.runs.insert(model.to_owned(), left);
        }
    }

    /// Answers an order; `None` if it can't be read.
    pub(crate) fn order(&mut self, target: Option<&str>, body: &[u8]) -> Option<SeenOrder> {
        self.settle();
        let order: WireOrder = serde_json::from_slice(body).ok()?;
        let is_load = order.operation == "load";
        let is_held = self.models.contains(&order.model);
        let is_kept = self.on_disk.contains(&order.model) || self.in_memory.contains(&order.model);
        let status = match size_mb(&order.model) {
            _ if target.is_some_and(|target| target != &*self.id) => 421,
            None => 400,
            Some(_) if order.fencing_token < self.fencing => 412,
            Some(_) if self.change.is_some() => 409,
            Some(_) if order.expect.is_some_and(|expect| expect != self.accepted) => 409,
            Some(_) if is_load == is_held => 200,
            Some(_) => 202,
        };
        if status == 202 {
            self.accepted += 1;
            let done = Instant::now() + self.load_time(&order.model);
            let model = order.model;
            self.change = Some(match is_load {
                true => CurrentChange::Load { model, done },
                false => CurrentChange::Unload { model },
            });
            self.settle();
        }
        self.fencing = self.fencing.max(order.fencing_token);
        Some(SeenOrder {
            upstream: Arc::clone(&self.id),
            held_mb: self.held_mb(),
            room_mb: ROOM_MB,
            holder: order.holder,
            fencing: order.fencing_token,
            is_store_load: status == 202 && is_load && !is_kept,
            status,
        })
    }

    fn load_time(&self, model: &str) -> Duration {
        let [store, disk, memory] = LOAD_S;
        let seconds = match () {
            () if self.in_memory.contains(model) => memory,
            () if self.on_disk.contains(model) => disk,
            () => store,
        };
        Duration::from_secs_f64(seconds)
    }

    /// What it says of itself.
    pub(crate) fn report(&mut self) -> Value {
        self.settle();
        let state = if self.phase == UpstreamPhase::Draining { "draining" } else { "ready" };
        json!({"phase": "combined", "models": self.held(), "busy": self.change.is_some(),
            "born": self.born, "sequence": self.accepted, "state": state,
            "available": {"inMemory": self.in_memory, "onDisk": self.on_disk}})
    }

    /// Its entry on the platform's list.
    pub(crate) fn entry(&mut self, address: SocketAddr, zone: &str) -> Value {
        self.settle();
        let state = if self.phase == UpstreamPhase::Draining { "draining" } else { "ready" };
        json!({"id": self.id, "service": self.service, "address": address.to_string(),
            "zone": zone, "born": self.born, "slots": SLOTS, "state": state,
            "models": self.held()})
    }

    fn held(&self) -> Vec<Value> {
        let models = self.models.iter();
        models.map(|model| json!({"name": model, "version": 1, "adapters": []})).collect()
    }
}

fn size_mb(model: &str) -> Option<u64> {
    MODELS.iter().find(|(name, _)| *name == model).map(|(_, size)| *size)
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}
