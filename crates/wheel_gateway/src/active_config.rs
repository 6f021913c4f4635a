//! The configuration in force.

use std::sync::Arc;

use wheel_route::{FleetConfig, RouteTable, TeamTable};

/// A configuration with the indexes of its routes and keys.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Its routes, indexed by host and prefix.
    pub table: RouteTable,
    /// Its teams, indexed by their keys.
    pub teams: TeamTable,
}

impl ActiveConfig {
    /// Indexes the routes and keys of a configuration.
    pub fn new(config: FleetConfig) -> Self {
        let table = RouteTable::new(&config);
        let teams = TeamTable::new(&config);
        Self { config, table, teams }
    }

    /// `next` with the keys of this configuration that it withdraws: the planted fault
    /// `withdrawn_key_kept`.
    pub(crate) fn keep_withdrawn_keys(&self, mut next: FleetConfig) -> FleetConfig {
        for team in next.teams.iter_mut().flatten() {
            let mut teams = self.config.teams.iter().flatten();
            if let Some(previous) = teams.find(|previous| previous.name == team.name) {
                let team = Arc::make_mut(team);
                team.keys.extend(&previous.keys);
            }
        }
        next
    }
}
