//! Warnings about a valid configuration, collected.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::{
    AllowanceUnit, ConfigWarning, EngineProfile, FleetConfig, FleetService, ModelProfile,
    RouteSpec, TeamSpec,
};

/// Collects the warnings about a configuration that has no error.
#[derive(Debug)]
pub struct ConfigCheck<'a> {
    config: &'a FleetConfig,
    /// The longest time limit of the routes that send to a service.
    time_limits: HashMap<&'a str, Duration>,
    warnings: Vec<ConfigWarning>,
}

impl<'a> ConfigCheck<'a> {
    /// The warnings about `config`, which follows `earlier` if that is given, in the order of
    /// routes, services, limits and teams.
    pub fn run(config: &'a FleetConfig, earlier: Option<&FleetConfig>) -> Vec<ConfigWarning> {
        let mut check = Self { config, time_limits: longest_limits(config), warnings: Vec::new() };
        check.check_version(earlier);
        let teams = config.teams.as_deref();
        let has_key = teams.is_none_or(|teams| teams.iter().any(|team| !team.keys.is_empty()));
        for route in &config.routes {
            check.check_route(route, has_key);
        }
        check.check_services();
        check.check_limits();
        for team in teams.unwrap_or_default() {
            check.check_team(team);
        }
        check.warnings
    }

    fn push_if(&mut self, is_found: bool, warning: impl FnOnce() -> ConfigWarning) {
        if is_found {
            self.warnings.push(warning());
        }
    }

    fn check_version(&mut self, earlier: Option<&FleetConfig>) {
        let version = self.config.version;
        let stale = earlier.filter(|earlier| version <= earlier.version && self.config != *earlier);
        let warning = |earlier: &FleetConfig| ConfigWarning::StaleVersion {
            version,
            earlier: earlier.version,
        };
        self.warnings.extend(stale.map(warning));
    }

    fn check_route(&mut self, spec: &RouteSpec, has_key: bool) {
        let (host, prefix, time_limit) = (&spec.host, &spec.prefix, spec.time_limit);
        let route = || Arc::clone(&spec.name);
        // The route of a request is looked up by the host without the port and the path without the
        // query.
        let is_host =
            !host.is_empty() && !host.contains(is_delimiter) && !host.contains([':', '/']);
        self.push_if(!is_host, || ConfigWarning::UnmatchedHost {
            route: route(),
            host: Arc::clone(host),
        });
        self.push_if(prefix.contains(is_delimiter), || ConfigWarning::UnmatchedPrefix {
            route: route(),
            prefix: Arc::clone(prefix),
        });
        self.push_if(!has_key && !spec.is_public, || ConfigWarning::UncallableRoute {
            route: route(),
        });
        for target in &spec.targets {
            self.push_if(target.weight == 0, || ConfigWarning::WeightlessTarget {
                route: route(),
                service: Arc::clone(&target.service),
            });
        }
        self.push_if(spec.objective > time_limit, || ConfigWarning::LateObjective {
            route: route(),
            objective: spec.objective,
            time_limit,
        });
        let gap = spec.gap.unwrap_or_default();
        self.push_if(gap > time_limit, || ConfigWarning::LongGap {
            route: route(),
            gap,
            time_limit,
        });
    }

    fn check_services(&mut self) {
        let config = self.config;
        let mut seen = HashSet::new();
        for service in &config.services {
            match seen.insert(&*service.name) {
                true => self.check_service(service),
                false => self
                    .warnings
                    .push(ConfigWarning::RepeatedService { service: Arc::clone(&service.name) }),
            }
        }
    }

    fn check_service(&mut self, service: &FleetService) {
        let engine = service.engine.as_ref();
        let time_limit = self.time_limits.get(&*service.name).copied();
        self.push_if(time_limit.is_none(), || ConfigWarning::UnroutedService {
            service: Arc::clone(&service.name),
            models: engine.map_or(0, |engine| engine.models.len()),
        });
        let mut seen = HashSet::new();
        let Some(engine) = engine else { return };
        for model in &engine.models {
            match seen.insert(&*model.name) {
                true => self.check_model(service, engine, model, time_limit),
                false => self.warnings.push(ConfigWarning::RepeatedModel {
                    service: Arc::clone(&service.name),
                    model: Arc::clone(&model.name),
                }),
            }
        }
    }

    fn check_model(
        &mut self,
        service: &FleetService,
        engine: &EngineProfile,
        profile: &ModelProfile,
        time_limit: Option<Duration>,
    ) {
        let (weights_mb, memory_mb) = (profile.weights_mb, engine.memory_mb);
        let (adapter_mb, free_mb) = (profile.adapter_mb, memory_mb - weights_mb);
        let service = || Arc::clone(&service.name);
        let model = || Arc::clone(&profile.name);
        self.push_if(free_mb < 0.0, || ConfigWarning::OversizedModel {
            service: service(),
            model: model(),
            weights_mb,
            memory_mb,
        });
        self.push_if(free_mb >= 0.0 && adapter_mb > free_mb, || ConfigWarning::OversizedAdapter {
            service: service(),
            model: model(),
            adapter_mb,
            free_mb,
        });
        self.push_if(adapter_mb > 0.0 && engine.adapter_slots == 0, || {
            ConfigWarning::UnplacedAdapter { service: service(), model: model() }
        });
        let load_time = profile.store_load_time;
        let time_limit = time_limit.unwrap_or(Duration::MAX);
        self.push_if(load_time > time_limit, || ConfigWarning::SlowLoad {
            service: service(),
            model: model(),
            load_time,
            time_limit,
        });
    }

    fn check_limits(&mut self) {
        let limits = self.config.limits;
        let values = [
            ("the size of a request's head", limits.header_bytes == 0),
            ("the time for a request's head", limits.header_time.is_zero()),
            ("the time that a connection may be idle", limits.idle_time.is_zero()),
        ];
        for (limit, is_zero) in values {
            self.push_if(is_zero, || ConfigWarning::ZeroLimit { limit });
        }
    }

    fn check_team(&mut self, spec: &TeamSpec) {
        let (allowance, is_limited) = (spec.allowance, spec.allowance.is_limited());
        let (burst, cost) = (allowance.burst, allowance.cost(None));
        let counts_tokens = allowance.unit == AllowanceUnit::Tokens;
        let team = || Arc::clone(&spec.name);
        self.push_if(spec.keys.is_empty(), || ConfigWarning::KeylessTeam { team: team() });
        self.push_if(is_limited && burst < cost as f64, || ConfigWarning::SmallBurst {
            team: team(),
            burst,
            cost,
        });
        self.push_if(!is_limited && burst > 0.0, || ConfigWarning::UnlimitedBurst { team: team() });
        self.push_if(!counts_tokens && allowance.plain_cost > 0, || {
            ConfigWarning::UnusedPlainCost { team: team(), cost: allowance.plain_cost }
        });
        self.push_if(is_limited && cost == 0, || ConfigWarning::FreePlainRequest { team: team() });
    }
}

/// Whether a character ends a host or a path in a request, or can't be sent in one.
fn is_delimiter(character: char) -> bool {
    matches!(character, '?' | '#') || character.is_whitespace() || character.is_control()
}

fn longest_limits(config: &FleetConfig) -> HashMap<&str, Duration> {
    let mut limits: HashMap<&str, Duration> = HashMap::new();
    for route in &config.routes {
        for target in route.targets.iter().filter(|target| target.weight > 0) {
            let limit = limits.entry(&*target.service).or_default();
            *limit = route.time_limit.max(*limit);
        }
    }
    limits
}
