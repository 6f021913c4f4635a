//! The configuration in force.

use wheel_route::{FleetConfig, RouteTable};

/// A configuration with the index of its routes.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Its routes by place.
    pub table: RouteTable,
}

impl ActiveConfig {
    /// Indexes a configuration.
    pub fn new(config: FleetConfig) -> Self {
        let table = RouteTable::new(&config);
        Self { config, table }
    }
}
