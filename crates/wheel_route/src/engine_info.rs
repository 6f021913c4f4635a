//! One upstream as described by the instance list and by engines' reports.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one start of an upstream by its id and start time.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct EngineId {
    /// The id, which a restarted upstream may reuse.
    pub name: Arc<str>,
    /// Unix time of the start in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
}

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// A model that an engine has loaded, with its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldModel {
    /// The model.
    pub name: Arc<str>,
    /// Its version.
    pub version: u32,
    /// The adapters loaded for it.
    pub adapters: Vec<Arc<str>>,
}

/// An engine, or an upstream of a service without models.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineInfo {
    /// The upstream and its start.
    pub id: EngineId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its listen address.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: UpstreamState,
    /// The models that it has loaded.
    pub models: Vec<HeldModel>,
}

impl EngineInfo {
    /// Whether `model` is loaded, and `adapter` too if one is given.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let held = self.models.iter().find(|held| &*held.name == model);
        held.is_some_and(|held| {
            adapter.is_none_or(|adapter| held.adapters.iter().any(|name| &**name == adapter))
        })
    }
}
