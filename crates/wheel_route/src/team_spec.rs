//! Definition of a team.

use std::sync::Arc;

use crate::{KeyDigest, TeamAllowance};

/// A group of callers with keys of its own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamSpec {
    /// Its name.
    pub name: Arc<str>,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests, which replaces that of their routes.
    pub rank: Option<u8>,
    /// What it may use.
    pub allowance: TeamAllowance,
}
