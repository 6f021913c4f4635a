//! Clients to the relay addresses of owners.

use std::net::SocketAddr;
use std::sync::Arc;

use lru::LruCache;
use parking_lot::Mutex;
use wheel_types::{InstanceName, UpstreamName};
use wheel_upstream::{
    ConnectionLimits, EngineClient, EngineSettings, ServiceClient, ServiceSettings,
};

/// Limit of owners with open connections; beyond it the least recently used is closed.
const MAX_OWNERS: std::num::NonZeroUsize = std::num::NonZeroUsize::new(256).unwrap();

/// Limit of concurrent calls to one owner.
const MAX_OPEN: usize = 4_096;

/// The two clients to one owner. An owner's relay speaks the protocols of an engine and of a plain
/// service, so that a relayed call gets the same guarantees as a direct one.
#[derive(Clone)]
pub(crate) struct RelayClient {
    pub(crate) engine: EngineClient,
    pub(crate) service: ServiceClient,
}

/// Keeps as many idle connections as may be open, or each burst would open new ones.
fn relay_limits() -> ConnectionLimits {
    let limits = ConnectionLimits::default();
    ConnectionLimits { max_open: MAX_OPEN, max_idle: MAX_OPEN, ..limits }
}

/// Keeps a bounded number of relay clients.
pub struct RelayClients {
    clients: Mutex<LruCache<SocketAddr, RelayClient>>,
}

impl Default for RelayClients {
    fn default() -> Self {
        Self { clients: Mutex::new(LruCache::new(MAX_OWNERS)) }
    }
}

impl RelayClients {
    /// Creates an empty set.
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    /// The client to `owner` at `relay`.
    pub(crate) fn client(&self, owner: &InstanceName, relay: SocketAddr) -> RelayClient {
        let mut clients = self.clients.lock();
        let make = || {
            let name = UpstreamName::new(format!("relay/{owner}"));
            RelayClient {
                engine: EngineClient::open(
                    EngineSettings::new(name.clone(), relay).limits(relay_limits()),
                ),
                service: ServiceClient::open(
                    ServiceSettings::new(name, relay).limits(relay_limits()),
                ),
            }
        };
        clients.get_or_insert(relay, make).clone()
    }
}
