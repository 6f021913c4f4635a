//! Settings of a plain service's client.

use std::net::SocketAddr;
use std::sync::Arc;

use wheel_types::UpstreamName;

use crate::{ConnectionLimits, PlainDialect, ServiceDialect};

/// Where a plain service is and how it is reached.
#[derive(Clone)]
pub struct ServiceSettings {
    /// Its name.
    pub name: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Bounds of its connections.
    pub limits: ConnectionLimits,
    /// What it speaks.
    pub dialect: Arc<dyn ServiceDialect>,
}

impl ServiceSettings {
    /// Settings with defaults for all but name and address.
    pub fn new(name: UpstreamName, address: SocketAddr) -> Self {
        let (limits, dialect) = (ConnectionLimits::default(), Arc::new(PlainDialect));
        Self { name, address, limits, dialect }
    }

    /// Sets the bounds of its connections.
    pub fn limits(mut self, limits: ConnectionLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets what it speaks.
    pub fn dialect(mut self, dialect: Arc<dyn ServiceDialect>) -> Self {
        self.dialect = dialect;
        self
    }
}
