//! What an owner tells other instances of an upstream.

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
    /// Requests that run there or wait at the owner.
    pub in_use: u32,
    /// Time since its last request ended, in milliseconds.
    pub idle_ms: u64,
}

/// Sent by the owner of an upstream when its state changes, and again after a while.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineReport {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its data centre.
    pub centre: CentreName,
    /// The instance that owns it.
    pub owner: InstanceName,
    /// Where the owner takes relayed requests.
    pub relay: SocketAddr,
    /// Grows with each report of this owner's incarnation.
    pub sequence: u64,
    /// The upstream's incarnation.
    pub incarnation: IncarnationId,
    /// Whether the owner reaches it.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Models that take memory there.
    pub models: Vec<ModelState>,
    /// Its load.
    pub load: LoadReport,
    /// Requests that wait at the owner.
    pub queued: u32,
    /// Use of its models since the owner took over.
    pub usage: Vec<ModelUsage>,
    /// Requests that an earlier owner left running there; of which models isn't known.
    pub foreign: u32,
    /// Models of which the owner takes no new requests, because their replicas there drain.
    pub draining: Vec<ModelName>,
    /// Checkpoints in its host's memory.
    pub memory_checkpoints: Vec<ModelName>,
    /// Checkpoints on its disk.
    pub disk_checkpoints: Vec<ModelName>,
}

impl EngineReport {
    /// Whether new work may be sent there.
    pub fn takes_work(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// The models that answer requests there.
    pub fn loaded_models(&self) -> impl Iterator<Item = &ModelState> {
        self.models.iter().filter(|state| state.phase == ModelPhase::Loaded)
    }

    /// The state of `model` there, if it answers requests.
    pub fn loaded(&self, model: &ModelName) -> Option<&ModelState> {
        self.loaded_models().find(|state| &state.model == model)
    }
}
