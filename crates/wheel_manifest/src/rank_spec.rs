//! A rank.

use serde::{Deserialize, Serialize};

/// The deadline and the guaranteed share of one rank.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// The rank's name, also used as its label in metrics.
    pub name: String,
    /// Time from arrival to the first byte of the answer, in milliseconds; requests that can't
    /// meet it are refused. Callers may override it by header.
    pub deadline_ms: u64,
    /// Share of slots, in percent, that the rank is guaranteed while it has work, even if more
    /// urgent work waits.
    #[serde(default)]
    pub floor_percent: u32,
    /// The value of a timely answer relative to the other ranks.
    #[serde(default = "default_worth")]
    pub worth: f64,
}

const DEFAULT_WORTH: f64 = 1.0;

fn default_worth() -> f64 {
    DEFAULT_WORTH
}
