//! The policies that are compared.

use std::fmt;
use std::time::Duration;

/// What decides placement and order in a replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplayPolicy {
    /// wisteriawheel's own.
    Ours,
    /// Loads on demand and unloads after a fixed idle time.
    OnDemand {
        /// The idle time.
        idle: Duration,
    },
    /// Keeps everything loaded that fits and loads the rest on demand.
    Everything,
    /// Our placement; queues are first come, first served.
    FirstCome,
    /// Our placement; queues have strict ranks without floors.
    StrictRanks,
}

impl ReplayPolicy {
    /// The policies that the tool compares.
    pub fn all() -> Vec<Self> {
        vec![
            Self::Ours,
            Self::OnDemand { idle: Duration::from_secs(300) },
            Self::OnDemand { idle: Duration::from_secs(900) },
            Self::OnDemand { idle: Duration::from_secs(3_600) },
            Self::Everything,
            Self::FirstCome,
            Self::StrictRanks,
        ]
    }
}

impl fmt::Display for ReplayPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ours => f.write_str("ours"),
            Self::OnDemand { idle } => write!(f, "on-demand-{}s", idle.as_secs()),
            Self::Everything => f.write_str("everything"),
            Self::FirstCome => f.write_str("first-come"),
            Self::StrictRanks => f.write_str("strict-ranks"),
        }
    }
}
