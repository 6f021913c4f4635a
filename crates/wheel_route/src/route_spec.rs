//! One route.

use std::sync::Arc;
use std::time::Duration;

use crate::RouteKind;

/// A service that a route leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: Arc<str>,
    /// Its share of the route's requests.
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
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services, with their shares.
    pub targets: Vec<RouteTarget>,
    /// The longest time until the whole answer.
    pub time_limit: Duration,
    /// The time within which an answer counts in full; for streams, to the first event.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is in time.
    pub gap: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Engines that one request may be sent to.
    pub max_attempts: u32,
}

impl RouteSpec {
    /// The service for a request, by a number drawn evenly from all of them.
    pub fn pick_service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut rest = draw.checked_rem(total)?;
        for target in &self.targets {
            match u64::from(target.weight) {
                weight if rest < weight => return Some(&target.service),
                weight => rest -= weight,
            }
        }
        None
    }
}
