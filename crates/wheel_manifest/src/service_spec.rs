//! A service.

use serde::{Deserialize, Serialize};
use wheel_types::{AdapterName, CallerName, ModelName, ServiceName};

/// A service for callers: models behind the OpenAI paths, or a plain service behind a path prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// The name of its rank.
    pub rank: String,
    /// Callers that may use it; empty means all.
    #[serde(default)]
    pub callers: Vec<CallerName>,
    /// Models that it serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Adapters that it serves.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Services that it depends on.
    #[serde(default)]
    pub depends_on: Vec<ServiceName>,
    /// The IANA time zone that its demand follows.
    #[serde(default = "default_time_zone")]
    pub time_zone: String,
    /// Plain services: the path prefix, for example `/booking`.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Plain services: whether every call may be repeated. GET, HEAD and OPTIONS may always be.
    #[serde(default)]
    pub idempotent: bool,
}

const DEFAULT_TIME_ZONE: &str = "UTC";

fn default_time_zone() -> String {
    DEFAULT_TIME_ZONE.to_owned()
}
