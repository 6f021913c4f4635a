//! Recent decisions, for `wisteriactl explain`.

use std::collections::VecDeque;
use std::time::SystemTime;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use wheel_types::RequestId;

/// Limit of kept decisions; the oldest are dropped first.
const MAX_RECORDS: usize = 4_096;

/// One decision.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct DecisionRecord {
    /// When it was made, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The request that it concerns, if any.
    pub request: Option<RequestId>,
    /// The model or service that it concerns.
    pub subject: String,
    /// What was decided.
    pub decision: String,
    /// Why it was decided.
    pub reason: String,
}

/// A bounded log of the decisions of this instance.
#[derive(Debug, Default)]
pub struct DecisionLog {
    records: Mutex<VecDeque<DecisionRecord>>,
}

impl DecisionLog {
    /// Records a decision.
    pub fn record(
        &self,
        request: Option<&RequestId>,
        subject: &str,
        decision: impl Into<String>,
        reason: impl Into<String>,
    ) {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let record = DecisionRecord {
            unix_ms: since.as_millis() as u64,
            request: request.cloned(),
            subject: subject.to_owned(),
            decision: decision.into(),
            reason: reason.into(),
        };
        let mut records = self.records.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The decisions about a model, a service or a request, oldest first.
    pub fn find(&self, query: &str) -> Vec<DecisionRecord> {
        let records = self.records.lock();
        let matches = |record: &&DecisionRecord| {
            record.subject == query
                || record.request.as_ref().is_some_and(|id| id.as_str() == query)
        };
        records.iter().filter(matches).cloned().collect()
    }
}
