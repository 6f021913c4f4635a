//! What callers ask for.

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
    /// The adapter, if one is asked for.
    pub adapter: Option<Arc<str>>,
}

/// What was asked for since the last report, and what waits right now.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandCount {
    /// What is asked for.
    pub key: DemandKey,
    /// Value of the requests that arrived since the last report: each counts its urgency's weight.
    pub worth: f64,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Requests that wait for it to be loaded.
    pub waiting: u32,
}
