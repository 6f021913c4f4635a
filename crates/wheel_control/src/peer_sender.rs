//! Sends messages of the replicated log to other control instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use wheel_agreement::{NodeId, RaftMessage, encode};
use wheel_peer::{PeerChannel, PeerHub};
use wheel_types::InstanceName;

use crate::AddressResolver;

/// Messages in flight to one instance; further ones are dropped, from which the log recovers.
const MAX_IN_FLIGHT: usize = 64;
/// Time after which a message counts as lost.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends without waiting; a message may be lost.
pub(crate) struct PeerSender {
    hub: PeerHub,
    resolver: Arc<dyn AddressResolver>,
    runtime: Handle,
    in_flight: HashMap<InstanceName, Arc<Semaphore>>,
}

impl PeerSender {
    pub(crate) fn new(hub: PeerHub, resolver: Arc<dyn AddressResolver>, runtime: Handle) -> Self {
        Self { hub, resolver, runtime, in_flight: HashMap::new() }
    }

    /// Sends `message` from `own` to `to`.
    pub(crate) fn send(&mut self, own: &NodeId, to: &NodeId, message: &RaftMessage) {
        let permits = self.in_flight.entry(to.instance.clone());
        let permits = permits.or_insert_with(|| Arc::new(Semaphore::new(MAX_IN_FLIGHT)));
        let (Ok(permit), Some(address), Ok(body)) = (
            Arc::clone(permits).try_acquire_owned(),
            self.resolver.peer_address(&to.instance),
            encode(&(own, to, message)),
        ) else {
            return;
        };
        let hub = self.hub.clone();
        self.runtime.spawn(async move {
            // After a loss the log's own heartbeats trigger another send.
            let _ = hub.call(&address, PeerChannel::Agreement, body, MESSAGE_TIMEOUT).await;
            drop(permit);
        });
    }
}
