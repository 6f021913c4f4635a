//! Settings of a hub.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::runtime::Handle;
use wheel_types::{IncarnationId, InstanceName};

use crate::{PeerLimits, PeerSecret};

/// Names, secret, address and limits of a [`PeerHub`](crate::PeerHub).
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The group's name; peers of another group are refused.
    pub group: Arc<str>,
    /// This instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// The group's secret; without one only loopback addresses are allowed.
    pub secret: Option<PeerSecret>,
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The limits.
    pub limits: PeerLimits,
    /// The runtime on which handlers run.
    pub runtime: Handle,
}

impl PeerSettings {
    /// Settings without a secret, on a free port of the loopback address.
    pub fn new(group: impl Into<Arc<str>>, instance: InstanceName, runtime: Handle) -> Self {
        Self {
            group: group.into(),
            instance,
            incarnation: IncarnationId::default(),
            secret: None,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            limits: PeerLimits::default(),
            runtime,
        }
    }

    /// Sets the incarnation.
    pub fn incarnation(mut self, incarnation: IncarnationId) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the secret.
    pub fn secret(mut self, secret: PeerSecret) -> Self {
        self.secret = Some(secret);
        self
    }

    /// Sets the address to listen on.
    pub fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }

    /// Sets the limits.
    pub fn limits(mut self, limits: PeerLimits) -> Self {
        self.limits = limits;
        self
    }
}
