//! A caller.

use serde::{Deserialize, Serialize};
use wheel_types::CallerName;

/// A sender of requests and its share within a rank.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// The caller's name.
    pub name: CallerName,
    /// The BLAKE3 hash of its bearer token, in hexadecimal; required with bearer identity.
    #[serde(default)]
    pub token_hash: Option<String>,
    /// Its weight relative to the other callers of a rank.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

const DEFAULT_WEIGHT: u32 = 1;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
