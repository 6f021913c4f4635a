//! Connects the director to other parts of the instance.

use std::sync::Arc;

use wheel_director::{DirectorHost, ReceivedReport};
use wheel_serving::{
    DecisionLog, DrainNotice, OwnerTable, ReplicaDirectory, ReportMessage, ReportSink,
};
use wheel_types::{ModelName, UpstreamName};

use crate::ReportSender;

/// Gives the director access to the directory, to other instances and to the decision log.
pub(crate) struct DirectorBridge {
    pub(crate) directory: Arc<ReplicaDirectory>,
    pub(crate) owners: Arc<OwnerTable>,
    pub(crate) sender: Arc<ReportSender>,
    pub(crate) decisions: Arc<DecisionLog>,
}

impl DirectorHost for DirectorBridge {
    fn reports(&self) -> Vec<ReceivedReport> {
        let reports = self.directory.received_reports();
        reports.into_iter().map(|(report, received)| ReceivedReport { report, received }).collect()
    }

    fn set_draining(&self, upstream: &UpstreamName, model: &ModelName, draining: bool) {
        let notice = DrainNotice { upstream: upstream.clone(), model: model.clone(), draining };
        if let Some(owned) = self.owners.get(upstream) {
            owned.apply_drain(&notice);
        }
        self.sender.publish(ReportMessage::Drain(notice));
    }

    fn record(&self, subject: &str, decision: String, reason: String) {
        self.decisions.record(None, subject, decision, reason);
    }
}
