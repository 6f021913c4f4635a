//! Warnings about a valid configuration.

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

/// A part of a valid configuration that has no effect, or that contradicts another part.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ConfigWarning {
    /// A configuration that differs from an earlier one has no higher version.
    #[snafu(display("version {version} isn't above version {earlier}, so it doesn't take effect"))]
    StaleVersion {
        /// The version.
        version: u64,
        /// The version of the earlier configuration.
        earlier: u64,
    },
    /// The host of a route is none that a request is looked up with.
    #[snafu(display("route `{route}` never matches: no request has the host `{host}`"))]
    UnmatchedHost {
        /// The route.
        route: Arc<str>,
        /// The host.
        host: Arc<str>,
    },
    /// The prefix of a route has characters that the path of a request can't have.
    #[snafu(display("route `{route}` never matches: no path begins with `{prefix}`"))]
    UnmatchedPrefix {
        /// The route.
        route: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// Requests of a route need a key, and no team has one.
    #[snafu(display("route `{route}` isn't public, and no team has a key for it"))]
    UncallableRoute {
        /// The route.
        route: Arc<str>,
    },
    /// A route never sends to one of its services.
    #[snafu(display("route `{route}` never sends to service `{service}`: its weight is 0"))]
    WeightlessTarget {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// No route sends to a service.
    #[snafu(display("no route sends to service `{service}` ({models} models)"))]
    UnroutedService {
        /// The service.
        service: Arc<str>,
        /// The number of its models, which can't be requested.
        models: usize,
    },
    /// A service repeats the name of another one.
    #[snafu(display("service `{service}` is listed twice; requests use the first entry"))]
    RepeatedService {
        /// The service.
        service: Arc<str>,
    },
    /// A model repeats the name of another one of its service.
    #[snafu(display("model `{model}` of service `{service}` is listed twice"))]
    RepeatedModel {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
    },
    /// No engine of the service can hold a model.
    #[snafu(display(
        "model `{model}` of service `{service}` has {weights_mb} MB, an engine holds {memory_mb} MB"
    ))]
    OversizedModel {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// Size of the model, in megabytes.
        weights_mb: f64,
        /// Memory of an engine, in megabytes.
        memory_mb: f64,
    },
    /// No engine of the service can hold a model together with one adapter.
    #[snafu(display(
        "an adapter of model `{model}` of service `{service}` doesn't fit beside the model: \
         {adapter_mb} MB, of which {free_mb} MB are free"
    ))]
    OversizedAdapter {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// Size of an adapter, in megabytes.
        adapter_mb: f64,
        /// Memory that the model leaves, in megabytes.
        free_mb: f64,
    },
    /// A model has adapters, and the engines have no place for one.
    #[snafu(display(
        "model `{model}` of service `{service}` has adapters, but an engine has no place for one"
    ))]
    UnplacedAdapter {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
    },
    /// No request can wait for a load of a model from the weight store.
    #[snafu(display(
        "model `{model}` of service `{service}` takes {load_time:?} to load, \
         longer than the longest time limit of its routes ({time_limit:?})"
    ))]
    SlowLoad {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// Duration of a load from the weight store.
        load_time: Duration,
        /// The longest time limit of the routes that send to the service.
        time_limit: Duration,
    },
    /// The objective of a route can't be missed before its time limit ends.
    #[snafu(display(
        "the objective of route `{route}` ({objective:?}) is above its time limit ({time_limit:?})"
    ))]
    LateObjective {
        /// The route.
        route: Arc<str>,
        /// The objective.
        objective: Duration,
        /// The time limit.
        time_limit: Duration,
    },
    /// The target for pauses of a route is longer than its requests may take.
    #[snafu(display(
        "the longest pause of route `{route}` ({gap:?}) is above its time limit ({time_limit:?})"
    ))]
    LongGap {
        /// The route.
        route: Arc<str>,
        /// The target for the longest pause.
        gap: Duration,
        /// The time limit.
        time_limit: Duration,
    },
    /// A limit on callers' requests refuses all of them.
    #[snafu(display("the limit on {limit} is 0"))]
    ZeroLimit {
        /// What is limited.
        limit: &'static str,
    },
    /// A team has no key, so that no request is the team's.
    #[snafu(display("team `{team}` has no key"))]
    KeylessTeam {
        /// The team.
        team: Arc<str>,
    },
    /// A team's burst is smaller than the cost of one plain request.
    #[snafu(display(
        "the burst of team `{team}` ({burst}) is below the cost of one plain request ({cost})"
    ))]
    SmallBurst {
        /// The team.
        team: Arc<str>,
        /// The burst, in units.
        burst: f64,
        /// The cost, in units.
        cost: u64,
    },
    /// A team has a burst and no rate, which means no limit.
    #[snafu(display("team `{team}` has a burst without a rate, so its use isn't limited"))]
    UnlimitedBurst {
        /// The team.
        team: Arc<str>,
    },
    /// A team's plain cost isn't used, since its requests are counted.
    #[snafu(display(
        "the cost of plain requests of team `{team}` ({cost}) isn't used: requests are counted"
    ))]
    UnusedPlainCost {
        /// The team.
        team: Arc<str>,
        /// The plain cost, in units.
        cost: u64,
    },
    /// Plain requests of a team with a limit on tokens cost nothing.
    #[snafu(display(
        "requests of team `{team}` that state no tokens cost nothing, so they aren't limited"
    ))]
    FreePlainRequest {
        /// The team.
        team: Arc<str>,
    },
}
