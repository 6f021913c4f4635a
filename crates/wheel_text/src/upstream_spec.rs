//! An upstream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wheel_types::{CentreName, ServiceName, UpstreamName};

/// What kind of upstream it is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine, under orders.
    Engine,
    /// A server of plain services.
    Service,
}

/// Where an upstream is and what it can hold.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// The upstream's name.
    pub name: UpstreamName,
    /// Its kind.
    pub kind: UpstreamKind,
    /// The data centre that it stands in.
    pub data_centre: CentreName,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Engines: memory for models and adapters, in mebibytes.
    #[serde(default)]
    pub memory_mib: u64,
    /// Engines: how many accelerators stand idle when it serves nothing.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
    /// Engines: whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub enforces_fencing: bool,
    /// Service servers: the services that it answers.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

const DEFAULT_ACCELERATORS: u32 = 1;

fn default_accelerators() -> u32 {
    DEFAULT_ACCELERATORS
}
