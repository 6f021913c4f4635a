//! Whom callers ask, for what and how often.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::CallKind;

/// A route that callers use.
#[derive(Clone, Debug)]
pub struct CallRoute {
    /// The host.
    pub host: Arc<str>,
    /// The whole path.
    pub path: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// The caller's time; not over the route's own.
    pub deadline: Duration,
    /// Whether its requests name a model.
    pub has_model: bool,
}

/// What a caller does.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Its name; its requests' ids begin so.
    pub name: Arc<str>,
    /// The processes that it asks.
    pub processes: Vec<(Arc<str>, SocketAddr)>,
    /// What it asks for.
    pub routes: Vec<CallRoute>,
    /// The models that it names, loaded or not.
    pub models: Vec<Arc<str>>,
    /// Requests a second, without those sent again.
    pub rate_per_s: f64,
    /// All that it does is drawn from this.
    pub seed: u64,
    /// How long beyond its time it waits for an answer, before it gives up.
    pub patience: Duration,
}
