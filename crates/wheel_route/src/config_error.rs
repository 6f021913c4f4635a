//! Validation errors of a configuration.

use std::sync::Arc;

use snafu::Snafu;

/// Why a configuration is rejected as a whole.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigError {
    /// The document can't be parsed.
    #[snafu(display("the document can't be read: {reason}"))]
    Unreadable {
        /// The parser's message.
        reason: String,
    },
    /// A route targets a service that isn't defined.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("routes `{first}` and `{second}` have the same host and prefix"))]
    DuplicateRoute {
        /// The route that comes first in the document.
        first: Arc<str>,
        /// The route that repeats its host and prefix.
        second: Arc<str>,
    },
    /// A route's weights add up to 0.
    #[snafu(display("the weights of route `{route}` add up to 0"))]
    ZeroWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A route has a time limit of 0.
    #[snafu(display("route `{route}` has a time limit of 0"))]
    ZeroTimeLimit {
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
