//! What is wrong with a configuration.

use std::sync::Arc;

use snafu::Snafu;

/// Why a configuration is refused as a whole.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigFault {
    /// It can't be read in full.
    #[snafu(display("the document can't be read: {reason}"))]
    Unreadable {
        /// What the reader says.
        reason: String,
    },
    /// A route leads to a service that isn't there.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two routes share a host and a prefix.
    #[snafu(display("routes `{first}` and `{second}` have the same host and prefix"))]
    SamePlace {
        /// One of them.
        first: Arc<str>,
        /// The other one.
        second: Arc<str>,
    },
    /// A route's weights add up to 0.
    #[snafu(display("the weights of route `{route}` add up to 0"))]
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A route has no time.
    #[snafu(display("route `{route}` has a time limit of 0"))]
    NoTime {
        /// The route.
        route: Arc<str>,
    },
    /// A prefix doesn't begin and end with a slash.
    #[snafu(display(
        "the prefix `{prefix}` of route `{route}` doesn't begin and end with a slash"
    ))]
    BadPrefix {
        /// The route.
        route: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
}
