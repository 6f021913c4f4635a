//! One upstream as the list and the reports show it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies one start of an upstream: its id, and when that start was.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct EngineId {
    /// The id, which a restarted upstream may have again.
    pub name: Arc<str>,
    /// Unix milliseconds of the start; 0 where that isn't known.
    pub born: u64,
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum UpstreamState {
    /// It takes work.
    Ready,
    /// It is leaving: no new work.
    Draining,
}

/// A model that an engine holds, with its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldModel {
    /// The model.
    pub name: Arc<str>,
    /// Its version.
    pub version: u32,
    /// The adapters loaded beside it.
    pub adapters: Vec<Arc<str>>,
}

/// An engine or a plain service's upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCard {
    /// Which start of which upstream this is.
    pub id: EngineId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// What it holds.
    pub models: Vec<HeldModel>,
}

impl EngineCard {
    /// Whether it holds `model`, and `adapter` beside it if one is given.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let held = self.models.iter().find(|held| &*held.name == model);
        held.is_some_and(|held| {
            adapter.is_none_or(|adapter| held.adapters.iter().any(|name| &**name == adapter))
        })
    }
}
