//! One line of a trace after its header.

use serde::{Deserialize, Serialize};
use wheel_types::{AdapterName, CallerName, ModelName, ServiceName, UpstreamName};

/// Something that happened at a time, in milliseconds after the trace's start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum TraceEvent {
    /// A request came.
    Arrival(TraceArrival),
    /// Something failed.
    Fault(TraceFault),
}

/// A request, as it would have to be sent again.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TraceArrival {
    /// When, in milliseconds after the trace's start.
    pub at_ms: u64,
    /// Who sent it.
    pub caller: CallerName,
    /// The service that it used.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter, if one was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Data centre that took it, as an index into the text's list.
    pub centre: usize,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Tokens of the answer.
    pub tokens_out: u32,
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TraceFault {
    /// When, in milliseconds after the trace's start.
    pub at_ms: u64,
    /// For how long, in seconds.
    pub for_s: u64,
    /// What.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What fails.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum FaultKind {
    /// Every load from the store takes this many times longer.
    StoreSlowed {
        /// How many times.
        factor: f64,
    },
    /// A data centre can't be reached from the others, nor they from it.
    CentreCut {
        /// Its index in the text's list.
        centre: usize,
    },
    /// An engine is gone at once and comes back empty, its disk intact.
    EngineLost {
        /// The engine.
        upstream: UpstreamName,
    },
    /// The first engine that is loading a model is gone, as [`FaultKind::EngineLost`].
    LoadingEngineLost,
    /// Engines are reclaimed after a notice and come back as new machines.
    EnginesReclaimed {
        /// How many, from each data centre in turn.
        count: usize,
        /// Time between the notice and the end, in seconds.
        notice_s: u64,
    },
}

impl TraceEvent {
    /// When it happened, in milliseconds after the trace's start.
    pub fn at_ms(&self) -> u64 {
        match self {
            Self::Arrival(arrival) => arrival.at_ms,
            Self::Fault(fault) => fault.at_ms,
        }
    }
}
