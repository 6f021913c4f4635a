//! A service whose upstreams are discovered.

use std::sync::Arc;

use crate::EngineProfile;

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetService {
    /// Its name.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one upstream takes from all instances together.
    pub max_connections: usize,
    /// What its engines take; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}
