//! The entries of a configuration.

use std::collections::BTreeMap;
use std::fmt::{self, Debug, Display};
use std::sync::Arc;

use crate::{EngineProfile, FleetConfig, FleetService, ModelProfile, RouteSpec, TeamSpec};

/// The values of an entry's fields as text, with the names of the fields. None of them is a key.
pub(crate) type EntryFields = Vec<(&'static str, String)>;

/// Identifies one entry of a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConfigEntry {
    /// What applies to all requests.
    General,
    /// A route. Its host and prefix are unique, its name need not be.
    Route {
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
        /// The name.
        name: Arc<str>,
    },
    /// A service.
    Service(Arc<str>),
    /// A model.
    Model {
        /// The service.
        service: Arc<str>,
        /// The model.
        model: Arc<str>,
    },
    /// A team.
    Team(Arc<str>),
}

impl ConfigEntry {
    /// The entries of a configuration. Of repeated services and models, the first counts.
    pub(crate) fn list(config: &FleetConfig) -> BTreeMap<Self, EntryFields> {
        let mut entries = BTreeMap::from([(Self::General, general_fields(config))]);
        for route in &config.routes {
            let (host, prefix) = (Arc::clone(&route.host), Arc::clone(&route.prefix));
            let entry = Self::Route { host, prefix, name: Arc::clone(&route.name) };
            entries.insert(entry, route_fields(route));
        }
        for service in &config.services {
            let name = &service.name;
            let entry = Self::Service(Arc::clone(name));
            if entries.contains_key(&entry) {
                continue;
            }
            entries.insert(entry, service_fields(service));
            for model in service.engine.iter().flat_map(|engine| &engine.models) {
                let (service, model_name) = (Arc::clone(name), Arc::clone(&model.name));
                let entry = Self::Model { service, model: model_name };
                entries.entry(entry).or_insert_with(|| model_fields(model));
            }
        }
        for team in config.teams.iter().flatten() {
            entries.insert(Self::Team(Arc::clone(&team.name)), team_fields(team));
        }
        entries
    }
}

impl Display for ConfigEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::General => formatter.write_str("configuration"),
            Self::Route { host, prefix, name } => {
                write!(formatter, "route `{name}` of {host}{prefix}")
            }
            Self::Service(name) => write!(formatter, "service `{name}`"),
            Self::Model { service, model } => {
                write!(formatter, "model `{model}` of service `{service}`")
            }
            Self::Team(name) => write!(formatter, "team `{name}`"),
        }
    }
}

fn text(value: impl Debug) -> String {
    format!("{value:?}")
}

fn general_fields(config: &FleetConfig) -> EntryFields {
    let limits = config.limits;
    vec![
        ("version", text(config.version)),
        ("keys needed", text(config.teams.is_some())),
        ("limit on a head in bytes", text(limits.header_bytes)),
        ("limit on a body in bytes", text(limits.body_bytes)),
        ("time for a head", text(limits.header_time)),
        ("idle time", text(limits.idle_time)),
    ]
}

fn route_fields(route: &RouteSpec) -> EntryFields {
    let target = |target: &crate::RouteTarget| format!("{} x {}", target.service, target.weight);
    let targets: Vec<String> = route.targets.iter().map(target).collect();
    vec![
        ("kind", text(route.kind)),
        ("services by weight", targets.join(", ")),
        ("time limit", text(route.time_limit)),
        ("objective", text(route.objective)),
        ("longest pause", route.gap.map_or_else(|| "none".to_owned(), text)),
        ("rank", text(route.rank)),
        ("attempts", text(route.max_attempts)),
        ("public", text(route.is_public)),
    ]
}

fn service_fields(service: &FleetService) -> EntryFields {
    let engine = service.engine.as_ref();
    let engine_text = |field: fn(&EngineProfile) -> String| engine.map_or("none".to_owned(), field);
    vec![
        ("health path", service.health_path.to_string()),
        ("connections", text(service.max_connections)),
        ("slots", engine_text(|engine| text(engine.slots))),
        ("tokens in the KV cache", engine_text(|engine| text(engine.kv_tokens))),
        ("memory in MB", engine_text(|engine| text(engine.memory_mb))),
        ("places for adapters", engine_text(|engine| text(engine.adapter_slots))),
        ("loads per second", engine_text(|engine| text(engine.loads_per_s))),
    ]
}

fn model_fields(model: &ModelProfile) -> EntryFields {
    vec![
        ("weights in MB", text(model.weights_mb)),
        ("load time from the store", text(model.store_load_time)),
        ("load time from memory", text(model.memory_load_time)),
        ("load time from disk", text(model.disk_load_time)),
        ("adapter in MB", text(model.adapter_mb)),
    ]
}

fn team_fields(team: &TeamSpec) -> EntryFields {
    let allowance = team.allowance;
    vec![
        ("rank", team.rank.map_or_else(|| "that of the route".to_owned(), text)),
        ("unit", text(allowance.unit)),
        ("rate per second", text(allowance.rate)),
        ("burst", text(allowance.burst)),
        ("cost of a plain request", text(allowance.plain_cost)),
    ]
}
