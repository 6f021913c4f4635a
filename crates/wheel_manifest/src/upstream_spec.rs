//! An upstream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wheel_types::{CentreName, ServiceName, UpstreamName};

/// What kind of upstream it is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine, controlled by orders.
    Engine,
    /// A server of plain services.
    Service,
}

/// An upstream's address and capacity.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// The upstream's name.
    pub name: UpstreamName,
    /// Its kind.
    pub kind: UpstreamKind,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Its address.
    pub address: SocketAddr,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Engines: memory for models and adapters, in mebibytes.
    #[serde(default)]
    pub memory_mib: u64,
    /// Engines: number of accelerators, which are idle while it serves nothing.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
    /// Engines: whether it refuses orders with stale fencing numbers.
    #[serde(default)]
    pub enforces_fencing: bool,
    /// Servers of plain services: the services that it serves.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

const DEFAULT_ACCELERATORS: u32 = 1;

fn default_accelerators() -> u32 {
    DEFAULT_ACCELERATORS
}
