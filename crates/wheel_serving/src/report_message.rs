//! What travels on the report channel between instances.

use serde::{Deserialize, Serialize};
use wheel_types::{EngineReport, ModelName, UpstreamName};

/// Tells the instances of a data centre whether a replica gets new requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DrainNotice {
    /// The engine.
    pub upstream: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// Whether the replica drains.
    pub draining: bool,
}

/// A message about upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ReportMessage {
    /// An owner's report.
    Engine(Box<EngineReport>),
    /// The lease holder's word on a replica.
    Drain(DrainNotice),
    /// Asks for all reports that the receiver holds, answered by a [`ReportList`].
    Query,
}

/// All reports that an instance holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReportList {
    /// The reports.
    pub reports: Vec<EngineReport>,
}

/// Sends reports to the other instances that need them.
pub trait ReportSink: Send + Sync + 'static {
    /// Sends a message; it may be lost, and is then repeated by the next report.
    fn publish(&self, message: ReportMessage);
}
