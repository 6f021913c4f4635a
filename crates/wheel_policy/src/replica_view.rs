//! What the router knows about a replica.

use wheel_types::{AdapterName, CentreName, UpstreamName};

/// One loaded replica of a model, in this data centre or another.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaView {
    /// The engine.
    pub upstream: UpstreamName,
    /// Its data centre.
    pub centre: CentreName,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Adapters loaded for the model.
    pub adapters: Vec<AdapterName>,
    /// One-way delay from here, in milliseconds.
    pub delay_ms: f64,
    /// Price of transferring a gibibyte over the link from here.
    pub price: f64,
    /// Whether it accepts requests; false while it drains or its engine is leaving.
    pub accepts_work: bool,
}

impl Default for ReplicaView {
    fn default() -> Self {
        Self {
            upstream: "".into(),
            centre: "".into(),
            slots: 1,
            adapters: Vec::new(),
            delay_ms: 0.0,
            price: 0.0,
            accepts_work: true,
        }
    }
}
