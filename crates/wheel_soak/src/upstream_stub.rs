//! A stub of an upstream of the system under test, with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;
use wheel_harness::{LinkRelay, LinkState};

use crate::upstream_shared::UpstreamShared;
use crate::upstream_state::UpstreamPhase;
use crate::wire_server::bind_wire;
use crate::{ObservationSink, SeenEvent, SoakError, UpstreamFault};

/// A running stub behind a link.
pub struct UpstreamStub {
    shared: Arc<UpstreamShared>,
    link: LinkRelay,
    zone: String,
    task: AbortHandle,
}

impl UpstreamStub {
    /// Listens on a free port as the upstream `id` of `service`.
    ///
    /// # Errors
    /// [`SoakError`] if no port is free.
    pub async fn bind(
        id: Arc<str>,
        service: &'static str,
        zone: &str,
        sink: ObservationSink,
    ) -> Result<Self, SoakError> {
        let shared = Arc::new(UpstreamShared::new(id, service, sink));
        let (address, task) = bind_wire(Arc::clone(&shared)).await?;
        let link = LinkRelay::bind(address).await?;
        Ok(Self { shared, link, zone: zone.to_owned(), task })
    }

    /// Its current id.
    pub fn id(&self) -> Arc<str> {
        Arc::clone(&self.shared.state.lock().id)
    }

    /// Its current service.
    pub fn service(&self) -> &'static str {
        self.shared.state.lock().service
    }

    /// The address at which the system reaches it.
    pub fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Changes the state of the link to it.
    pub fn set_link(&self, state: LinkState) {
        self.link.set(state);
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: Option<UpstreamFault>) {
        self.shared.state.lock().fault = fault;
    }

    /// Announces that it leaves; it keeps running until it is stopped.
    pub fn leave(&self) {
        let mut state = self.shared.state.lock();
        state.phase = UpstreamPhase::Draining;
        self.shared.sink.record(SeenEvent::UpstreamLeaves { upstream: Arc::clone(&state.id) });
    }

    /// Stops it immediately and resets all connections.
    pub fn stop(&self) {
        self.shared.state.lock().phase = UpstreamPhase::Off;
        self.shared.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Restarts it with empty memory.
    pub fn start(&self, id: Arc<str>, service: &'static str) {
        self.shared.state.lock().restart(id, service);
    }

    /// Restarts it at once under the same id and without its models, unless it leaves or is off.
    pub fn crash(&self) {
        if self.shared.state.lock().phase != UpstreamPhase::Ready {
            return;
        }
        let (kind, target): (Arc<str>, _) = ("upstream_crash".into(), self.id());
        let began = SeenEvent::FaultBegan { kind: Arc::clone(&kind), target: Arc::clone(&target) };
        self.shared.sink.record(began);
        self.shared.crash();
        self.shared.sink.record(SeenEvent::FaultEnded { kind, target });
    }

    /// The time of the last order that it received, and its sender.
    pub fn last_order(&self) -> Option<(Duration, Arc<str>)> {
        self.shared.last_order.lock().clone()
    }

    /// Its entry in the instance list, unless it is off.
    pub(crate) fn entry(&self) -> Option<serde_json::Value> {
        let mut state = self.shared.state.lock();
        let is_on = state.phase != UpstreamPhase::Off;
        is_on.then(|| state.entry(self.link.address(), &self.zone))
    }
}

impl Drop for UpstreamStub {
    fn drop(&mut self) {
        self.task.abort();
    }
}
