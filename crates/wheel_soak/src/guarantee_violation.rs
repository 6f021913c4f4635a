//! A violation of a guarantee.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::SystemGuarantee;

/// A violation of a guarantee, with its evidence.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct GuaranteeViolation {
    /// The guarantee.
    #[serde(rename = "promise")]
    pub guarantee: SystemGuarantee,
    /// When it was found, counted from the start of the run.
    pub at: Duration,
    /// The requests, processes, upstreams and lease holders involved.
    pub ids: Vec<Arc<str>>,
    /// Description of the evidence.
    pub line: String,
}

impl GuaranteeViolation {
    pub(crate) fn new(
        guarantee: SystemGuarantee,
        at: Duration,
        ids: &[&Arc<str>],
        line: impl Into<String>,
    ) -> Self {
        Self {
            guarantee,
            at,
            ids: ids.iter().map(|id| Arc::clone(id)).collect(),
            line: line.into(),
        }
    }
}
