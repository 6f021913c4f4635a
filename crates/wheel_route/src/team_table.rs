//! Lookup of the team that holds a key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{FleetConfig, KeyDigest, TeamSpec};

/// The teams of one configuration, indexed by their keys.
#[derive(Clone, Debug, Default)]
pub struct TeamTable {
    teams: Option<HashMap<KeyDigest, Arc<TeamSpec>>>,
}

impl TeamTable {
    /// Indexes the teams of a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let index = |teams: &Vec<Arc<TeamSpec>>| {
            let keys = teams.iter().flat_map(|team| team.keys.iter().map(move |key| (*key, team)));
            keys.map(|(key, team)| (key, Arc::clone(team))).collect()
        };
        Self { teams: config.teams.as_ref().map(index) }
    }

    /// Whether the configuration has teams, so that requests need a key.
    pub fn requires_key(&self) -> bool {
        self.teams.is_some()
    }

    /// The team that holds a key. Digests are compared, so the time of the lookup reveals nothing
    /// about keys.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<TeamSpec>> {
        self.teams.as_ref()?.get(key)
    }
}
