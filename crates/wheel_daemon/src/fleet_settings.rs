//! Settings of an instance whose seeds, upstreams and configuration all come from outside.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// Voters that bear the loss of `losses` of them at once.
pub const fn voters_for(losses: usize) -> usize {
    2 * losses + 1
}

/// What the instance does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetRole {
    /// Takes callers' requests.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where readiness is asked for.
        readiness: SocketAddr,
    },
    /// Takes part in the replicated log.
    Control {
        /// Where operators connect.
        operators: SocketAddr,
        /// The data folder.
        folder: PathBuf,
        /// Whether the instances named as seeds form a new group.
        may_bootstrap: bool,
        /// The number of voters that the group keeps.
        voters: usize,
    },
}

/// Bounds of the deployment that the product derives its times from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Time between the last order of one holder and the first of the next.
    pub holder_pause: Duration,
    /// The window of the weight store's allowance.
    pub store_window: Duration,
    /// How far above its allowance the weight store bears loads in one window.
    pub store_burst: f64,
    /// Second sends for each request, over all instances.
    pub retry_share: f64,
    /// Second sends that are allowed beyond that share, over all instances.
    pub retry_extra: f64,
    /// Time from the signal to the end of the process.
    pub grace: Duration,
    /// Time for which an instance may be out of touch before it counts as lost.
    pub contact: Duration,
}

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its address for other instances, which is also its name.
    pub peer: SocketAddr,
    /// The name that orders carry and logs show.
    pub label: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// What it does.
    pub role: FleetRole,
    /// Control instances to begin with, by their addresses for other instances; may change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The list of upstreams.
    pub list: SocketAddr,
    /// The secret that instances prove to each other.
    pub secret: Arc<[u8]>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Bounds.
    pub bounds: FleetBounds,
}
