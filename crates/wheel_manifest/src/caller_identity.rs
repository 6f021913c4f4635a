//! How requests identify their caller.

use serde::{Deserialize, Serialize};

/// The part of a request that identifies its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "by")]
pub enum CallerIdentity {
    /// By `Authorization: Bearer TOKEN`, compared with each caller's token hash.
    Bearer,
    /// By the value of a header that the platform's load balancer sets.
    Header {
        /// The header's name, in lower case.
        name: String,
    },
}

impl Default for CallerIdentity {
    fn default() -> Self {
        Self::Header { name: "wheel-caller".to_owned() }
    }
}
