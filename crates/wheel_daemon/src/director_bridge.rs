//! Connects the director to other parts of the instance.

use std::sync::Arc;

use wheel_director::{DirectorLink, HeardReport};
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

impl DirectorLink for DirectorBridge {
    fn reports(&self) -> Vec<HeardReport> {
        let reports = self.directory.held_reports();
        reports.into_iter().map(|(report, received)| HeardReport { report, received }).collect()
    }

    fn set_draining(&self, upstream: &UpstreamName, model: &ModelName, draining: bool) {
        let notice = DrainNotice { upstream: upstream.clone(), model: model.clone(), draining };
        if let Some(owned) = self.owners.get(upstream) {
            owned.note_drain(&notice);
        }
        self.sender.publish(ReportMessage::Drain(notice));
    }

    fn record(&self, subject: &str, decision: String, reason: String) {
        self.decisions.record(None, subject, decision, reason);
    }
}
