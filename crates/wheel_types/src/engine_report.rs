//! Reports about an upstream that its owner sends to other instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, CentreName, IncarnationId, InstanceName, LoadReport, ModelName, ModelPhase,
    ModelState, UpstreamName,
};

/// How much a model, or an adapter of it, is used on one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ModelUsage {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Requests that run on the engine or wait at the owner.
    pub in_use: u32,
    /// Time since its last request ended, in milliseconds.
    pub idle_ms: u64,
}

/// An upstream's state, sent by its owner after each change and repeated periodically.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its data centre.
    pub centre: CentreName,
    /// The instance that owns it.
    pub owner: InstanceName,
    /// The address at which the owner accepts relayed requests.
    pub relay: SocketAddr,
    /// Increases with each report during one incarnation of the owner.
    pub sequence: u64,
    /// The upstream's incarnation.
    pub incarnation: IncarnationId,
    /// Whether the owner can reach it.
    pub reachable: bool,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Models that occupy memory on it.
    pub models: Vec<ModelState>,
    /// Its load.
    pub load: LoadReport,
    /// Requests that wait at the owner.
    pub queued: u32,
    /// Usage of its models since the owner took over.
    pub usage: Vec<ModelUsage>,
    /// Requests that a previous owner left running on it; their models aren't known.
    #[serde(rename = "foreign")]
    pub external_running: u32,
    /// Models for which the owner accepts no new requests because their replicas on it drain.
    pub draining: Vec<ModelName>,
    /// Checkpoints in its host's memory.
    pub memory_checkpoints: Vec<ModelName>,
    /// Checkpoints on its disk.
    pub disk_checkpoints: Vec<ModelName>,
}

impl EngineReport {
    /// Whether new work may be sent to it.
    pub fn accepts_work(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// The models on it that can serve requests.
    pub fn loaded_models(&self) -> impl Iterator<Item = &ModelState> {
        self.models.iter().filter(|state| state.phase == ModelPhase::Loaded)
    }

    /// The state of `model` on it, if the model can serve requests.
    pub fn loaded(&self, model: &ModelName) -> Option<&ModelState> {
        self.loaded_models().find(|state| &state.model == model)
    }
}
