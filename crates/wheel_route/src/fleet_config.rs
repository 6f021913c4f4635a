//! A complete configuration.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::{ConfigError, FleetService, IngressLimits, RouteSpec, TeamSpec};

/// Routes, services and teams of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<FleetService>,
    /// Limits on callers' requests.
    pub limits: IngressLimits,
    /// The teams; `None` if requests need no keys.
    pub teams: Option<Vec<Arc<TeamSpec>>>,
}

impl FleetConfig {
    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&FleetService> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Checks constraints that involve several fields.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn check(&self) -> Result<(), ConfigError> {
        let services: HashSet<&str> = self.services.iter().map(|service| &*service.name).collect();
        let mut seen = HashMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let key = (&route.host, &route.prefix);
            if let Some(first) = seen.insert(key, &route.name) {
                let (first, second) = (first.clone(), route.name.clone());
                return Err(ConfigError::DuplicateRoute { first, second });
            }
        }
        check_teams(self.teams.as_deref().unwrap_or_default())
    }
}

fn check_teams(teams: &[Arc<TeamSpec>]) -> Result<(), ConfigError> {
    let (mut names, mut holders) = (HashSet::new(), HashMap::new());
    for (index, team) in teams.iter().enumerate() {
        let name = &team.name;
        let allowance = team.allowance;
        let is_count = |value: f64| value.is_finite() && value >= 0.0;
        match () {
            () if name.is_empty() => return Err(ConfigError::UnnamedTeam { index }),
            () if !names.insert(Arc::clone(name)) => {
                return Err(ConfigError::DuplicateTeam { team: Arc::clone(name) });
            }
            () if !is_count(allowance.rate) || !is_count(allowance.burst) => {
                return Err(ConfigError::BadAllowance { team: Arc::clone(name) });
            }
            () => {}
        }
        for (position, key) in team.keys.iter().enumerate() {
            if let Some(first) = holders.insert(*key, Arc::clone(name)) {
                let second = Arc::clone(name);
                return Err(ConfigError::SharedKey { first, second, position });
            }
        }
    }
    Ok(())
}

fn check_route(route: &RouteSpec, services: &HashSet<&str>) -> Result<(), ConfigError> {
    let name = route.name.clone();
    let unknown = route.targets.iter().find(|target| !services.contains(&*target.service));
    let weight: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let is_delimited = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    match unknown {
        Some(target) => {
            Err(ConfigError::UnknownService { route: name, service: target.service.clone() })
        }
        None if weight == 0 => Err(ConfigError::ZeroWeight { route: name }),
        None if route.time_limit.is_zero() => Err(ConfigError::ZeroTimeLimit { route: name }),
        None if !is_delimited => {
            Err(ConfigError::BadPrefix { route: name, prefix: route.prefix.clone() })
        }
        None => Ok(()),
    }
}
