//! Settings of request proxying.

use std::sync::Arc;
use std::time::Duration;

use wheel_policy::SharedBudgetSettings;

/// Settings with which an ingress instance serves requests.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// The instance's data centre.
    pub centre: Arc<str>,
    /// Retries that all ingress instances together may send.
    pub retries: SharedBudgetSettings,
    /// Age of the proof of the configuration above which no key counts as held; `None` if keys hold
    /// without proof.
    pub max_key_proof_age: Option<Duration>,
    /// Whether requests wait and are placed by expected times.
    pub controls_load: bool,
    /// Whether requests wait here while the engines with their model are full.
    pub waits_for_room: bool,
}
