//! Settings of an engine's client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wheel_types::UpstreamName;

use crate::{CallTimeouts, ConnectionLimits, EngineDialect, WheelDialect};

/// Address, limits and protocol of an engine.
#[derive(Clone)]
pub struct EngineSettings {
    /// Its name.
    pub name: UpstreamName,
    /// Its address.
    pub address: SocketAddr,
    /// Limits of its connections.
    pub limits: ConnectionLimits,
    /// Timeouts of all calls but generations, which carry their own.
    pub timeouts: CallTimeouts,
    /// Longest time from the sending of an order to its arrival or loss.
    pub order_life: Duration,
    /// Its protocol.
    pub dialect: Arc<dyn EngineDialect>,
}

impl EngineSettings {
    /// Creates settings with defaults for everything but name and address.
    pub fn new(name: UpstreamName, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            limits: ConnectionLimits::default(),
            timeouts: CallTimeouts::default()
                .first_byte(Duration::from_secs(1))
                .total(Duration::from_secs(2)),
            order_life: Duration::from_secs(2),
            dialect: Arc::new(WheelDialect),
        }
    }

    /// Sets the limits of its connections.
    pub fn limits(mut self, limits: ConnectionLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the timeouts of state, load, cache events and cancels.
    pub fn timeouts(mut self, timeouts: CallTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Sets the longest time from the sending of an order to its arrival or loss.
    pub fn order_life(mut self, order_life: Duration) -> Self {
        self.order_life = order_life;
        self
    }

    /// Sets its protocol.
    pub fn dialect(mut self, dialect: Arc<dyn EngineDialect>) -> Self {
        self.dialect = dialect;
        self
    }
}
