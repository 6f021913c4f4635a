//! Callers' demand for models.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A model of a service, with an adapter or without.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DemandKey {
    /// The service.
    pub service: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if one is requested.
    pub adapter: Option<Arc<str>>,
}

/// Demand for one model since the last report, and the requests that wait for it now.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandCount {
    /// The requested model.
    pub key: DemandKey,
    /// Requests that arrived since the last report, each weighted by its urgency.
    pub worth: f64,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Requests that wait for the model to be loaded.
    pub waiting: u32,
}
