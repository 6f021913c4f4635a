//! What instances tell each other several times a second.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{DemandCount, EngineId, FleetView};

/// Requests that are under way at one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadCount {
    /// The upstream.
    pub engine: EngineId,
    /// Requests under way.
    pub active: u32,
    /// Prompt and answer tokens of these.
    pub tokens: u64,
}

/// Where a control instance is reached by other instances.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ControlPlace {
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
}

/// What an instance tells the control instance above it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SyncAsk {
    /// Who tells.
    pub instance: Arc<str>,
    /// Whether it takes callers' requests.
    pub is_entry: bool,
    /// The configuration version held there; a newer document comes with the reply.
    pub version: u64,
    /// Where it listens for others and stands, if it is a control instance.
    pub control: Option<ControlPlace>,
    /// What is under way from there.
    pub loads: Vec<LoadCount>,
    /// What was asked for there since the last call.
    pub demand: Vec<DemandCount>,
    /// Upstreams that refused work there because they are leaving.
    pub leaving: Vec<EngineId>,
    /// Engines that refused requests there because they don't hold what they were said to hold.
    pub doubtful: Vec<EngineId>,
    /// Entry instances below it, itself included.
    pub entries: u32,
    /// Milliseconds for which the reply may wait for a change of what engines hold.
    pub hold_ms: u32,
}

/// The control instance's reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SyncReply {
    /// A newer configuration: its version, and the document as it was sent.
    pub document: Option<(u64, Arc<[u8]>)>,
    /// The fleet; `None` where nothing is known yet.
    pub fleet: Option<FleetView>,
    /// The control instances that are known.
    pub control: Vec<ControlPlace>,
    /// Milliseconds since the replying instance was certainly in touch with the group.
    pub group_age_ms: u64,
}
