//! The identity of a data folder.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Distinguishes the data folders of an instance: chosen at random when a folder is created, and
/// lost with it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct FolderIdentity(pub u64);

impl FolderIdentity {
    /// Addresses an instance whatever its folder; no folder has this identity.
    pub const ANY: Self = Self(0);
}

impl fmt::Display for FolderIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
