//! Settings of request proxying.

use std::sync::Arc;

use wheel_policy::SharedBudgetSettings;

/// Settings with which an ingress instance serves requests.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The instance's data centre.
    pub centre: Arc<str>,
    /// Retries that all ingress instances together may send.
    pub retries: SharedBudgetSettings,
}
