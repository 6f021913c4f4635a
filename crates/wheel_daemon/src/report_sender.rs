//! Sends reports of upstreams to the other instances.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use wheel_control::AddressResolver;
use wheel_peer::{PeerChannel, PeerHub};
use wheel_serving::{ReplicaDirectory, ReportList, ReportMessage, ReportSink};
use wheel_types::{CentreName, InstanceName};

use crate::InstanceDirectory;

/// Largest number of reports in flight to one instance. Further ones are dropped, and later reports
/// replace them.
const MAX_IN_FLIGHT: usize = 64;
/// Pause before a lost report is resent.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Largest number of neighbours queried for their reports, one after the other.
const MAX_QUERIED: usize = 3;
/// Time after which a report counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Publishes reports to this instance's own directory and to other instances.
pub struct ReportSender {
    hub: PeerHub,
    instances: Arc<InstanceDirectory>,
    directory: Weak<ReplicaDirectory>,
    runtime: Handle,
    in_flight: Mutex<HashMap<InstanceName, Arc<Semaphore>>>,
}

impl ReportSender {
    /// Creates a sender; `directory` is the one that routes requests at this instance.
    pub fn new(
        hub: PeerHub,
        instances: Arc<InstanceDirectory>,
        directory: &Arc<ReplicaDirectory>,
    ) -> Arc<Self> {
        let directory = Arc::downgrade(directory);
        let in_flight = Mutex::default();
        Arc::new(Self { hub, instances, directory, runtime: Handle::current(), in_flight })
    }

    /// Requests all reports from neighbours, so that a restarted instance needn't wait for the
    /// owners to repeat theirs. The first answer is enough.
    pub async fn fetch_reports(&self) {
        let Ok(body) = postcard::to_stdvec(&ReportMessage::Query) else { return };
        let own = self.instances.own().centre.clone();
        let others = self.instances.live_others();
        let neighbours = others.iter().filter(|peer| peer.address.centre == own);
        for neighbour in neighbours.take(MAX_QUERIED) {
            let Some(address) = self.instances.peer_address(&neighbour.address.name) else {
                continue;
            };
            let call = self.hub.call(&address, PeerChannel::Report, body.clone(), REPORT_TIMEOUT);
            let answer = call.await.ok();
            let list = answer.and_then(|body| postcard::from_bytes::<ReportList>(&body).ok());
            let Some(list) = list.filter(|list| !list.reports.is_empty()) else { continue };
            let Some(directory) = self.directory.upgrade() else { return };
            list.reports.into_iter().for_each(|report| directory.record_report(report));
            return;
        }
    }

    fn send(&self, to: &InstanceName, body: Vec<u8>) {
        let permits = {
            let mut in_flight = self.in_flight.lock();
            let permits = in_flight.entry(to.clone());
            Arc::clone(permits.or_insert_with(|| Arc::new(Semaphore::new(MAX_IN_FLIGHT))))
        };
        let (Ok(permit), Some(address)) =
            (permits.try_acquire_owned(), self.instances.peer_address(to))
        else {
            return;
        };
        let hub = self.hub.clone();
        self.runtime.spawn(async move {
            let call = || hub.call(&address, PeerChannel::Report, body.clone(), REPORT_TIMEOUT);
            if call().await.is_err() {
                tokio::time::sleep(RESEND_PAUSE).await;
                let _ = call().await;
            }
            drop(permit);
        });
    }

    /// Whether a message is relevant to an instance: drains only matter within the data centre,
    /// engine reports matter everywhere.
    fn is_relevant(message: &ReportMessage, own: &CentreName, other: &CentreName) -> bool {
        match message {
            ReportMessage::Engine(_) | ReportMessage::Query => true,
            ReportMessage::Drain(_) => own == other,
        }
    }
}

impl ReportSink for ReportSender {
    fn publish(&self, message: ReportMessage) {
        if let Ok(body) = postcard::to_stdvec(&message) {
            for peer in self.instances.live_others() {
                if Self::is_relevant(&message, &self.instances.own().centre, &peer.address.centre) {
                    self.send(&peer.address.name, body.clone());
                }
            }
        }
        let Some(directory) = self.directory.upgrade() else { return };
        match message {
            ReportMessage::Engine(report) => directory.record_report(*report),
            ReportMessage::Drain(notice) => directory.apply_drain(&notice),
            ReportMessage::Query => {}
        }
    }
}
