//! Reports demand at this instance to the lease holder of its data centre.

use std::sync::Arc;
use std::time::Duration;

use wheel_agreement::{decode, encode};
use wheel_control::AddressResolver;
use wheel_peer::PeerChannel;
use wheel_types::{DemandReply, DemandReport, InstanceName};

use crate::DaemonParts;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a report counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest number of instances tried to find the holder in one round.
const MAX_QUERIED: usize = 6;

/// Sends reports periodically, and immediately when a model is newly requested.
pub(crate) struct DemandSender {
    parts: Arc<DaemonParts>,
    holder: Option<InstanceName>,
}

impl DemandSender {
    pub(crate) fn spawn(parts: Arc<DaemonParts>) {
        let mut sender = Self { parts, holder: None };
        tokio::spawn(async move {
            loop {
                let urgent = sender.parts.demand.urgent();
                let _ = tokio::time::timeout(REPORT_INTERVAL, urgent).await;
                let report = sender.parts.demand.take_report();
                if !report.entries.is_empty() || sender.holder.is_some() {
                    sender.deliver(&report).await;
                }
            }
        });
    }

    /// Delivers a report, following the hints of instances that aren't the holder. A report that
    /// can't be delivered is lost; requests that wait are in the next one again.
    async fn deliver(&mut self, report: &DemandReport) {
        let mut candidates: Vec<InstanceName> =
            self.holder.iter().cloned().chain(self.grantors()).collect();
        let mut queried: Vec<InstanceName> = Vec::new();
        while let Some(instance) = candidates.first().cloned() {
            candidates.retain(|name| name != &instance);
            if queried.len() == MAX_QUERIED {
                break;
            }
            match self.send(&instance, report).await {
                Some(DemandReply::Noted) => {
                    self.holder = (!report.entries.is_empty()).then_some(instance);
                    return;
                }
                Some(DemandReply::NotHolder { holder: Some(holder) })
                    if !queried.contains(&holder) && holder != instance =>
                {
                    candidates.insert(0, holder);
                }
                Some(DemandReply::NotHolder { .. }) | None => {}
            }
            queried.push(instance);
        }
        self.holder = None;
    }

    fn grantors(&self) -> Vec<InstanceName> {
        let manifest = self.parts.manifest.active();
        let centres = manifest.iter().flat_map(|manifest| &manifest.manifest.centres);
        let own = centres.filter(|centre| centre.name == self.parts.settings.centre);
        own.flat_map(|centre| centre.grantors.iter().cloned()).collect()
    }

    async fn send(&self, instance: &InstanceName, report: &DemandReport) -> Option<DemandReply> {
        let own = &self.parts.settings.instance;
        if instance == own {
            return Some(self.parts.director.record_demand(own.clone(), report.clone()));
        }
        let address = self.parts.instances.peer_address(instance)?;
        let body = encode(report).ok()?;
        let answer =
            self.parts.hub.call(&address, PeerChannel::Demand, body, REPORT_TIMEOUT).await.ok()?;
        decode(&answer).ok()
    }
}
