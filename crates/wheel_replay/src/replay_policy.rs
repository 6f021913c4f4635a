//! The policies that are compared.

use std::fmt;
use std::time::Duration;

/// The policy of placement and queues in a replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplayPolicy {
    /// The placement and queues of wisteriawheel.
    Ours,
    /// Loads on demand and unloads after a fixed idle time.
    OnDemand {
        /// The idle time.
        idle: Duration,
    },
    /// Loads all models that fit at the start, and the others on demand.
    Everything,
    /// The placement of `Ours`, with first-come queues.
    FirstCome,
    /// The placement of `Ours`, with queues of strict ranks without floors.
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
