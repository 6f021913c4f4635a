//! Definition of a route.

use std::sync::Arc;
use std::time::Duration;

use crate::RouteKind;

/// A service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: Arc<str>,
    /// Its weight; the service gets this share of the sum of the route's weights.
    pub weight: u32,
}

/// How requests of one host and path prefix are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteSpec {
    /// Its name.
    pub name: Arc<str>,
    /// The host, in lower case.
    pub host: Arc<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// The services, with their weights.
    pub targets: Vec<RouteTarget>,
    /// Time limit for the complete response.
    pub time_limit: Duration,
    /// Target latency of the complete response; for streams, of the first event.
    pub objective: Duration,
    /// Target for the longest pause between two events of a stream.
    pub gap: Option<Duration>,
    /// Its priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key, also if the configuration has teams.
    pub is_public: bool,
}

impl RouteSpec {
    /// Picks the service for a request by weight; `draw` is uniformly random.
    pub fn pick_service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for target in &self.targets {
            match u64::from(target.weight) {
                weight if remaining < weight => return Some(&target.service),
                weight => remaining -= weight,
            }
        }
        None
    }
}
