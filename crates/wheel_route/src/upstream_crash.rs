//! What instances report of upstreams that ended under requests.

use serde::{Deserialize, Serialize};

use crate::EngineId;

/// A part of a prompt with which a request was open at an upstream when that ended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashedPart {
    /// Its id.
    pub id: u64,
    /// Its position in the prompt.
    pub position: u32,
    /// Milliseconds since the last request with it was sent to that upstream.
    pub sent_age_ms: u64,
}

/// An upstream that closed the connections under open requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamCrash {
    /// The upstream.
    pub engine: EngineId,
    /// Milliseconds since it closed the first one.
    pub age_ms: u64,
    /// The parts of these requests' prompts, each without the last one.
    pub parts: Vec<CrashedPart>,
}

/// A part with which a request ended well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SoundPart {
    /// Its id.
    pub id: u64,
    /// Milliseconds since the last such end.
    pub age_ms: u64,
}

/// A part with which requests aren't sent, since upstreams ended under them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BarredPart {
    /// Its id.
    pub id: u64,
    /// Milliseconds since it was barred.
    pub age_ms: u64,
}
