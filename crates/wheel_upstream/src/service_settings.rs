//! Settings of a plain service's client.

use std::net::SocketAddr;
use std::sync::Arc;

use wheel_types::UpstreamName;

use crate::{ConnectionLimits, PlainDialect, ServiceDialect};

/// Address, limits and protocol of a plain service.
#[derive(Clone)]
pub struct ServiceSettings {
    /// Its name.
    pub name: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Limits of its connections.
    pub limits: ConnectionLimits,
    /// Its protocol.
    pub dialect: Arc<dyn ServiceDialect>,
}

impl ServiceSettings {
    /// Creates settings with defaults for everything but name and address.
    pub fn new(name: UpstreamName, address: SocketAddr) -> Self {
        let (limits, dialect) = (ConnectionLimits::default(), Arc::new(PlainDialect));
        Self { name, address, limits, dialect }
    }

    /// Sets the limits of its connections.
    pub fn limits(mut self, limits: ConnectionLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets its protocol.
    pub fn dialect(mut self, dialect: Arc<dyn ServiceDialect>) -> Self {
        self.dialect = dialect;
        self
    }
}
