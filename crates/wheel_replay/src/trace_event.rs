//! One line of a trace after its header.

use serde::{Deserialize, Serialize};
use wheel_types::{AdapterName, CallerName, ModelName, ServiceName, UpstreamName};

/// An event of a trace.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum TraceEvent {
    /// A request arrived.
    Arrival(TraceArrival),
    /// A fault began.
    Fault(TraceFault),
}

/// A request with everything that is needed to replay it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TraceArrival {
    /// When it arrived, in milliseconds after the trace's start.
    pub at_ms: u64,
    /// The caller that sent it.
    pub caller: CallerName,
    /// The service that it used.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The requested adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Data centre that received it, as an index into the manifest's list.
    pub centre: usize,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Tokens of the answer.
    pub tokens_out: u32,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TraceFault {
    /// When it begins, in milliseconds after the trace's start.
    pub at_ms: u64,
    /// How long it lasts, in seconds.
    pub for_s: u64,
    /// What fails.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What fails.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum FaultKind {
    /// Every load from the store takes `factor` times as long.
    StoreSlowed {
        /// Factor of the duration.
        factor: f64,
    },
    /// A data centre and the others can't reach each other.
    CentreCut {
        /// Its index in the manifest's list.
        centre: usize,
    },
    /// An engine stops at once and comes back empty, with its disk intact.
    EngineLost {
        /// The engine.
        upstream: UpstreamName,
    },
    /// The first engine that is loading a model is lost as with [`FaultKind::EngineLost`].
    LoadingEngineLost,
    /// Engines are reclaimed after a notice and come back as new machines.
    EnginesReclaimed {
        /// Number of engines, taken from each data centre in turn.
        count: usize,
        /// Time between the notice and the loss, in seconds.
        notice_s: u64,
    },
}

impl TraceEvent {
    /// When it happens, in milliseconds after the trace's start.
    pub fn at_ms(&self) -> u64 {
        match self {
            Self::Arrival(arrival) => arrival.at_ms,
            Self::Fault(fault) => fault.at_ms,
        }
    }
}
