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

/// Messages on their way to one instance; further ones are dropped, which the log makes up for.
const MAX_IN_FLIGHT: usize = 64;
/// Time after which a message counts as lost.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends without waiting; a message may be lost.
pub(crate) struct PeerSender {
    hub: PeerHub,
    book: Arc<dyn AddressResolver>,
    runtime: Handle,
    in_flight: HashMap<InstanceName, Arc<Semaphore>>,
}

impl PeerSender {
    pub(crate) fn new(hub: PeerHub, book: Arc<dyn AddressResolver>, runtime: Handle) -> Self {
        Self { hub, book, runtime, in_flight: HashMap::new() }
    }

    /// Sends `message` from `own` to `to`.
    pub(crate) fn send(&mut self, own: &NodeId, to: &NodeId, message: &RaftMessage) {
        let permits = self.in_flight.entry(to.instance.clone());
        let permits = permits.or_insert_with(|| Arc::new(Semaphore::new(MAX_IN_FLIGHT)));
        let (Ok(permit), Some(address), Ok(body)) = (
            Arc::clone(permits).try_acquire_owned(),
            self.book.peer_address(&to.instance),
            encode(&(own, to, message)),
        ) else {
            return;
        };
        let hub = self.hub.clone();
        self.runtime.spawn(async move {
            // Losses are made up for by the log's own heartbeats.
            let _ = hub.call(&address, PeerChannel::Agreement, body, MESSAGE_TIMEOUT).await;
            drop(permit);
        });
    }
}
