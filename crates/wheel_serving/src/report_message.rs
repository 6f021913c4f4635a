//! Messages on the report channel between instances.

use serde::{Deserialize, Serialize};
use wheel_types::{EngineReport, ModelName, UpstreamName};

/// Notifies the instances of a data centre whether a replica drains and gets no new requests.
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
    /// A drain notice of the lease holder.
    Drain(DrainNotice),
    /// Requests all reports that the receiver holds, answered by a [`ReportList`].
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
    /// Sends a message. It may be lost; the next report then replaces it.
    fn publish(&self, message: ReportMessage);
}
