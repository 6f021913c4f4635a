//! Settings of a caller: its processes, routes and request rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::{CallKind, TeamKey};

/// A route that callers send requests to.
#[derive(Clone, Debug)]
pub struct CallRoute {
    /// The `host` header.
    pub host: Arc<str>,
    /// The complete path.
    pub path: Arc<str>,
    /// Whether requests may be repeated or resumed.
    pub kind: CallKind,
    /// The caller's deadline, which doesn't exceed the route's own time limit.
    pub deadline: Duration,
    /// Maximum number of upstreams at which one request may run.
    pub max_engines: usize,
    /// Whether requests name a model.
    pub has_model: bool,
}

/// Settings of one caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Its name, which is the prefix of its request ids.
    pub name: Arc<str>,
    /// Names and addresses of the processes that it sends requests to.
    pub processes: Vec<(Arc<str>, SocketAddr)>,
    /// The routes that it chooses from.
    pub routes: Vec<CallRoute>,
    /// The models that it chooses from, loaded or not.
    pub models: Vec<Arc<str>>,
    /// Requests per second, without resends.
    pub rate_per_s: f64,
    /// Seed of all its random choices.
    pub seed: u64,
    /// Time after its deadline at which it gives up waiting for an answer.
    pub deadline_slack: Duration,
    /// The key that it sends; `None` in a run without teams.
    pub key: Option<TeamKey>,
}
