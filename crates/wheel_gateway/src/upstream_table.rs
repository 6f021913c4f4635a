//! Clients for the upstreams.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use wheel_route::{EngineId, EngineInfo, FleetView};
use wheel_types::UpstreamName;
use wheel_upstream::{ConnectionLimits, ServiceClient, ServiceDialect, ServiceSettings};

/// Minimum number of open calls that an instance may have at an upstream, regardless of how many
/// instances share it.
const MIN_OPEN: usize = 8;
/// Number of instances assumed to share an upstream while the real number is unknown.
const ASSUMED_INGRESS_COUNT: u32 = 8;

/// One client for each start of each upstream.
pub struct UpstreamTable {
    dialect: Arc<dyn ServiceDialect>,
    clients: Mutex<HashMap<EngineId, ServiceClient>>,
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn open(dialect: Arc<dyn ServiceDialect>) -> Self {
        Self { dialect, clients: Mutex::default() }
    }

    /// The client of an upstream that accepts `max_connections` from `ingress_count` instances
    /// together.
    pub fn client(
        &self,
        info: &EngineInfo,
        max_connections: usize,
        ingress_count: u32,
    ) -> ServiceClient {
        let mut clients = self.clients.lock();
        let client = clients.entry(info.id.clone()).or_insert_with(|| {
            let ingress_count =
                if ingress_count == 0 { ASSUMED_INGRESS_COUNT } else { ingress_count };
            let share = max_connections / (ingress_count as usize + 1);
            let limits = ConnectionLimits {
                max_open: share.max(MIN_OPEN),
                max_idle: share.max(MIN_OPEN),
                idle_timeout: Duration::from_secs(4),
                probe_after_idle: Duration::from_secs(4),
                ..ConnectionLimits::default()
            };
            let name = UpstreamName::from(&*info.id.name);
            let settings = ServiceSettings::new(name, info.address)
                .limits(limits)
                .dialect(Arc::clone(&self.dialect));
            ServiceClient::open(settings)
        });
        client.clone()
    }

    /// Drops the clients of upstreams that aren't in the fleet any more, closing idle connections.
    pub fn prune_departed(&self, view: &FleetView) {
        let mut clients = self.clients.lock();
        clients.retain(|id, _| view.engines.iter().any(|info| info.id == *id));
    }
}
