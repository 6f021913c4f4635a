//! The configuration in force.

use wheel_route::{FleetConfig, RouteTable};

/// A configuration with the index of its routes.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Its routes, indexed by host and prefix.
    pub table: RouteTable,
}

impl ActiveConfig {
    /// Indexes the routes of a configuration.
    pub fn new(config: FleetConfig) -> Self {
        let table = RouteTable::new(&config);
        Self { config, table }
    }
}
