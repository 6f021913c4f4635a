//! The clients of the upstreams.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use wheel_route::{EngineCard, EngineId, FleetView};
use wheel_types::UpstreamName;
use wheel_upstream::{ConnectionLimits, ServiceClient, ServiceDialect, ServiceSettings};

/// The fewest calls that an instance may have open to an upstream, however many instances share it.
const MIN_OPEN: usize = 8;
/// Instances that are assumed to share an upstream while their number isn't known.
const ASSUMED_ENTRIES: u32 = 8;

/// One client for each start of each upstream.
pub struct UpstreamTable {
    dialect: Arc<dyn ServiceDialect>,
    clients: Mutex<HashMap<EngineId, ServiceClient>>,
}

impl UpstreamTable {
    /// Makes an empty table.
    pub fn open(dialect: Arc<dyn ServiceDialect>) -> Self {
        Self { dialect, clients: Mutex::default() }
    }

    /// The client of an upstream that takes `max_connections` from `entries` instances together.
    pub fn client(&self, card: &EngineCard, max_connections: usize, entries: u32) -> ServiceClient {
        let mut clients = self.clients.lock();
        let client = clients.entry(card.id.clone()).or_insert_with(|| {
            let entries = if entries == 0 { ASSUMED_ENTRIES } else { entries };
            let share = max_connections / (entries as usize + 1);
            let limits = ConnectionLimits {
                max_open: share.max(MIN_OPEN),
                max_idle: share.max(MIN_OPEN),
                idle_limit: Duration::from_secs(4),
                probe_after: Duration::from_secs(4),
                ..ConnectionLimits::default()
            };
            let name = UpstreamName::from(&*card.id.name);
            let settings = ServiceSettings::new(name, card.address)
                .limits(limits)
                .dialect(Arc::clone(&self.dialect));
            ServiceClient::open(settings)
        });
        client.clone()
    }

    /// Closes the idle connections of upstreams that aren't in the fleet any more.
    pub fn follow(&self, view: &FleetView) {
        let mut clients = self.clients.lock();
        clients.retain(|id, _| view.engines.iter().any(|card| card.id == *id));
    }
}
