//! Settings of an instance that discovers its seeds, upstreams and configuration at run time.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use wheel_policy::AllowanceBounds;

/// Number of voters that tolerates the simultaneous loss of `losses` of them.
pub const fn voters_for(losses: usize) -> usize {
    2 * losses + 1
}

/// The role of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetRole {
    /// Accepts callers' requests.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where readiness is served.
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

/// Limits of the deployment from which timings are derived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Time between the last order of one holder of the order authority and the first of the next.
    pub holder_pause: Duration,
    /// The window of the weight store's rate limit.
    pub store_window: Duration,
    /// The factor by which loads may exceed the weight store's rate limit in one window.
    pub store_burst: f64,
    /// Retries per request, over all instances.
    pub retry_share: f64,
    /// Retries allowed in addition to that share in one window, over all instances.
    pub extra_retries: f64,
    /// The window in which retries are limited.
    pub retry_window: Duration,
    /// Time from the signal to the end of the process.
    pub grace: Duration,
    /// Time without contact after which an instance counts as lost.
    pub contact_timeout: Duration,
    /// Time within which a key that was withdrawn must not be accepted by any instance, also one that
    /// can't reach the others; `None` if that binds only instances that can.
    pub key_withdrawal: Option<Duration>,
    /// What the use of each team with an allowance must not exceed in any window.
    pub allowances: AllowanceBounds,
}

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its address for other instances, also used as its name.
    pub peer: SocketAddr,
    /// Its name in orders and logs.
    pub label: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Its role.
    pub role: FleetRole,
    /// Initial control instances by their addresses for other instances; may change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The address of the list of upstreams.
    pub list_address: SocketAddr,
    /// The shared secret with which instances authenticate each other.
    pub secret: Arc<[u8]>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Memory that the process may use, in bytes, if that is known.
    pub memory: Option<usize>,
    /// Limits of the deployment.
    pub bounds: FleetBounds,
    /// Whether requests wait and are placed by expected times, for deployments whose load exceeds
    /// their engines at times.
    pub controls_load: bool,
    /// Whether requests also wait for room in this instance. Off by default: it serves fewer callers
    /// where engines are lost during a flood.
    pub waits_for_room: bool,
    /// Whether engines' loads are also planned by the time until they are ready. Off by default for
    /// the same reason.
    pub plans_by_time: bool,
}
