//! The state of an upstream stub.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};

use crate::config_document::{ENGINE_SERVICE, LOAD_S, MEMORY_MB, MODELS, SLOTS};
use crate::{SeenOrder, UpstreamFault};

/// The lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamPhase {
    Ready,
    Draining,
    Off,
}

/// The order that an upstream is carrying out.
#[derive(Clone, Debug)]
enum CurrentChange {
    Load { model: String, done_at: Instant },
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

/// Whether a request is admitted, or why it is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunAdmission {
    Runs,
    /// The request is for another upstream or for a model that isn't loaded.
    Misdirected,
    /// All slots are in use, or its model is being loaded or unloaded.
    Busy,
    /// It is refused by [`UpstreamFault::Refuses`].
    Resting,
}

/// State of the upstream at an address, reset at each restart.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) id: Arc<str>,
    pub(crate) service: &'static str,
    pub(crate) phase: UpstreamPhase,
    pub(crate) fault: Option<UpstreamFault>,
    started_unix_ms: u64,
    models: BTreeSet<String>,
    in_memory: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    change: Option<CurrentChange>,
    /// Number of orders accepted since the start.
    accepted: u64,
    fencing: u64,
    /// Number of running requests by model.
    runs: BTreeMap<String, usize>,
    /// Requests that were refused by [`UpstreamFault::Refuses`].
    refused: BTreeSet<Arc<str>>,
}

impl UpstreamState {
    pub(crate) fn new(id: Arc<str>, service: &'static str) -> Self {
        Self {
            id,
            service,
            phase: UpstreamPhase::Ready,
            fault: None,
            started_unix_ms: unix_millis(),
            models: BTreeSet::new(),
            in_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            change: None,
            accepted: 0,
            fencing: 0,
            runs: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Restarts with empty state; the disk is kept if the id stays the same.
    pub(crate) fn restart(&mut self, id: Arc<str>, service: &'static str) {
        let disk = std::mem::take(&mut self.on_disk);
        let keeps_disk = self.id == id;
        // Two starts under one id never have the same start time.
        let started_unix_ms = unix_millis().max(self.started_unix_ms + 1);
        *self = Self { started_unix_ms, ..Self::new(id, service) };
        if keeps_disk {
            self.on_disk = disk;
        }
    }

    fn finish_change(&mut self) {
        match &self.change {
            Some(CurrentChange::Load { model, done_at }) if Instant::now() >= *done_at => {
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

    /// Memory of loaded and loading models, in megabytes.
    fn used_mb(&self) -> u64 {
        let loading = match &self.change {
            Some(CurrentChange::Load { model, .. }) => Some(model),
            _ => None,
        };
        self.models.iter().chain(loading).filter_map(|model| size_mb(model)).sum()
    }

    /// Admits or refuses the request `id`, and counts an admitted one.
    pub(crate) fn admit(
        &mut self,
        target: Option<&str>,
        model: &str,
        id: &Arc<str>,
    ) -> RunAdmission {
        self.finish_change();
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
        } else if self.fault == Some(UpstreamFault::Refuses) && self.refused.insert(Arc::clone(id))
        {
            RunAdmission::Resting
        } else {
            *self.runs.entry(model.to_owned()).or_default() += 1;
            RunAdmission::Runs
        }
    }

    /// Counts the end of a run.
    pub(crate) fn end_run(&mut self, model: &str) {
        let remaining = self.runs.get(model).map_or(0, |count| count.saturating_sub(1));
        if remaining == 0 {
            self.runs.remove(model);
        } else {
            self.runs.insert(model.to_owned(), remaining);
        }
    }

    /// Handles an order; `None` if it is malformed.
    pub(crate) fn order(&mut self, target: Option<&str>, body: &[u8]) -> Option<SeenOrder> {
        self.finish_change();
        let order: WireOrder = serde_json::from_slice(body).ok()?;
        let is_load = order.operation == "load";
        let is_loaded = self.models.contains(&order.model);
        let is_local = self.on_disk.contains(&order.model) || self.in_memory.contains(&order.model);
        let status = match size_mb(&order.model) {
            _ if target.is_some_and(|target| target != &*self.id) => 421,
            None => 400,
            Some(_) if order.fencing_token < self.fencing => 412,
            Some(_) if self.change.is_some() => 409,
            Some(_) if order.expect.is_some_and(|expect| expect != self.accepted) => 409,
            Some(_) if is_load == is_loaded => 200,
            Some(_) => 202,
        };
        if status == 202 {
            self.accepted += 1;
            let done_at = Instant::now() + self.load_time(&order.model);
            let model = order.model;
            self.change = Some(match is_load {
                true => CurrentChange::Load { model, done_at },
                false => CurrentChange::Unload { model },
            });
            self.finish_change();
        }
        self.fencing = self.fencing.max(order.fencing_token);
        Some(SeenOrder {
            upstream: Arc::clone(&self.id),
            held_mb: self.used_mb(),
            room_mb: MEMORY_MB,
            holder: order.holder,
            fencing: order.fencing_token,
            is_store_load: status == 202 && is_load && !is_local,
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

    /// Its status report. Only the list shows that it leaves, as for every planned stop.
    pub(crate) fn report(&mut self) -> Value {
        self.finish_change();
        json!({"phase": "combined", "models": self.loaded_models(), "busy": self.change.is_some(),
            "born": self.started_unix_ms, "sequence": self.accepted,
            "available": {"inMemory": self.in_memory, "onDisk": self.on_disk}})
    }

    /// Its entry in the platform's instance list.
    pub(crate) fn entry(&mut self, address: SocketAddr, zone: &str) -> Value {
        self.finish_change();
        let state = if self.phase == UpstreamPhase::Draining { "draining" } else { "ready" };
        json!({"id": self.id, "service": self.service, "address": address.to_string(),
            "zone": zone, "version": "v1", "born": self.started_unix_ms, "slots": SLOTS,
            "state": state, "coldRemainingMs": 0,
            "models": self.loaded_models()})
    }

    fn loaded_models(&self) -> Vec<Value> {
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
