//! What the director learns from owners and tells them.

use std::time::Instant;

use wheel_types::{EngineReport, ModelName, UpstreamName};

/// An owner's report and when it came.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: EngineReport,
    /// When it came.
    pub received: Instant,
}

/// Connects the director with the rest of its instance.
pub trait DirectorHost: Send + Sync + 'static {
    /// The newest report of each upstream, of all data centres.
    fn reports(&self) -> Vec<ReceivedReport>;

    /// Tells the instances of the data centre whether a replica gets new requests.
    fn set_draining(&self, upstream: &UpstreamName, model: &ModelName, draining: bool);

    /// Records a decision for `explain`.
    fn record(&self, subject: &str, decision: String, reason: String);
}
