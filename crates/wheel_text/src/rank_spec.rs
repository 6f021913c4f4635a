//! A rank.

use serde::{Deserialize, Serialize};

/// The target and the guaranteed share of one rank.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// The rank's name, also its label in metrics.
    pub name: String,
    /// Time from arrival to the first byte of the answer, in milliseconds; a request that can't
    /// meet it is refused. Callers may set another by header.
    pub deadline_ms: u64,
    /// Share of slots, in percent, that the rank gets while it has work, however much more urgent
    /// work waits.
    #[serde(default)]
    pub floor_percent: u32,
    /// What an answer in time is worth, relative to the other ranks.
    #[serde(default = "default_worth")]
    pub worth: f64,
}

const DEFAULT_WORTH: f64 = 1.0;

fn default_worth() -> f64 {
    DEFAULT_WORTH
}
