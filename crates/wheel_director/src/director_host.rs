//! Interface between the director and its instance.

use std::time::Instant;

use wheel_types::{EngineReport, ModelName, UpstreamName};

/// An owner's report and when it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: EngineReport,
    /// When it was received.
    pub received: Instant,
}

/// Connects the director with the rest of its instance.
pub trait DirectorHost: Send + Sync + 'static {
    /// The newest report of each upstream, of all data centres.
    fn reports(&self) -> Vec<ReceivedReport>;

    /// Notifies the instances of the data centre whether a replica drains and gets no new requests.
    fn set_draining(&self, upstream: &UpstreamName, model: &ModelName, draining: bool);

    /// Records a decision for the `explain` command.
    fn record(&self, subject: &str, decision: String, reason: String);
}
