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
    /// The teams aren't a list. The parser's message isn't shown, since it may quote a key.
    #[snafu(display("the teams aren't a list"))]
    UnreadableTeams,
    /// A team can't be told from its entry.
    #[snafu(display("team {index} (counted from 0) isn't an object or has a field twice"))]
    UnreadableTeam {
        /// Its position in the document.
        index: usize,
    },
    /// A field of a team has a value of another type. The value isn't shown, since it may be a key.
    #[snafu(display("the field `{field}` of team `{team}` has a value of the wrong type"))]
    BadTeamField {
        /// The team.
        team: Arc<str>,
        /// The name of the field.
        field: &'static str,
    },
    /// A team has no name.
    #[snafu(display("team {index} (counted from 0) has no name"))]
    UnnamedTeam {
        /// Its position in the document.
        index: usize,
    },
    /// A team has a name that can't be sent to upstreams.
    #[snafu(display("the name of team `{team}` has characters that a header can't carry"))]
    BadTeamName {
        /// The team.
        team: Arc<str>,
    },
    /// Two teams have the same name.
    #[snafu(display("the team `{team}` is listed twice"))]
    DuplicateTeam {
        /// The team.
        team: Arc<str>,
    },
    /// A team has a key that no request can carry. The key itself isn't shown.
    #[snafu(display(
        "key {position} (counted from 0) of team `{team}` is empty or no header value"
    ))]
    BadKey {
        /// The team.
        team: Arc<str>,
        /// Position of the key in the team.
        position: usize,
    },
    /// A key is listed twice, in two teams or in one. The key itself isn't shown.
    #[snafu(display(
        "key {position} (counted from 0) of team `{second}` is also a key of team `{first}`"
    ))]
    SharedKey {
        /// The team that comes first in the document.
        first: Arc<str>,
        /// The team that repeats the key.
        second: Arc<str>,
        /// Position of the key in the second team.
        position: usize,
    },
    /// A rate, a burst or a cost of a team is negative or no number.
    #[snafu(display("the allowance of team `{team}` has a negative or unreadable number"))]
    BadAllowance {
        /// The team.
        team: Arc<str>,
    },
}
