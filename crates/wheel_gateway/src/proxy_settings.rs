//! Settings of request proxying.

use std::sync::Arc;

/// Settings with which an ingress instance serves requests.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The instance's data centre.
    pub centre: Arc<str>,
    /// Retries that are allowed per request.
    pub retry_share: f64,
    /// Maximum number of unused retries that accumulate.
    pub retry_reserve: f64,
}
