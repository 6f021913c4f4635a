//! Faults of a text as they are printed and as instances send them.

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestFault;

/// One fault of a text.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FaultReport {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub problem: String,
    /// How to mend it.
    pub remedy: String,
}

/// The forms in which an instance may list faults.
#[derive(Deserialize)]
#[serde(untagged)]
enum FaultBody {
    List(Vec<FaultReport>),
    Wrapped { faults: Vec<FaultReport> },
}

impl FaultReport {
    /// Reads the faults in the body of an answer; none if the body is something else.
    pub fn read_list(body: &[u8]) -> Option<Vec<Self>> {
        match serde_json::from_slice(body).ok()? {
            FaultBody::List(faults) | FaultBody::Wrapped { faults } => Some(faults),
        }
    }
}

impl From<&ManifestFault> for FaultReport {
    fn from(fault: &ManifestFault) -> Self {
        Self {
            line: fault.line,
            column: fault.column,
            problem: fault.problem.clone(),
            remedy: fault.remedy.clone(),
        }
    }
}
