//! Route lookup.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{FleetConfig, RouteSpec};

/// The routes of one configuration, indexed by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteSpec>>>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for route in &config.routes {
            let prefixes = hosts.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::new(route.clone()));
        }
        Self { hosts }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.hosts.get(name.as_str())?;
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.filter_map(|end| prefixes.get(&path[..end])).next()
    }
}
