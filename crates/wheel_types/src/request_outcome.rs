//! The outcome of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran, as reported to the caller in the header `Wheel-Outcome`.
///
/// [`RequestOutcome::NotRun`] is a guarantee: no upstream has run the request or ever will.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// An upstream ran the request and this is its answer.
    Ran,
    /// The request provably didn't run.
    NotRun,
    /// The request may have run; this can't be determined.
    Unknown,
}

impl RequestOutcome {
    /// The header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses a header value; `None` for any other value.
    pub fn parse(value: &str) -> Option<Self> {
        match value {
            "ran" => Some(Self::Ran),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
