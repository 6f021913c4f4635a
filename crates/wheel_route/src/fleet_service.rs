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
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: usize,
    /// Capacity of its engines; `None` for a service without models.
    pub engine: Option<EngineProfile>,
}
